// Package process runs programs as child processes, and signals and ends them by their ids.
package process

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"syscall"
)

// Process is a started program. It is safe for concurrent use.
type Process struct {
	command *exec.Cmd
	// ended is closed when the process has ended; failure is the result of Wait and valid from then on.
	ended   chan struct{}
	failure error
}

// Start starts the program at path. Its output is appended to the file at logPath, so that the log is kept over restarts.
func Start(path, logPath string, arguments ...string) (*Process, error) {
	output, err := os.OpenFile(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	command := exec.Command(path, arguments...)
	command.Stdout, command.Stderr = output, output
	// The child must not outlive this process, even if this process is killed.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	err = command.Start()
	// The child has its own descriptor of the file.
	_ = output.Close()
	if err != nil {
		return nil, err
	}
	started := &Process{command: command, ended: make(chan struct{})}
	go func() {
		started.failure = command.Wait()
		close(started.ended)
	}()
	return started, nil
}

// ErrKilled means that a process did not end in time after SIGTERM and was killed.
var ErrKilled = errors.New("process did not stop after SIGTERM and was killed")

// ID returns the process id.
func (p *Process) ID() int { return p.command.Process.Pid }

// Ended returns a channel that is closed when the process has ended.
func (p *Process) Ended() <-chan struct{} { return p.ended }

// Stop sends SIGTERM and waits for the process to end. If ctx ends first, it kills the process and returns ErrKilled. A process that is
// ended by the signal itself, because the program had not installed its handler yet, counts as stopped.
func (p *Process) Stop(ctx context.Context) error {
	if err := p.command.Process.Signal(syscall.SIGTERM); err != nil {
		return fmt.Errorf("send SIGTERM: %w", err)
	}
	select {
	case <-p.ended:
		return p.stopError()
	case <-ctx.Done():
		p.Kill()
		return fmt.Errorf("%w: %w", ErrKilled, ctx.Err())
	}
}

func (p *Process) stopError() error {
	var exit *exec.ExitError
	if errors.As(p.failure, &exit) {
		if status, isWait := exit.Sys().(syscall.WaitStatus); isWait && status.Signaled() && status.Signal() == syscall.SIGTERM {
			return nil
		}
	}
	return p.failure
}

// Kill sends SIGKILL and waits for the process to end.
func (p *Process) Kill() {
	// An error means that the process has already ended.
	_ = p.command.Process.Kill()
	<-p.ended
}

// Pause suspends the process with SIGSTOP, or resumes it with SIGCONT if paused is false.
func (p *Process) Pause(paused bool) {
	signal := syscall.SIGCONT
	if paused {
		signal = syscall.SIGSTOP
	}
	// An error means that the process has already ended.
	_ = p.command.Process.Signal(signal)
}
