// Package jmprocess runs a laid-out fleet as real, separate processes, for
// tests of faults: each can be killed, paused and asked to stop.
package jmprocess

import (
	"context"
	"io"
	"os/exec"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

const endTimeout = 10 * time.Second

// Process is one process that this package started.
type Process struct {
	Name string
	Args []string

	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// Build builds the command into the directory and returns the binary's path.
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

// Start starts the process. What it writes goes to log.
func (p *Process) Start(binary string, log io.Writer) error {
	p.cmd = exec.Command(binary, p.Args...)
	p.cmd.Stdout = log
	p.cmd.Stderr = log
	// The process ends with the test, whatever becomes of the test.
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

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	_ = p.Signal(syscall.SIGKILL)
	<-p.done
}

// Pause stops the process in its tracks; Resume lets it go on.
func (p *Process) Pause() error { return p.Signal(syscall.SIGSTOP) }

// Resume lets a paused process go on.
func (p *Process) Resume() error { return p.Signal(syscall.SIGCONT) }

// Stop asks the process to stop gracefully and waits for its end.
func (p *Process) Stop() error {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	return p.Wait(endTimeout)
}

// Wait waits for the process to end by itself, and returns an error if it
// ended with another exit code than 0 or not in time.
func (p *Process) Wait(limit time.Duration) error {
	select {
	case <-p.done:
		return p.err
	case <-time.After(limit):
		return eris.Errorf("%s is still running", p.Name)
	}
}

// Pid returns the number of the process.
func (p *Process) Pid() int { return p.cmd.Process.Pid }
