// Command standin plays the cases of the second review against processes of the program.
package main

import (
	"fmt"
	"os"
)

const (
	held     = 0
	broken   = 1
	couldNot = 2
)

func main() {
	if len(os.Args) < 5 {
		fmt.Fprintln(os.Stderr, "standin SCENARIO PROGRAM TEMPLATE RECORD")
		os.Exit(couldNot)
	}
	scenarios := map[string]func(program, template, folder string, written *record, trouble bool) (int, error){"emptied": emptied, "unframed": unframed}
	scenario, known := scenarios[os.Args[1]]
	if !known {
		fmt.Fprintln(os.Stderr, "unknown scenario")
		os.Exit(couldNot)
	}
	written, err := newRecord(os.Args[4])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(couldNot)
	}
	folder, err := os.MkdirTemp("", "sloelift-review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(couldNot)
	}
	result, err := scenario(os.Args[2], os.Args[3], folder, written, os.Getenv("TROUBLE") != "0")
	if err != nil {
		written.note("could not run: %v", err)
		result = couldNot
	}
	written.note("result %d", result)
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(folder)
	} else {
		fmt.Println(folder)
	}
	os.Exit(result)
}
