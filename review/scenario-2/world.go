//go:build review2

package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Bounds of the deployment, as in the settings of a small one.
const (
	drainTime   = 3 * time.Second
	contactTime = 4 * time.Second
	graceTime   = 6 * time.Second
)

// world holds all that a case has started, and its record.
type world struct {
	program string
	trouble bool
	dir     string
	started time.Time

	mu      sync.Mutex
	record  *os.File
	writer  *bufio.Writer
	nodes   []*node
	closers []func()
}

func newWorld(program, record string, trouble bool) (*world, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "scenario-2-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	w := &world{program: program, trouble: trouble, dir: dir, started: time.Now(), record: file, writer: bufio.NewWriter(file)}
	w.log("trouble %v", trouble)
	return w, nil
}

// log writes a line with the time since the start to the record.
func (w *world) log(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.writer, "%9.3f ", time.Since(w.started).Seconds())
	fmt.Fprintf(w.writer, format+"\n", args...)
}

// onClose registers a function that is called at the end, the latest first.
func (w *world) onClose(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closers = append(w.closers, f)
}

// close ends all processes and stand-ins. The record is flushed when the process ends.
func (w *world) close() {
	w.mu.Lock()
	closers := w.closers
	w.closers = nil
	w.mu.Unlock()
	for i := len(closers) - 1; i >= 0; i-- {
		closers[i]()
	}
	_ = os.RemoveAll(w.dir)
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = w.writer.Flush()
	w.writer = bufio.NewWriterSize(w.record, 16)
}

// node is an instance that runs as a process of its own.
type node struct {
	name      string
	zone      string
	caller    string
	ready     string
	peer      string
	admin     string
	processor float64
	cmd       *exec.Cmd
	exited    chan struct{}
}

// ownHost returns a loopback address that no other run of the program uses at the same time.
func ownHost() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 10+pid>>16&63, pid>>8&255, 1+pid&127)
}

// freeAddress returns an address with a port that is free at the moment.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", ownHost()+":0")
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

// addNode reserves the addresses of an instance.
func (w *world) addNode(name, zone string) (*node, error) {
	n := &node{name: name, zone: zone, processor: 0.4}
	for _, a := range []*string{&n.caller, &n.ready, &n.peer, &n.admin} {
		address, err := freeAddress()
		if err != nil {
			return nil, err
		}
		*a = address
	}
	w.nodes = append(w.nodes, n)
	return n, nil
}

// start starts the process of an instance with the store at the address.
func (w *world) start(n *node, store string) error {
	var seeds []string
	for _, other := range w.nodes[:min(len(w.nodes), 3)] {
		seeds = append(seeds, other.peer)
	}
	settings := map[string]any{
		"instance": n.name, "failure-domain": n.zone, "caller-address": n.caller, "peer-address": n.peer, "admin-address": n.admin,
		"platform-address": store, "seeds": seeds,
		"relay": map[string]any{
			"ready-address": n.ready, "ready-path": "/ready", "grace-seconds": graceTime.Seconds(), "extra-load-ratio": 0.2,
			"extra-load-slack": 52, "extra-load-window-seconds": 10, "cold-factor": 1.5, "cold-slack": 5, "configuration-ms": 3000,
			"drain-ms": drainTime.Milliseconds(), "processor-share": n.processor, "processor-speed": 1, "memory-mb": 284,
		},
	}
	raw, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return err
	}
	file := filepath.Join(w.dir, n.name+".json")
	if err := os.WriteFile(file, raw, 0o600); err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(w.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	n.cmd = exec.Command(w.program, "serve", "--settings", file)
	n.cmd.Stdout, n.cmd.Stderr = output, output
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		return err
	}
	w.log("instance %s started in %s", n.name, n.zone)
	n.exited = make(chan struct{})
	go func() {
		_ = n.cmd.Wait()
		_ = output.Close()
		close(n.exited)
	}()
	w.onClose(func() {
		n.kill()
		w.copyLog(n)
	})
	return nil
}

// kill ends the process of the instance and waits for its end.
func (n *node) kill() {
	_ = n.cmd.Process.Kill()
	<-n.exited
}

// copyLog keeps the log of an instance if the environment names a folder for it.
func (w *world) copyLog(n *node) {
	keep := os.Getenv("KEEP_LOGS")
	if keep == "" {
		return
	}
	if raw, err := os.ReadFile(filepath.Join(w.dir, n.name+".log")); err == nil {
		_ = os.WriteFile(filepath.Join(keep, n.name+".log"), raw, 0o600)
	}
}

// awaitReady waits until all instances say that they are ready.
func (w *world) awaitReady() error {
	deadline := time.Now().Add(20 * time.Second)
	for _, n := range w.nodes {
		for !isReady(n) {
			if time.Now().After(deadline) {
				return fmt.Errorf("instance %s is not ready", n.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	w.log("all instances ready")
	return nil
}

func isReady(n *node) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.ready+"/ready", nil)
	if err != nil {
		return false
	}
	reply, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	_ = reply.Body.Close()
	return reply.StatusCode == http.StatusOK
}
