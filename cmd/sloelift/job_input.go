package main

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/sloelift/sloelift/internal/config"
	"github.com/sloelift/sloelift/internal/operator"
	"github.com/sloelift/sloelift/internal/outcome"
)

// jobInput is the input file of a Job declaration.
type jobInput struct {
	job  *config.Job
	path string
	// digest is the SHA-256 of the content. It is part of the client key, so that applying
	// the same input again finds the same job and a changed input creates another one.
	digest string
}

// openInputs finds and digests the inputs of a file's jobs, relative to the file's
// folder, before anything is applied.
func openInputs(filePath string, file *config.File) ([]jobInput, error) {
	var inputs []jobInput
	for _, declaration := range file.Declarations {
		declared, isJob := declaration.Value.(*config.Job)
		if !isJob || declared.Input == "" {
			continue
		}
		if filePath == standardInput {
			return nil, &usageError{fmt.Sprintf("%s has an input, which needs a file to be relative to", declaration.ID)}
		}
		path := filepath.Join(filepath.Dir(filePath), filepath.FromSlash(declared.Input))
		digest, err := digestFile(path)
		if err != nil {
			return nil, &usageError{fmt.Sprintf("input of %s: %v", declaration.ID, err)}
		}
		inputs = append(inputs, jobInput{job: declared, path: path, digest: digest})
	}
	return inputs, nil
}

func digestFile(path string) (string, error) {
	file, err := os.Open(path)
	if err != nil {
		return "", err
	}
	defer file.Close()
	hash := sha256.New()
	if _, err := io.Copy(hash, file); err != nil {
		return "", err
	}
	return hex.EncodeToString(hash.Sum(nil)), nil
}

func submitInputs(env *environment, inputs []jobInput) ([]operator.JobView, error) {
	var views []operator.JobView
	for _, input := range inputs {
		view, err := input.submit(env)
		if err != nil {
			return views, fmt.Errorf("job %s is not accepted (apply the file again to retry): %w", input.job.Name, err)
		}
		views = append(views, view)
	}
	return views, nil
}

const keyDigestLength = 16

func (i jobInput) submit(env *environment) (operator.JobView, error) {
	request := operator.JobRequest{Template: i.job.Name, ClientKey: i.job.Name + "-" + i.digest[:keyDigestLength]}
	return submitFile(env, request, i.path)
}

// submitRetryTime is the maximum time for the retries of a submission.
const submitRetryTime = 30 * time.Second

// submitFile submits a file. It retries refusals with a retry-after time; the client key
// makes all attempts refer to the same job.
func submitFile(env *environment, request operator.JobRequest, path string) (operator.JobView, error) {
	attempt := func() (operator.JobView, error) {
		file, err := os.Open(path)
		if err != nil {
			return operator.JobView{}, backoff.Permanent(&usageError{err.Error()})
		}
		defer file.Close()
		view, err := env.client.SubmitJob(env.context, request, file)
		var refusal *outcome.Error
		switch {
		case err == nil:
			return view, nil
		case errors.As(err, &refusal) && refusal.Outcome == outcome.NotRun && refusal.RetryAfter > 0:
			return view, &refusalWithWait{cause: err, wait: backoff.RetryAfterError{Duration: refusal.RetryAfter}}
		}
		return view, backoff.Permanent(err)
	}
	view, err := backoff.Retry(env.context, attempt, backoff.WithMaxElapsedTime(submitRetryTime))
	var refused *refusalWithWait
	if errors.As(err, &refused) {
		err = refused.cause
	}
	return view, err
}

// refusalWithWait is a refusal with its retry-after time in the form that package backoff uses.
type refusalWithWait struct {
	cause error
	wait  backoff.RetryAfterError
}

// Error returns the refusal's message.
func (r *refusalWithWait) Error() string { return r.cause.Error() }

// Unwrap returns the refusal and the retry-after error.
func (r *refusalWithWait) Unwrap() []error { return []error{r.cause, &r.wait} }
