package gauger

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"apricotflow/internal/operator/recorder"
	"apricotflow/internal/operator/timekeeper"
	"apricotflow/internal/standin/launcher"
	"apricotflow/internal/standin/publisher"
	"apricotflow/internal/standin/replier"
	"apricotflow/internal/standin/responder"
	"apricotflow/internal/wire/encoder"
)

const (
	// domains is the number of failure domains of a run.
	domains = 3
	// settle is the time after the start in which first leases are taken and connections opened.
	settle = 6 * time.Second
	// clockTick is the unit of processor time in /proc, in all Linux builds for this architecture.
	clockTick = 10 * time.Millisecond
	readyTime = 30 * time.Second
)

// Settings describe the runs.
type Settings struct {
	Standin, Apricotflow string
	Points               []Point
	Repeat               int
	// Duration is the measured time of one run, without the start.
	Duration time.Duration
	Output   io.Writer
}

// Point is the size of one run.
type Point struct {
	Instances, Targets int
	// Changes are configuration changes per minute.
	Changes int
}

// Points returns the sizes measured by default.
func Points() []Point {
	return []Point{
		{3, 12, 0},
		{6, 12, 0},
		{12, 12, 0},
		{24, 12, 0},
		{48, 12, 0},
		{12, 60, 0},
		{12, 180, 0},
		{12, 400, 0},
		{12, 60, 10},
		{12, 60, 60},
		{24, 60, 60},
		{48, 60, 60},
	}
}

// Sample is what one run measured, per instance unless stated otherwise.
type Sample struct {
	// CPU is in percent of one core, Memory the mean resident size in MB and MaxMemory the largest one.
	CPU, Memory, MaxMemory float64
	// Read and Written are in KB/s over all sockets; Calls are system calls for them each second.
	Read, Written, Calls float64
	// Reads are the platform's reads each second, and Pending its pending watches, over all instances.
	Reads   float64
	Pending int
	// InForce holds the times until each change is in force on every instance, in ms, in rising order. Missing
	// counts the changes that were not seen on every instance.
	InForce []float64
	Missing int
}

// Run measures all points and prints one row for each run.
func Run(ctx context.Context, s Settings) error {
	_, _ = fmt.Fprintln(s.Output, "instances targets changes/min | cpu-% rss-MB max-MB read-KB/s written-KB/s io-calls/s | platform-reads/s pending | in-force-ms median max missing")
	for _, p := range s.Points {
		for range s.Repeat {
			m, err := measure(ctx, s, p)
			if err != nil {
				return fmt.Errorf("gauger: %+v: %w", p, err)
			}
			middle, longest := 0.0, 0.0
			if n := len(m.InForce); n > 0 {
				middle, longest = m.InForce[n/2], m.InForce[n-1]
			}
			_, _ = fmt.Fprintf(s.Output, "%9d %7d %11d | %5.2f %6.1f %6.1f %9.2f %12.2f %10.0f | %16.2f %7d | %.0f %.0f %d\n", p.Instances, p.Targets, p.Changes,
				m.CPU, m.Memory, m.MaxMemory, m.Read, m.Written, m.Calls, m.Reads, m.Pending, middle, longest, m.Missing)
		}
	}
	return nil
}

func measure(ctx context.Context, s Settings, p Point) (Sample, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	addresses, closeTargets, err := startTargets(p.Targets)
	defer closeTargets()
	if err != nil {
		return Sample{}, err
	}
	plan := Plan(domains, p.Targets, func(i int) string { return addresses[i] })
	l, err := launcher.Start(ctx, launcher.Settings{
		Standin: s.Standin, Apricotflow: s.Apricotflow, Plan: plan, Instances: p.Instances, ForeignTargets: true,
	})
	if err != nil {
		return Sample{}, err
	}
	defer l.Close()
	if err := l.WaitReady(ctx, readyTime); err != nil {
		return Sample{}, err
	}
	sleep(ctx, settle)
	before, err := readUsage(ctx, l)
	if err != nil {
		return Sample{}, err
	}
	started := time.Now()
	published, err := change(ctx, l, p.Changes, s.Duration)
	if err != nil {
		return Sample{}, err
	}
	sleep(ctx, s.Duration-time.Since(started))
	after, err := readUsage(ctx, l)
	if err != nil {
		return Sample{}, err
	}
	m := after.since(before, time.Since(started), p.Instances)
	m.InForce, m.Missing, err = inForce(ctx, l, published)
	return m, err
}

