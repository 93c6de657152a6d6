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

// PlatformName is the name of the platform's process.
const PlatformName = "platform"

const (
	// pollInterval is the time between two checks of a condition.
	pollInterval = 20 * time.Millisecond
	// startLimit is how long a stand-in may take until it listens.
	startLimit = 20 * time.Second
	// tailSize is the length of the output in an error, in bytes.
	tailSize = 1000
)

// Settings describe what is started.
type Settings struct {
	// Standin and Apricotflow are the paths of the two programs.
	Standin, Apricotflow string
	// Environment is added to that of the children.
	Environment []string
	// Directory receives the settings and the output; a temporary one by default, which Close removes.
	Directory string
	Plan      deployer.Plan
	// Instances are spread over the failure domains in turn.
	Instances int
	// TargetFlags returns further flags of "standin target", such as --service-ms; it may be nil.
	TargetFlags func(encoder.Target) []string
	// ForeignTargets leaves the targets to the caller, who runs them at the addresses in the plan.
	ForeignTargets bool
	// Change changes the settings of an instance before its start; it may be nil.
	Change func(*encoder.Settings)
	// Links puts a link before every target, every instance and the platform.
	Links bool
}

// Instance is a started instance; its addresses stay the same over restarts.
type Instance struct {
	Name, FailureDomain string
	// Peer is the address in the member list: the link's if there are links.
	Caller, Peer, Admin string
	settings            string
	listen              string
}

// Launcher holds the processes of one deployment.
type Launcher struct {
	settings  Settings
	temporary bool
	platform  string
	links     *links
	// changes makes the changes of manifest and members reach the platform in order.
	changes sync.Mutex

	mu        sync.Mutex
	processes map[string]*process
	instances map[string]Instance
	// targets holds the manifest entry of each target with the address it listens on; controls its control address.
	targets  map[string]encoder.Target
	controls map[string]string
	manifest encoder.Manifest
	members  encoder.MemberList
	serial   int
}

// Start starts the platform, the targets and the instances; all end when ctx ends, with Close, or with this process.
func Start(ctx context.Context, s Settings) (*Launcher, error) {
	l := &Launcher{
		settings:  s,
		processes: make(map[string]*process),
		instances: make(map[string]Instance),
		targets:   make(map[string]encoder.Target),
		controls:  make(map[string]string),
		manifest:  s.Plan.Manifest,
		members:   encoder.MemberList{Revision: 1, Instances: []encoder.MemberInstance{}, Targets: []encoder.MemberTarget{}},
	}
	l.links = newLinks(l)
	if s.Directory == "" {
		directory, err := os.MkdirTemp("", "standin-")
		if err != nil {
			return nil, fmt.Errorf("launcher: %w", err)
		}
		l.settings.Directory, l.temporary = directory, true
	}
	if err := l.startAll(ctx); err != nil {
		l.Close()
		return nil, err
	}
	context.AfterFunc(ctx, l.Close)
	return l, nil
}

func (l *Launcher) startAll(ctx context.Context) error {
	l.platform = FreeAddress()
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
	if err := l.run(PlatformName, "", l.settings.Standin, "platform", "--address", l.platform); err != nil {
		return err
	}
	return l.await(ctx, startLimit, func() bool { return answers(ctx, l.platform, "/v1/statistics") })
}

func (l *Launcher) startTargets(ctx context.Context) error {
	if l.settings.ForeignTargets {
		return nil
	}
	m, err := encoder.Decode[encoder.Manifest](encoder.Encode(l.manifest))
	if err != nil {
		return fmt.Errorf("launcher: %w", err)
	}
	for _, s := range m.Services {
		for i := range s.Targets {
			t := &s.Targets[i]
			l.targets[t.Name], l.controls[t.Name] = *t, FreeAddress()
			if err := l.startTarget(t.Name); err != nil {
				return err
			}
			if t.Address, err = l.links.open(t.Name, t.FailureDomain, t.Address); err != nil {
				return err
			}
		}
	}
	l.manifest = m
	for name, address := range l.controls {
		if err := l.await(ctx, startLimit, func() bool { return answers(ctx, address, "/v1/statistics") }); err != nil {
			return fmt.Errorf("launcher: target %s: %w", name, err)
		}
	}
	return nil
}

