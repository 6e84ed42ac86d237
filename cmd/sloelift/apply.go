package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/sloelift/sloelift/internal/config"
	"github.com/sloelift/sloelift/internal/operator"
	"github.com/sloelift/sloelift/internal/outcome"
)

// applyCommand applies a file, then submits the inputs of its Job declarations.
type applyCommand struct {
	File           string        `short:"f" required:"" placeholder:"FILE" help:"Operators' file; - is the standard input."`
	ExpectRevision *int64        `placeholder:"N" help:"Refuse unless the configuration is at this revision."`
	Wait           bool          `help:"Return when the file is in force on every member that can be reached."`
	WaitTimeout    time.Duration `default:"30s" help:"Give up waiting after this time (${default})."`
}

// applyOutput is the command's output as JSON.
type applyOutput struct {
	config.ApplyResult
	Rollout *operator.Rollout  `json:"rollout,omitempty"`
	Jobs    []operator.JobView `json:"jobs,omitempty"`
}

// Run implements the command.
func (c *applyCommand) Run(env *environment) error {
	file, err := env.readFile(c.File)
	if err != nil {
		return err
	}
	parsed, err := config.Parse(file)
	if err != nil {
		return withFile(err, c.File)
	}
	inputs, err := openInputs(c.File, parsed)
	if err != nil {
		return err
	}
	var output applyOutput
	output.ApplyResult, err = applyAndConfirm(env, file, expectedRevision(c.ExpectRevision))
	if err != nil {
		return withFile(err, c.File)
	}
	if c.Wait || len(inputs) > 0 {
		output.Rollout, err = waitForRollout(env, output.Revision, c.WaitTimeout)
	}
	if err == nil {
		output.Jobs, err = submitInputs(env, inputs)
	}
	return errors.Join(env.print(output, output.write), err)
}

func expectedRevision(flag *int64) int64 {
	if flag == nil {
		return config.AnyRevision
	}
	return *flag
}

// applyAndConfirm applies the file. If the outcome is unknown, it asks what the file would
// still change; if that is nothing, the file has been applied.
func applyAndConfirm(env *environment, file []byte, expect int64) (config.ApplyResult, error) {
	result, err := env.client.Apply(env.context, file, expect)
	if err == nil || outcome.Of(err) != outcome.Indeterminate {
		return result, err
	}
	remaining, diffErr := env.client.Diff(env.context, file)
	if diffErr == nil && len(remaining.Changes) == 0 {
		return config.ApplyResult{Revision: remaining.Revision}, nil
	}
	return result, err
}

const rolloutPollInterval = 200 * time.Millisecond

// waitForRollout polls until the revision is in force on all reachable members.
func waitForRollout(env *environment, revision int64, limit time.Duration) (*operator.Rollout, error) {
	ctx, cancel := context.WithTimeout(env.context, limit)
	defer cancel()
	ticker := time.NewTicker(rolloutPollInterval)
	defer ticker.Stop()
	var last *operator.Rollout
	for {
		rollout, err := env.client.Rollout(ctx, revision)
		if err == nil {
			last = &rollout
		}
		if last != nil && last.Complete {
			return last, nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return last, rolloutFailure(revision, limit, last, err)
		}
	}
}

func rolloutFailure(revision int64, limit time.Duration, last *operator.Rollout, err error) error {
	if last == nil {
		return fmt.Errorf("revision %d is accepted; where it is in force is not known: %w", revision, err)
	}
	return fmt.Errorf("revision %d is accepted, but after %s it is not in force on %s", revision, limit, memberNames(last.Behind))
}

func (o applyOutput) write(out io.Writer) {
	writeChanges(out, o.ApplyResult)
	fmt.Fprintf(out, "revision %d\n", o.Revision)
	if o.Rollout != nil {
		fmt.Fprintf(out, "in force on %d members\n", o.Rollout.InForce)
		if len(o.Rollout.Unreachable) > 0 {
			fmt.Fprintf(out, "not reached: %s\n", memberNames(o.Rollout.Unreachable))
		}
	}
	for _, job := range o.Jobs {
		fmt.Fprintf(out, "job %s (%s): %s, %d items\n", job.ID, job.ClientKey, job.Phase, job.Total)
	}
}

func memberNames(members []operator.MemberStatus) string {
	var names string
	for index, member := range members {
		if index > 0 {
			names += ", "
		}
		names += fmt.Sprintf("%s (zone %s, %s, revision %d)", member.Node, member.Zone, member.State, member.Revision)
	}
	return names
}