// startTargets runs the targets in this process, so that their number is not limited by that of processes.
func startTargets(n int) ([]string, func(), error) {
	running := make([]*responder.Responder, 0, n)
	addresses := make([]string, 0, n)
	stop := func() {
		for _, t := range running {
			t.Close()
		}
	}
	held := []encoder.HeldVersion{{Index: "index", Version: 1}}
	for i := range n {
		t, err := responder.Start(responder.Settings{
			Name: fmt.Sprintf("leaf-%04d-%02d", i/domains, i%domains), Address: launcher.FreeAddress(), Control: "127.0.0.1:0",
			Slots: 3, Connections: 40, ColdLimit: 1, Versions: held, Service: time.Millisecond,
		})
		if err != nil {
			return nil, stop, err
		}
		running, addresses = append(running, t), append(addresses, t.Address())
	}
	return addresses, stop, nil
}

// change publishes changes at a fixed rate and returns the time of each by generation.
func change(ctx context.Context, l *launcher.Launcher, perMinute int, duration time.Duration) (map[string]time.Time, error) {
	published := make(map[string]time.Time)
	if perMinute == 0 {
		return published, nil
	}
	interval := time.Minute / time.Duration(perMinute)
	last := time.Now().Add(duration - interval/2)
	for time.Now().Before(last) {
		next := time.Now().Add(interval)
		err := l.ChangeManifest(ctx, func(m encoder.Manifest) encoder.Manifest {
			m.Generation++
			published[fmt.Sprintf("generation %d", m.Generation)] = time.Now()
			return m
		})
		if err != nil {
			return nil, err
		}
		sleep(ctx, time.Until(next))
	}
	return published, nil
}

// inForce compares the events of all instances with the times of publication.
func inForce(ctx context.Context, l *launcher.Launcher, published map[string]time.Time) (times []float64, missing int, err error) {
	if len(published) == 0 {
		return nil, 0, nil
	}
	applied, latest := make(map[string]int), make(map[string]time.Time)
	for _, admin := range l.Admins() {
		reply, err := replier.Get[encoder.EventsReply](ctx, "http://"+admin+"/v1/events")
		if err != nil {
			return nil, 0, err
		}
		for _, e := range reply.Events {
			if e.Kind != string(recorder.KindManifestApplied) {
				continue
			}
			applied[e.Detail]++
			latest[e.Detail] = slices.MaxFunc([]time.Time{latest[e.Detail], timekeeper.WallTime(e.Clock)}, time.Time.Compare)
		}
	}
	for generation, at := range published {
		if applied[generation] < len(l.Admins()) {
			missing++
			continue
		}
		times = append(times, float64(latest[generation].Sub(at))/float64(time.Millisecond))
	}
	slices.Sort(times)
	return times, missing, nil
}

// usage is read from /proc and from the platform.
type usage struct {
	cpu                  time.Duration
	memory               []float64
	read, written, calls int
	platform             publisher.Statistics
}

func readUsage(ctx context.Context, l *launcher.Launcher) (usage, error) {
	var u usage
	for _, n := range l.Instances() {
		pid, err := l.ProcessID(n.Name)
		if err != nil {
			return u, err
		}
		if err := u.add(pid); err != nil {
			return u, err
		}
	}
	var err error
	u.platform, err = replier.Get[publisher.Statistics](ctx, "http://"+l.Platform()+"/v1/statistics")
	return u, err
}

func (u *usage) add(pid int) error {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return err
	}
	// The fields after the name in parentheses start with the third one.
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	u.cpu += time.Duration(number(fields[11])+number(fields[12])) * clockTick
	u.memory = append(u.memory, float64(number(fields[21])*os.Getpagesize())/1e6)
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/io", pid))
	if err != nil {
		return err
	}
	io := strings.Fields(string(raw))
	u.read, u.written = u.read+number(io[1]), u.written+number(io[3])
	u.calls += number(io[5]) + number(io[7])
	return nil
}

func (u usage) since(before usage, took time.Duration, instances int) Sample {
	seconds, n := took.Seconds(), float64(instances)
	s := Sample{
		CPU:     100 * (u.cpu - before.cpu).Seconds() / seconds / n,
		Read:    float64(u.read-before.read) / seconds / n / 1e3,
		Written: float64(u.written-before.written) / seconds / n / 1e3,
		Calls:   float64(u.calls-before.calls) / seconds / n,
		Pending: u.platform.Pending,
	}
	for _, m := range u.memory {
		s.Memory += m / n
		s.MaxMemory = max(s.MaxMemory, m)
	}
	for key, count := range u.platform.Reads {
		s.Reads += float64(count-before.platform.Reads[key]) / seconds
	}
	return s
}

func number(text string) int {
	n, err := strconv.Atoi(text)
	if err != nil {
		panic(fmt.Sprintf("gauger: %q is not a number", cmp.Or(text, "an empty field")))
	}
	return n
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
