package fleet

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const stopTimeout = 20 * time.Second

// Process runs a program of the fleet, which can be stopped, killed, paused and restarted.
type Process struct {
	name    string
	command []string
	logPath string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	err    error
}

// NewProcess returns a process that is not started yet; its output is appended to the log file.
func NewProcess(name, logPath string, command ...string) *Process {
	return &Process{name: name, command: command, logPath: logPath}
}

// Name returns the name of the process.
func (p *Process) Name() string { return p.name }

// Start runs the program; the process must not be running.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running() {
		return fmt.Errorf("fleet: %s is running already", p.name)
	}
	if err := os.MkdirAll(filepath.Dir(p.logPath), 0o750); err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	log, err := os.OpenFile(p.logPath, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o640)
	if err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	cmd := exec.Command(p.command[0], p.command[1:]...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := cmd.Start(); err != nil {
		return errors.Join(fmt.Errorf("fleet: start %s: %w", p.name, err), log.Close())
	}
	p.cmd, p.exited = cmd, make(chan struct{})
	go p.wait(cmd, log, p.exited)
	return nil
}

func (p *Process) wait(cmd *exec.Cmd, log *os.File, exited chan struct{}) {
	err := errors.Join(cmd.Wait(), log.Close())
	p.mu.Lock()
	p.err = err
	p.mu.Unlock()
	close(exited)
}

// running reports whether the program is running; the caller must hold p.mu.
func (p *Process) running() bool {
	if p.cmd == nil {
		return false
	}
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// Running reports whether the program is running.
func (p *Process) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running()
}

// PID returns the process ID, or 0 if the process is not running.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.running() {
		return 0
	}
	return p.cmd.Process.Pid
}

// Signal sends a signal to the running process.
func (p *Process) Signal(signal syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.running() {
		return fmt.Errorf("fleet: %s is not running", p.name)
	}
	return p.cmd.Process.Signal(signal)
}

// Stop sends SIGTERM and waits for the process to exit; it returns an error if the process failed or had to be killed.
func (p *Process) Stop(ctx context.Context) error {
	if !p.Running() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	if err := p.Signal(syscall.SIGTERM); err != nil && p.Running() {
		return err
	}
	select {
	case <-p.exited:
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.err
	case <-ctx.Done():
		return errors.Join(fmt.Errorf("fleet: %s did not stop in time", p.name), p.Kill())
	}
}

// Kill sends SIGKILL and waits until the process has exited.
func (p *Process) Kill() error {
	if !p.Running() {
		return nil
	}
	if err := p.Signal(syscall.SIGKILL); err != nil && p.Running() {
		return err
	}
	<-p.exited
	return nil
}

// Pause suspends the process.
func (p *Process) Pause() error { return p.Signal(syscall.SIGSTOP) }

// Resume continues a paused process.
func (p *Process) Resume() error { return p.Signal(syscall.SIGCONT) }
