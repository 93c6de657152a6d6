package launcher

import (
	"os"
	"time"
)

// Program is a process that was started by itself, outside a deployment.
type Program struct {
	process *process
}

// StartProgram runs a program whose output goes to a file; it is killed when this process ends.
func StartProgram(name, output, program string, arguments ...string) (*Program, error) {
	p, err := startProcess(name, "", output, program, arguments, nil)
	if err != nil {
		return nil, err
	}
	return &Program{process: p}, nil
}

// PID returns the id of the process.
func (p *Program) PID() int { return p.process.pid() }

// Signal sends a signal; it fails after the process has exited.
func (p *Program) Signal(s os.Signal) error { return p.process.signal(s) }

// Kill ends the process and waits for it.
func (p *Program) Kill() error { return p.process.kill() }

// Wait returns the exit code, or -1 after a signal.
func (p *Program) Wait(limit time.Duration) (int, error) { return p.process.wait(limit) }
