package launcher

import (
	"os"
	"time"
)

// Program is a process that no Launcher manages.
type Program struct {
	process *process
}

// StartProgram starts a program and writes its output to a file. The process is killed when this process ends.
func StartProgram(name, output, program string, arguments ...string) (*Program, error) {
	p, err := startProcess(name, "", output, program, arguments, nil)
	if err != nil {
		return nil, err
	}
	return &Program{process: p}, nil
}

// PID returns the process id.
func (p *Program) PID() int { return p.process.pid() }

// Signal sends a signal. It returns an error after the process has exited.
func (p *Program) Signal(s os.Signal) error { return p.process.signal(s) }

// Kill kills the process and waits until it has exited.
func (p *Program) Kill() error { return p.process.kill() }

// Wait waits until the process has exited and returns its exit code, or -1 if a signal ended it.
func (p *Program) Wait(limit time.Duration) (int, error) { return p.process.wait(limit) }
