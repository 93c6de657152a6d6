// Package launcher starts the processes of a deployment in native mode on loopback ports and controls them: the
// platform, the targets and the instances. It also publishes changes of the manifest and of the member list. The soak,
// the demo, the benchmarks and the capacity measurements use it, and package rehearser starts its instances with
// StartProgram; package driver sends the queries.
package launcher

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"apricotflow/internal/standin/deployer"
	"apricotflow/internal/standin/publisher"
	"apricotflow/internal/standin/replier"
	"apricotflow/internal/standin/responder"
	"apricotflow/internal/wire/encoder"
)

// PlatformName is the process name of the platform.
const PlatformName = "platform"

const (
	// pollInterval is the time between two checks of a condition.
	pollInterval = 20 * time.Millisecond
	// startTimeout is the maximum time until a stand-in responds to requests.
	startTimeout = 20 * time.Second
	// outputTailBytes is the maximum length of the process output in an error, in bytes.
	outputTailBytes = 1000
)

// Settings configures a deployment.
type Settings struct {
	// Standin and Apricotflow are the paths of the two programs.
	Standin, Apricotflow string
	// Environment is added to the environment of the processes.
	Environment []string
	// Directory receives the settings and the output of the processes. By default, it is a temporary directory that
	// Close removes.
	Directory string
	Plan      deployer.Plan
	// Instances is the number of instances, which are distributed over the failure domains in turn.
	Instances int
	// TargetFlags returns additional flags of "standin target", such as --service-ms. It may be nil.
	TargetFlags func(encoder.Target) []string
	// ExternalTargets reports whether the caller runs the targets itself, at the addresses of the plan.
	ExternalTargets bool
	// ChangeSettings modifies the settings of an instance before its start. It may be nil.
	ChangeSettings func(*encoder.Settings)
	// Links reports whether there is a forwarding link in front of every target, every instance and the platform.
	Links bool
}

// Instance is a started instance. Its addresses stay the same after a restart.
type Instance struct {
	Name, FailureDomain string
	// CallerAddress, PeerAddress and AdminAddress are the addresses for callers, for other instances and for operators.
	// PeerAddress is the address in the member list, which is the address of the link if there are links.
	CallerAddress, PeerAddress, AdminAddress string
	settingsPath                             string
	// listenAddress is the address at which the instance itself listens for other instances.
	listenAddress string
}

// Launcher starts and controls the processes of one deployment.
type Launcher struct {
	settings        Settings
	ownsDirectory   bool
	platformAddress string
	links           *linkSet
	// changeMu serializes changes, so that manifests and member lists reach the platform in order.
	changeMu sync.Mutex

	mu        sync.Mutex
	processes map[string]*process
	instances map[string]Instance
	// targets holds the manifest entry of each target with the address that it listens on, controlAddresses its control
	// address.
	targets            map[string]encoder.Target
	controlAddresses   map[string]string
	manifest           encoder.Manifest
	members            encoder.MemberList
	lastInstanceNumber int
}

// Start starts the platform, the targets and the instances. All processes end when ctx ends, on Close, or when this
// process ends.
func Start(ctx context.Context, s Settings) (*Launcher, error) {
	l := &Launcher{
		settings:         s,
		processes:        make(map[string]*process),
		instances:        make(map[string]Instance),
		targets:          make(map[string]encoder.Target),
		controlAddresses: make(map[string]string),
		manifest:         s.Plan.Manifest,
		members:          encoder.MemberList{Revision: 1, Instances: []encoder.MemberInstance{}, Targets: []encoder.MemberTarget{}},
	}
	l.links = newLinkSet(l)
	if s.Directory == "" {
		directory, err := os.MkdirTemp("", "standin-")
		if err != nil {
			return nil, fmt.Errorf("launcher: create temporary directory: %w", err)
		}
		l.settings.Directory, l.ownsDirectory = directory, true
	}
	if err := l.startAll(ctx); err != nil {
		l.Close()
		return nil, err
	}
	context.AfterFunc(ctx, l.Close)
	return l, nil
}