func (l *Launcher) startTarget(name string) error {
	l.mu.Lock()
	t, found := l.targets[name]
	held, control := deployer.Held(l.manifest, name), l.controls[name]
	l.mu.Unlock()
	if !found {
		return &UnknownProcessError{Name: name}
	}
	arguments := []string{
		"target", "--name", name, "--address", t.Address, "--control-address", control,
		"--slots", strconv.Itoa(t.Slots), "--connections", strconv.Itoa(t.Connections),
		"--cold-limit", strconv.Itoa(t.ColdLimit),
		"--connect-ms", fmt.Sprint(float64(l.settings.Plan.Connect[name]) / float64(time.Millisecond)),
	}
	for _, v := range held {
		arguments = append(arguments, "--versions", fmt.Sprintf("%s=%d", v.Index, v.Version))
	}
	if l.settings.TargetFlags != nil {
		arguments = append(arguments, l.settings.TargetFlags(t)...)
	}
	return l.run(name, t.FailureDomain, l.settings.Standin, arguments...)
}

// run starts a process under a name, which it may have had before.
func (l *Launcher) run(name, domain, program string, arguments ...string) error {
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

// AddInstance starts one more instance, in the next failure domain in turn, and lists it as a member.
func (l *Launcher) AddInstance(ctx context.Context) (Instance, error) {
	l.mu.Lock()
	domains := l.manifest.FailureDomains
	domain := domains[l.serial%len(domains)].Name
	l.serial++
	name := fmt.Sprintf("instance-%d", l.serial)
	l.mu.Unlock()
	n := Instance{Name: name, FailureDomain: domain, Caller: FreeAddress(), Admin: FreeAddress(), listen: FreeAddress()}
	var err error
	if n.Peer, err = l.links.open(name, domain, n.listen); err != nil {
		return n, err
	}
	platform, err := l.links.open(PlatformName+"-"+name, "", l.platform)
	if err != nil {
		return n, err
	}
	if err := l.writeSettings(&n, platform); err != nil {
		return n, err
	}
	return n, l.ReturnInstance(ctx, n)
}

// ReturnInstance lists an instance that is not in the member list and starts it, at the same addresses as before.
func (l *Launcher) ReturnInstance(ctx context.Context, n Instance) error {
	err := l.changeMembers(ctx, func(m *encoder.MemberList) {
		m.Instances = append(m.Instances, encoder.MemberInstance{
			Name: n.Name, FailureDomain: n.FailureDomain, PeerAddress: n.Peer, AdminAddress: n.Admin,
			State: encoder.MemberInstanceStateLive,
		})
	})
	if err != nil {
		return err
	}
	l.mu.Lock()
	l.instances[n.Name] = n
	l.mu.Unlock()
	return l.run(n.Name, n.FailureDomain, l.settings.Apricotflow, "serve", "--settings", n.settings)
}

func (l *Launcher) writeSettings(n *Instance, platform string) error {
	s := encoder.Settings{
		Instance: n.Name, FailureDomain: n.FailureDomain, CallerAddress: n.Caller, PeerAddress: n.listen,
		AdminAddress: n.Admin, PlatformAddress: platform,
	}
	if l.settings.Change != nil {
		l.settings.Change(&s)
	}
	n.settings = filepath.Join(l.settings.Directory, n.Name+".json")
	if err := os.WriteFile(n.settings, encoder.Encode(s), 0o600); err != nil {
		return fmt.Errorf("launcher: settings of %s: %w", n.Name, err)
	}
	return nil
}

// RemoveInstance lists an instance as leaving, terminates it, waits until it has exited and removes it from the
// list. It returns the exit code.
func (l *Launcher) RemoveInstance(ctx context.Context, name string, limit time.Duration) (int, error) {
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
	return code, errors.Join(err, l.ForgetInstance(ctx, name))
}

// ForgetInstance removes an instance from the member list, as the platform does after it was killed.
func (l *Launcher) ForgetInstance(ctx context.Context, name string) error {
	l.mu.Lock()
	delete(l.instances, name)
	l.mu.Unlock()
	return l.changeMembers(ctx, func(m *encoder.MemberList) {
		m.Instances = slices.DeleteFunc(m.Instances, func(n encoder.MemberInstance) bool { return n.Name == name })
	})
}

// Restart starts a process again, at the same addresses, after it has exited. The platform gets its values back.
func (l *Launcher) Restart(ctx context.Context, name string) error {
	if name == PlatformName {
		return errors.Join(l.startPlatform(ctx), l.publish(ctx))
	}
	l.mu.Lock()
	n, found := l.instances[name]
	l.mu.Unlock()
	if found {
		return l.run(name, n.FailureDomain, l.settings.Apricotflow, "serve", "--settings", n.settings)
	}
	return l.startTarget(name)
}

// Instances returns the instances by name.
func (l *Launcher) Instances() []Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.SortedFunc(maps.Values(l.instances), func(a, b Instance) int { return strings.Compare(a.Name, b.Name) })
}

