package main

import (
	"os"

	"github.com/sloelift/sloelift/lab/report"
)

type reportCommand struct {
	Results []string `arg:"" help:"JSON files that demo and experiment printed." type:"existingfile"`
	Output  string   `help:"HTML file to write." default:"report.html" short:"o"`
}

// Run writes the page.
func (c *reportCommand) Run() error {
	input, err := report.ReadFiles(c.Results)
	if err != nil {
		return err
	}
	file, err := os.Create(c.Output)
	if err != nil {
		return err
	}
	if err := report.Write(file, input); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}