func (l *Launcher) startAll(ctx context.Context) error {
	l.platformAddress = FreeAddress()
	if err := l.startPlatform(ctx); err != nil {
		return err
	}
	if err := l.startTargets(ctx); err != nil {
		return err
	}
	if err := l.publish(ctx); err != nil {
		return err
	}
	for range l.settings.Instances {
		if _, err := l.AddInstance(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (l *Launcher) startPlatform(ctx context.Context) error {
	if err := l.launch(PlatformName, "", l.settings.Standin, "platform", "--address", l.platformAddress); err != nil {
		return err
	}
	return l.waitUntil(ctx, startTimeout, func() bool { return respondsOK(ctx, l.platformAddress, "/v1/statistics") })
}

func (l *Launcher) startTargets(ctx context.Context) error {
	if l.settings.ExternalTargets {
		return nil
	}
	m, err := encoder.Decode[encoder.Manifest](encoder.Encode(l.manifest))
	if err != nil {
		return fmt.Errorf("launcher: copy manifest: %w", err)
	}
	for _, s := range m.Services {
		for i := range s.Targets {
			t := &s.Targets[i]
			l.targets[t.Name], l.controlAddresses[t.Name] = *t, FreeAddress()
			if err := l.startTarget(t.Name); err != nil {
				return err
			}
			if t.Address, err = l.links.open(t.Name, t.FailureDomain, t.Address); err != nil {
				return err
			}
		}
	}
	l.manifest = m
	for name, address := range l.controlAddresses {
		if err := l.waitUntil(ctx, startTimeout, func() bool { return respondsOK(ctx, address, "/v1/statistics") }); err != nil {
			return fmt.Errorf("launcher: wait for target %s: %w", name, err)
		}
	}
	return nil
}

func (l *Launcher) startTarget(name string) error {
	l.mu.Lock()
	t, found := l.targets[name]
	held, control := deployer.HeldVersions(l.manifest, name), l.controlAddresses[name]
	l.mu.Unlock()
	if !found {
		return &UnknownProcessError{Name: name}
	}
	arguments := []string{
		"target", "--name", name, "--address", t.Address, "--control-address", control,
		"--slots", strconv.Itoa(t.Slots), "--connections", strconv.Itoa(t.Connections),
		"--cold-limit", strconv.Itoa(t.ColdLimit),
		"--connect-ms", fmt.Sprint(float64(l.settings.Plan.ConnectDelays[name]) / float64(time.Millisecond)),
	}
	for _, v := range held {
		arguments = append(arguments, "--versions", fmt.Sprintf("%s=%d", v.Index, v.Version))
	}
	if l.settings.TargetFlags != nil {
		arguments = append(arguments, l.settings.TargetFlags(t)...)
	}
	return l.launch(name, t.FailureDomain, l.settings.Standin, arguments...)
}

// launch starts a process with the given name, which a process that has exited may have had before.
func (l *Launcher) launch(name, domain, program string, arguments ...string) error {
	output := filepath.Join(l.settings.Directory, name+".log")
	p, err := startProcess(name, domain, output, program, arguments, l.settings.Environment)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.processes[name] = p
	return nil
}

// AddInstance starts an instance in the next failure domain in turn and adds it to the member list.
func (l *Launcher) AddInstance(ctx context.Context) (Instance, error) {
	l.mu.Lock()
	domains := l.manifest.FailureDomains
	domain := domains[l.lastInstanceNumber%len(domains)].Name
	l.lastInstanceNumber++
	name := fmt.Sprintf("instance-%d", l.lastInstanceNumber)
	l.mu.Unlock()
	n := Instance{Name: name, FailureDomain: domain, CallerAddress: FreeAddress(), AdminAddress: FreeAddress(), listenAddress: FreeAddress()}
	var err error
	if n.PeerAddress, err = l.links.open(name, domain, n.listenAddress); err != nil {
		return n, err
	}
	platformAddress, err := l.links.open(PlatformName+"-"+name, "", l.platformAddress)
	if err != nil {
		return n, err
	}
	if err := l.writeSettings(&n, platformAddress); err != nil {
		return n, err
	}
	return n, l.StartInstance(ctx, n)
}

// StartInstance adds an instance to the member list and starts it. An instance that was removed from the list before
// keeps its addresses. Restart, in contrast, starts a listed instance again and leaves the member list as it is.
func (l *Launcher) StartInstance(ctx context.Context, n Instance) error {
	err := l.changeMembers(ctx, func(m *encoder.MemberList) {
		m.Instances = append(m.Instances, encoder.MemberInstance{
			Name: n.Name, FailureDomain: n.FailureDomain, PeerAddress: n.PeerAddress, AdminAddress: n.AdminAddress,
			State: encoder.MemberInstanceStateLive,
		})
	})
	if err != nil {
		return err
	}
	l.mu.Lock()
	l.instances[n.Name] = n
	l.mu.Unlock()
	return l.launch(n.Name, n.FailureDomain, l.settings.Apricotflow, "serve", "--settings", n.settingsPath)
}

func (l *Launcher) writeSettings(n *Instance, platformAddress string) error {
	s := encoder.Settings{
		Instance: n.Name, FailureDomain: n.FailureDomain, CallerAddress: n.CallerAddress, PeerAddress: n.listenAddress,
		AdminAddress: n.AdminAddress, PlatformAddress: platformAddress,
	}
	if l.settings.ChangeSettings != nil {
		l.settings.ChangeSettings(&s)
	}
	n.settingsPath = filepath.Join(l.settings.Directory, n.Name+".json")
	if err := os.WriteFile(n.settingsPath, encoder.Encode(s), 0o600); err != nil {
		return fmt.Errorf("launcher: write settings of %s: %w", n.Name, err)
	}
	return nil
}

// StopAndRemoveInstance lists an instance as leaving, terminates it, waits until it has exited and removes it from the
// member list. It returns the exit code.
func (l *Launcher) StopAndRemoveInstance(ctx context.Context, name string, limit time.Duration) (int, error) {
	err := l.changeMembers(ctx, func(m *encoder.MemberList) {
		for i := range m.Instances {
			if m.Instances[i].Name == name {
				m.Instances[i].State = encoder.MemberInstanceStateLeaving
			}
		}
	})
	if err != nil {
		return 0, err
	}
	if err := l.Terminate(name); err != nil {
		return 0, err
	}
	code, err := l.Wait(name, limit)
	return code, errors.Join(err, l.RemoveMember(ctx, name))
}

// RemoveMember removes an instance from the member list and from Instances, as the platform does after an instance was
// killed. It does not end the process. StartInstance lists and starts the instance again.
func (l *Launcher) RemoveMember(ctx context.Context, name string) error {
	l.mu.Lock()
	delete(l.instances, name)
	l.mu.Unlock()
	return l.changeMembers(ctx, func(m *encoder.MemberList) {
		m.Instances = slices.DeleteFunc(m.Instances, func(n encoder.MemberInstance) bool { return n.Name == name })
	})
}

// Restart restarts a process that has exited, at the same addresses. After a restart of the platform, it publishes the
// manifest and the member list again.
func (l *Launcher) Restart(ctx context.Context, name string) error {
	if name == PlatformName {
		return errors.Join(l.startPlatform(ctx), l.publish(ctx))
	}
	l.mu.Lock()
	n, found := l.instances[name]
	l.mu.Unlock()
	if found {
		return l.launch(name, n.FailureDomain, l.settings.Apricotflow, "serve", "--settings", n.settingsPath)
	}
	return l.startTarget(name)
}

// Instances returns the instances, sorted by name.
func (l *Launcher) Instances() []Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.SortedFunc(maps.Values(l.instances), func(a, b Instance) int { return strings.Compare(a.Name, b.Name) })
}

// CallerAddresses returns the caller addresses of the instances.
func (l *Launcher) CallerAddresses() []string {
	instances := l.Instances()
	addresses := make([]string, 0, len(instances))
	for _, n := range instances {
		addresses = append(addresses, n.CallerAddress)
	}
	return addresses
}

// AdminAddresses returns the admin addresses of the instances.
func (l *Launcher) AdminAddresses() []string {
	instances := l.Instances()
	addresses := make([]string, 0, len(instances))
	for _, n := range instances {
		addresses = append(addresses, n.AdminAddress)
	}
	return addresses
}

// TargetControlAddresses returns the control addresses of the targets.
func (l *Launcher) TargetControlAddresses() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Sorted(maps.Values(l.controlAddresses))
}

// PlatformAddress returns the address of the platform.
func (l *Launcher) PlatformAddress() string { return l.platformAddress }

// Output returns the output of a process so far.
func (l *Launcher) Output(name string) string {
	raw, _ := os.ReadFile(filepath.Join(l.settings.Directory, name+".log"))
	return string(raw)
}

// outputTail returns the end of the output of a process.
func (l *Launcher) outputTail(name string) string {
	output := l.Output(name)
	return output[max(0, len(output)-outputTailBytes):]
}

// ControlTarget changes the behaviour of a target and returns its statistics.
func (l *Launcher) ControlTarget(ctx context.Context, name string, c responder.Control) (responder.Statistics, error) {
	l.mu.Lock()
	address := l.controlAddresses[name]
	l.mu.Unlock()
	return replier.Post[responder.Statistics](ctx, "http://"+address+"/v1/control", c)
}

// Statistics returns the statistics of all targets that can be reached, by target name.
func (l *Launcher) Statistics(ctx context.Context) map[string]responder.Statistics {
	all := make(map[string]responder.Statistics)
	for _, address := range l.TargetControlAddresses() {
		if s, err := replier.Get[responder.Statistics](ctx, "http://"+address+"/v1/statistics"); err == nil {
			all[s.Name] = s
		}
	}
	return all
}

// ControlPlatform changes the behaviour of the platform and returns its statistics.
func (l *Launcher) ControlPlatform(ctx context.Context, c publisher.Control) (publisher.Statistics, error) {
	return replier.Post[publisher.Statistics](ctx, "http://"+l.platformAddress+"/v1/control", c)
}

// WaitReady waits until every instance is ready. The limit applies to each instance in turn. It fails immediately if an
// instance has exited.
func (l *Launcher) WaitReady(ctx context.Context, limit time.Duration) error {
	for _, n := range l.Instances() {
		hasExited := false
		err := l.waitUntil(ctx, limit, func() bool {
			hasExited = l.hasExited(n.Name)
			return hasExited || respondsOK(ctx, n.CallerAddress, "/v1/ready")
		})
		if hasExited {
			err = &ExitedError{Name: n.Name}
		}
		if err != nil {
			return fmt.Errorf("launcher: %s is not ready: %w; end of its output:\n%s", n.Name, err, l.outputTail(n.Name))
		}
	}
	return nil
}

func (l *Launcher) waitUntil(ctx context.Context, limit time.Duration, done func() bool) error {
	ctx, stop := context.WithTimeout(ctx, limit)
	defer stop()
	for !done() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pollInterval):
		}
	}
	return nil
}

