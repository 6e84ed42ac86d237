package main

import (
	"context"
	"errors"
	"io"
	"net/netip"

	"github.com/alecthomas/kong"

	"github.com/sloelift/sloelift/internal/network"
	"github.com/sloelift/sloelift/internal/operator"
	"github.com/sloelift/sloelift/internal/strictyaml"
)

// Exit codes of the program.
const (
	exitDone   = 0
	exitFailed = 1
	// exitUsage means wrong use of the command line or an invalid file.
	exitUsage = 2
)

const defaultAdmin = "127.0.0.1:8090"

// commandLine is the grammar of the command line.
type commandLine struct {
	Output string         `enum:"text,json" default:"text" help:"Form of the output: text or json."`
	Admin  netip.AddrPort `default:"${admin}" env:"SLOELIFT_ADMIN" placeholder:"IP:PORT" help:"Admin address of any node (${default})."`

	Serve    serveCommand    `cmd:"" help:"Run one node."`
	Validate validateCommand `cmd:"" help:"Check operators' files without a node."`
	Apply    applyCommand    `cmd:"" help:"Apply an operators' file as a whole."`
	Diff     diffCommand     `cmd:"" help:"Show what applying a file would change."`
	Get      getCommand      `cmd:"" help:"Show the configuration."`
	Withdraw withdrawCommand `cmd:"" help:"Remove one declaration."`
	Job      jobCommands     `cmd:"" help:"Submit and follow batch jobs."`
	Status   statusCommand   `cmd:"" help:"Show what a node knows of the system."`
	Schema   schemaCommand   `cmd:"" help:"Print the JSON Schema of operators' files."`
	Version  versionCommand  `cmd:"" help:"Print the version."`
}

// environment holds the inputs, outputs and client of a command.
type environment struct {
	context context.Context
	stdin   io.Reader
	stdout  io.Writer
	stderr  io.Writer
	client  *operator.Client
	json    bool
}

// usageError is a wrong use of the command line that the parser cannot detect.
type usageError struct{ message string }

// Error returns the message.
func (e *usageError) Error() string { return e.message }

// exitRequest is the exit code with which the parser panics to end the program, as after --help.
type exitRequest int

// run parses arguments, runs the command and returns the program's exit code.
func run(arguments []string, stdin io.Reader, stdout, stderr io.Writer) (code int) {
	defer func() {
		failure := recover()
		if request, isExit := failure.(exitRequest); isExit {
			code = int(request)
			return
		}
		if failure != nil {
			// A broken invariant must crash the process instead of being hidden.
			panic(failure)
		}
	}()
	var line commandLine
	parser, err := kong.New(&line,
		kong.Name("sloelift"),
		kong.Description("One fleet for online and batch inference."),
		kong.Vars{"admin": defaultAdmin},
		kong.Writers(stdout, stderr),
		kong.Exit(func(code int) { panic(exitRequest(code)) }),
	)
	if err != nil {
		panic("grammar of the command line: " + err.Error())
	}
	parsed, err := parser.Parse(arguments)
	if err != nil {
		_, _ = io.WriteString(stderr, "sloelift: "+err.Error()+"\n")
		return exitUsage
	}
	env := &environment{
		context: context.Background(),
		stdin:   stdin, stdout: stdout, stderr: stderr,
		client: operator.NewClient(line.Admin, network.System{}),
		json:   line.Output == "json",
	}
	defer env.client.Close()
	if err := parsed.Run(env); err != nil {
		env.reportError(err)
		return exitCode(err)
	}
	return exitDone
}

func exitCode(err error) int {
	var usage *usageError
	var invalid *strictyaml.ValidationError
	if errors.As(err, &usage) || errors.As(err, &invalid) {
		return exitUsage
	}
	return exitFailed
}
