package launcher

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"runtime"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Ports are below the ephemeral range, so that no outgoing connection takes one between its selection and the listen
// call.
const firstPort, lastPort = 20000, 32000

// loopbackHost is a loopback address that depends on the process id, so that processes that start deployments
// concurrently do not select the same address. 127.0.0.x is left to other uses.
var loopbackHost = fmt.Sprintf("127.%d.%d.1", 1+os.Getpid()>>8%254, os.Getpid()%256)

// reservedAddresses holds the addresses that FreeAddress has returned.
var reservedAddresses sync.Map

// FreeAddress returns a loopback address that nothing listens on and that this process has not returned before.
func FreeAddress() string {
	for {
		address := fmt.Sprintf("%s:%d", loopbackHost, firstPort+rand.IntN(lastPort-firstPort))
		if _, taken := reservedAddresses.LoadOrStore(address, true); taken {
			continue
		}
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = l.Close()
		return address
	}
}

// UnknownProcessError reports a name for which the launcher has not started a process.
type UnknownProcessError struct {
	Name string
}

func (e *UnknownProcessError) Error() string {
	return fmt.Sprintf("launcher: no process named %q", e.Name)
}

// ExitedError reports a process that exited before it was ready.
type ExitedError struct {
	Name string
}

func (e *ExitedError) Error() string {
	return fmt.Sprintf("launcher: %s has exited", e.Name)
}

// ExitTimeoutError reports a process that has not exited within the wait time.
type ExitTimeoutError struct {
	Name string
	Wait time.Duration
}

func (e *ExitTimeoutError) Error() string {
	return fmt.Sprintf("launcher: %s has not exited within %s", e.Name, e.Wait)
}

// PauseTimeoutError reports a process that has not stopped within the wait time after the signal.
type PauseTimeoutError struct {
	Name string
	Wait time.Duration
}

func (e *PauseTimeoutError) Error() string {
	return fmt.Sprintf("launcher: %s has not stopped within %s", e.Name, e.Wait)
}

const (
	// pauseLimit is how long a paused process may take to stop.
	pauseLimit = 5 * time.Second
	// pauseCheckInterval is the time between two checks whether a process has stopped.
	pauseCheckInterval = time.Millisecond
)

// process is a child process that writes its output to a file.
type process struct {
	name    string
	domain  string
	command *exec.Cmd
	exited  chan struct{}
}

// startQueue returns the channel of the calls that one locked thread makes to start processes. The kernel sends the
// parent-death signal when the thread that started the child ends, and Go may end an unlocked thread at any time.
var startQueue = sync.OnceValue(func() chan func() {
	calls := make(chan func())
	go func() {
		runtime.LockOSThread()
		for call := range calls {
			call()
		}
	}()
	return calls
})

// startProcess starts a program and writes its output to a file. The process is killed when this process ends.
func startProcess(name, domain, output, program string, arguments, environment []string) (*process, error) {
	file, err := os.OpenFile(output, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("launcher: open output file of %s: %w", name, err)
	}
	defer func() { _ = file.Close() }()
	p := &process{name: name, domain: domain, command: exec.Command(program, arguments...), exited: make(chan struct{})}
	p.command.Stdout, p.command.Stderr = file, file
	p.command.Env = append(os.Environ(), environment...)
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	startQueue() <- func() { started <- p.command.Start() }
	if err := <-started; err != nil {
		return nil, fmt.Errorf("launcher: start %s: %w", name, err)
	}
	go func() {
		_ = p.command.Wait()
		close(p.exited)
	}()
	return p, nil
}

func (p *process) pid() int {
	return p.command.Process.Pid
}

// signal returns an error after the process has exited, so that it never reaches another process with the same id.
func (p *process) signal(s os.Signal) error {
	if err := p.command.Process.Signal(s); err != nil {
		return fmt.Errorf("launcher: signal %s: %w", p.name, err)
	}
	return nil
}

// pause stops the process and waits until all its threads have stopped: the signal only requests that, and a thread on
// another processor may serve one more request.
func (p *process) pause() error {
	if err := p.signal(syscall.SIGSTOP); err != nil {
		return err
	}
	for start := time.Now(); time.Since(start) < pauseLimit; time.Sleep(pauseCheckInterval) {
		var info unix.Siginfo
		// WNOWAIT leaves the state to Wait, which reports the exit.
		err := unix.Waitid(unix.P_PID, p.pid(), &info, unix.WSTOPPED|unix.WNOHANG|unix.WNOWAIT, nil)
		if err != nil {
			return fmt.Errorf("launcher: wait for %s to stop: %w", p.name, err)
		}
		if info.Signo == int32(syscall.SIGCHLD) {
			return nil
		}
	}
	return &PauseTimeoutError{Name: p.name, Wait: pauseLimit}
}

// kill kills the process and waits until it has exited.
func (p *process) kill() error {
	err := p.signal(syscall.SIGKILL)
	<-p.exited
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return err
}

// wait waits until the process has exited and returns its exit code, or -1 if a signal ended it.
func (p *process) wait(limit time.Duration) (int, error) {
	select {
	case <-p.exited:
		return p.command.ProcessState.ExitCode(), nil
	default:
	}
	select {
	case <-p.exited:
		return p.command.ProcessState.ExitCode(), nil
	case <-time.After(limit):
		return 0, &ExitTimeoutError{Name: p.name, Wait: limit}
	}
}
