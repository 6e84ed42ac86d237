package main

import (
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/sloelift/sloelift/internal/operator"
)

// jobCommands are the commands for batch jobs.
type jobCommands struct {
	Submit  jobSubmitCommand  `cmd:"" help:"Submit a JSONL file as a job."`
	Status  jobStatusCommand  `cmd:"" help:"Show one job, or all jobs of a tenant."`
	Results jobResultsCommand `cmd:"" help:"Copy a job's results as JSON lines."`
	Cancel  jobCancelCommand  `cmd:"" help:"Cancel a job."`
}

// jobSubmitCommand submits a job. Submitting the same key and content again returns the same job.
type jobSubmitCommand struct {
	Template      string        `arg:"" optional:"" help:"Job declaration that gives what the flags leave open."`
	Input         string        `required:"" short:"i" placeholder:"FILE" help:"JSONL file; - is the standard input."`
	Key           string        `required:"" short:"k" help:"The client's name for the job; a resend with the same key is the same job."`
	Tenant        string        `help:"Tenant of the job."`
	Service       string        `help:"Service that runs the items."`
	Priority      string        `help:"Priority of the job."`
	Operation     string        `enum:"chat,completions" default:"chat" help:"What each item asks for: chat or completions."`
	Deadline      time.Duration `help:"Time from now within which the job should complete, such as 8h."`
	Retention     time.Duration `help:"How long results stay readable after the end, such as 720h."`
	NotRepeatable bool          `help:"Each item runs at most once."`
}

// Run implements the command.
func (c *jobSubmitCommand) Run(env *environment) error {
	request := operator.JobRequest{
		Template: c.Template, Tenant: c.Tenant, ClientKey: c.Key, Service: c.Service, Priority: c.Priority,
		Operation: c.Operation, Deadline: c.Deadline, Retention: c.Retention, NotRepeatable: c.NotRepeatable,
	}
	submit := submitFile
	if c.Input == standardInput {
		submit = submitStandardInput
	}
	view, err := submit(env, request, c.Input)
	if err != nil {
		return err
	}
	return printJobs(env, view, view)
}

// submitStandardInput submits once, since the standard input can be read once.
func submitStandardInput(env *environment, request operator.JobRequest, _ string) (operator.JobView, error) {
	return env.client.SubmitJob(env.context, request, env.stdin)
}

// jobStatusCommand shows jobs.
type jobStatusCommand struct {
	ID     string `arg:"" optional:"" help:"Job; all jobs of the tenant without it."`
	Tenant string `required:"" short:"t" help:"Tenant of the job."`
}

// Run implements the command.
func (c *jobStatusCommand) Run(env *environment) error {
	if c.ID != "" {
		view, err := env.client.Job(env.context, c.Tenant, c.ID)
		if err != nil {
			return err
		}
		return printJobs(env, view, view)
	}
	list, err := env.client.Jobs(env.context, c.Tenant, "", 0)
	if err != nil {
		return err
	}
	return printJobs(env, list, list.Jobs...)
}

// jobResultsCommand copies results.
type jobResultsCommand struct {
	ID     string `arg:"" help:"Job."`
	Tenant string `required:"" short:"t" help:"Tenant of the job."`
	From   int    `help:"Index of the first item to copy."`
}

// Run implements the command.
func (c *jobResultsCommand) Run(env *environment) error {
	if c.From < 0 {
		return &usageError{"--from wants a whole number from 0"}
	}
	_, err := env.client.JobResults(env.context, c.Tenant, c.ID, c.From, env.stdout)
	return err
}

// jobCancelCommand cancels a job.
type jobCancelCommand struct {
	ID     string `arg:"" help:"Job."`
	Tenant string `required:"" short:"t" help:"Tenant of the job."`
}

// Run implements the command.
func (c *jobCancelCommand) Run(env *environment) error {
	view, err := env.client.CancelJob(env.context, c.Tenant, c.ID)
	if err != nil {
		return err
	}
	return printJobs(env, view, view)
}

func printJobs(env *environment, value any, jobs ...operator.JobView) error {
	return env.print(value, func(out io.Writer) { writeJobs(out, jobs) })
}

func writeJobs(out io.Writer, jobs []operator.JobView) {
	rows := [][]string{{"JOB", "KEY", "PHASE", "COMPLETED", "FAILED", "TOTAL", "DEADLINE", "AT RISK"}}
	for _, job := range jobs {
		rows = append(rows, []string{
			job.ID, job.ClientKey, string(job.Phase), strconv.Itoa(job.Completed), strconv.Itoa(job.Failed),
			strconv.Itoa(job.Total), job.Deadline.Format(time.RFC3339), fmt.Sprint(job.AtRisk),
		})
	}
	table(out, rows)
}