// Callers returns the caller addresses of the instances.
func (l *Launcher) Callers() []string {
	instances := l.Instances()
	addresses := make([]string, 0, len(instances))
	for _, n := range instances {
		addresses = append(addresses, n.Caller)
	}
	return addresses
}

// Admins returns the addresses for operators of the instances.
func (l *Launcher) Admins() []string {
	instances := l.Instances()
	addresses := make([]string, 0, len(instances))
	for _, n := range instances {
		addresses = append(addresses, n.Admin)
	}
	return addresses
}

// Controls returns the control addresses of the targets.
func (l *Launcher) Controls() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Sorted(maps.Values(l.controls))
}

// Platform returns the address of the platform's process.
func (l *Launcher) Platform() string { return l.platform }

// Output returns the output of a process so far.
func (l *Launcher) Output(name string) string {
	raw, _ := os.ReadFile(filepath.Join(l.settings.Directory, name+".log"))
	return string(raw)
}

// tail returns the last part of the output of a process.
func (l *Launcher) tail(name string) string {
	output := l.Output(name)
	return output[max(0, len(output)-tailSize):]
}

// ControlTarget changes the behaviour of a target and returns its statistics.
func (l *Launcher) ControlTarget(ctx context.Context, name string, c responder.Control) (responder.Statistics, error) {
	l.mu.Lock()
	address := l.controls[name]
	l.mu.Unlock()
	return replier.Post[responder.Statistics](ctx, "http://"+address+"/v1/control", c)
}

// Statistics returns the statistics of the targets that can be reached, by name.
func (l *Launcher) Statistics(ctx context.Context) map[string]responder.Statistics {
	all := make(map[string]responder.Statistics)
	for _, address := range l.Controls() {
		if s, err := replier.Get[responder.Statistics](ctx, "http://"+address+"/v1/statistics"); err == nil {
			all[s.Name] = s
		}
	}
	return all
}

// ControlPlatform changes the behaviour of the platform and returns its statistics.
func (l *Launcher) ControlPlatform(ctx context.Context, c publisher.Control) (publisher.Statistics, error) {
	return replier.Post[publisher.Statistics](ctx, "http://"+l.platform+"/v1/control", c)
}

// WaitReady waits until every instance is ready; it fails at once when one has exited.
func (l *Launcher) WaitReady(ctx context.Context, limit time.Duration) error {
	for _, n := range l.Instances() {
		exited := false
		err := l.await(ctx, limit, func() bool {
			exited = l.exited(n.Name)
			return exited || answers(ctx, n.Caller, "/v1/ready")
		})
		if exited {
			err = &ExitedError{Name: n.Name}
		}
		if err != nil {
			return fmt.Errorf("launcher: %s is not ready: %w; end of its output:\n%s", n.Name, err, l.tail(n.Name))
		}
	}
	return nil
}

func (l *Launcher) await(ctx context.Context, limit time.Duration, done func() bool) error {
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

func answers(ctx context.Context, address, path string) bool {
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

func (l *Launcher) exited(name string) bool {
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

// ProcessID returns the id of a process.
func (l *Launcher) ProcessID(name string) (int, error) {
	p, err := l.process(name)
	if err != nil {
		return 0, err
	}
	return p.pid(), nil
}

// Kill ends a process at once and waits for its end.
func (l *Launcher) Kill(name string) error {
	p, err := l.process(name)
	if err != nil {
		return err
	}
	return p.kill()
}

// Stop pauses a process.
func (l *Launcher) Stop(name string) error { return l.signal(name, syscall.SIGSTOP) }

// Continue resumes a paused process.
func (l *Launcher) Continue(name string) error { return l.signal(name, syscall.SIGCONT) }

// Terminate asks a process for a graceful shutdown.
func (l *Launcher) Terminate(name string) error { return l.signal(name, syscall.SIGTERM) }

func (l *Launcher) signal(name string, s os.Signal) error {
	p, err := l.process(name)
	if err != nil {
		return err
	}
	return p.signal(s)
}

// Wait waits until a process has exited and returns its exit code, or -1 after a signal.
func (l *Launcher) Wait(name string, limit time.Duration) (int, error) {
	p, err := l.process(name)
	if err != nil {
		return 0, err
	}
	return p.wait(limit)
}

// Close kills all processes and waits for their end.
func (l *Launcher) Close() {
	l.mu.Lock()
	running := slices.Collect(maps.Values(l.processes))
	l.mu.Unlock()
	for _, p := range running {
		_ = p.kill()
	}
	l.links.close()
	if l.temporary {
		_ = os.RemoveAll(l.settings.Directory)
	}
}
