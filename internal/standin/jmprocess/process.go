// Package jmprocess runs the fleet of a jmlab.Layout as separate processes, for fault
// tests: each process can be killed, paused or stopped gracefully.
package jmprocess

import (
	"context"
	"io"
	"os/exec"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// stopTimeout limits how long Stop waits for the process to exit.
const stopTimeout = 10 * time.Second

// Process is a process of the jasminemoor command. Name and Args are set before
// Start.
type Process struct {
	Name string
	Args []string

	cmd  *exec.Cmd
	done chan struct{}
	err  error // set before done is closed
}

// Build builds the jasminemoor command into the directory, with the race detector if
// isRace is set, and returns the path of the binary.
func Build(ctx context.Context, dir string, isRace bool) (binary string, err error) {
	binary = dir + "/jasminemoor"
	args := []string{"build", "-o", binary}
	if isRace {
		args = append(args, "-race")
	}
	args = append(args, "github.com/jasminemoor/jasminemoor/cmd/jasminemoor")
	output, err := exec.CommandContext(ctx, "go", args...).CombinedOutput()
	if err != nil {
		return "", eris.Wrapf(err, "build: %s", output)
	}
	return binary, nil
}

// Start starts the process with its standard output and error written to log.
func (p *Process) Start(binary string, log io.Writer) error {
	p.cmd = exec.Command(binary, p.Args...)
	p.cmd.Stdout = log
	p.cmd.Stderr = log
	// The kernel kills the process if the test process dies without cleanup.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p.done = make(chan struct{})
	if err := p.cmd.Start(); err != nil {
		return eris.Wrapf(err, "start %s", p.Name)
	}
	go func() {
		defer close(p.done)
		p.err = p.cmd.Wait()
	}()
	return nil
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// Kill sends SIGKILL and waits for the process to exit.
func (p *Process) Kill() {
	_ = p.Signal(syscall.SIGKILL)
	<-p.done
}

// Pause suspends the process with SIGSTOP until Resume is called.
func (p *Process) Pause() error { return p.Signal(syscall.SIGSTOP) }

// Resume continues a paused process.
func (p *Process) Resume() error { return p.Signal(syscall.SIGCONT) }

// Stop asks the process with SIGTERM to stop gracefully, and waits for it to exit.
func (p *Process) Stop() error {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	return p.Wait(stopTimeout)
}

// Wait waits for the process to exit. It returns an error if the exit code is not 0
// or the process still runs after the limit.
func (p *Process) Wait(limit time.Duration) error {
	select {
	case <-p.done:
		return p.err
	case <-time.After(limit):
		return eris.Errorf("%s has not exited in time", p.Name)
	}
}

// Pid returns the process ID.
func (p *Process) Pid() int { return p.cmd.Process.Pid }