func respondsOK(ctx context.Context, address, path string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return false
	}
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (l *Launcher) hasExited(name string) bool {
	_, err := l.Wait(name, 0)
	return err == nil
}

func (l *Launcher) process(name string) (*process, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p, found := l.processes[name]
	if !found {
		return nil, &UnknownProcessError{Name: name}
	}
	return p, nil
}

// ProcessID returns the process id of a process.
func (l *Launcher) ProcessID(name string) (int, error) {
	p, err := l.process(name)
	if err != nil {
		return 0, err
	}
	return p.pid(), nil
}

// Kill kills a process and waits until it has exited.
func (l *Launcher) Kill(name string) error {
	p, err := l.process(name)
	if err != nil {
		return err
	}
	return p.kill()
}

// Pause pauses a process and waits until it has stopped.
func (l *Launcher) Pause(name string) error {
	p, err := l.process(name)
	if err != nil {
		return err
	}
	return p.pause()
}

// Resume resumes a paused process.
func (l *Launcher) Resume(name string) error { return l.signal(name, syscall.SIGCONT) }

// Terminate asks a process for a graceful shutdown.
func (l *Launcher) Terminate(name string) error { return l.signal(name, syscall.SIGTERM) }

func (l *Launcher) signal(name string, s os.Signal) error {
	p, err := l.process(name)
	if err != nil {
		return err
	}
	return p.signal(s)
}

// Wait waits until a process has exited and returns its exit code, or -1 if a signal ended it.
func (l *Launcher) Wait(name string, limit time.Duration) (int, error) {
	p, err := l.process(name)
	if err != nil {
		return 0, err
	}
	return p.wait(limit)
}

// Close kills all processes and waits until they have exited.
func (l *Launcher) Close() {
	l.mu.Lock()
	running := slices.Collect(maps.Values(l.processes))
	l.mu.Unlock()
	for _, p := range running {
		_ = p.kill()
	}
	l.links.close()
	if l.ownsDirectory {
		_ = os.RemoveAll(l.settings.Directory)
	}
}
