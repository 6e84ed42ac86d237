//go:build review3

package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

var cases = map[string]func(ctx context.Context, recorded *record, trouble bool) (violations []string, err error){
	"unsigned": playUnsigned,
	"homes":    playHomes,
	"refused":  playRefused,
	"full":     playFull,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE RECORD")
		return notRun
	}
	recorded, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	ctx, cancel := context.WithTimeout(context.Background(), 110*time.Second)
	defer cancel()
	recorded.note("case %s, trouble %t", os.Args[1], trouble)
	violations, err := cases[os.Args[1]](ctx, recorded, trouble)
	switch {
	case err != nil:
		recorded.note("could not run: %v", err)
		fmt.Println("could not run:", err)
		return notRun
	case len(violations) > 0:
		for _, violation := range violations {
			recorded.note("BROKEN: %s", violation)
			fmt.Println("broken:", violation)
		}
		return broken
	default:
		recorded.note("held")
		fmt.Println("held")
		return held
	}
}

// prepare starts a small deployment whose processes follow the first configuration.
func prepare(ctx context.Context, planned plan, recorded *record, register func(ctx context.Context, started *deployment) error) (*deployment, error) {
	created, err := newDeployment(planned, recorded)
	if err != nil {
		return nil, err
	}
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	created.stop = stop
	starting, cancel := context.WithTimeout(ctx, 30*time.Second)
	defer cancel()
	if err := errors.Join(register(background, created), created.start(starting)); err != nil {
		created.close()
		return nil, err
	}
	// Traffic starts 10 s after the machines do, on all small sites.
	if !sleep(ctx, 5*time.Second) {
		created.close()
		return nil, errNotRun
	}
	return created, nil
}

var smallPlan = plan{
	zones:  map[string]string{"hall-a": "city", "hall-b": "city", "hall-c": "city"},
	stores: []string{"hall-a", "hall-b", "hall-c"}, edges: []string{"hall-a", "hall-b", "hall-c"},
}
