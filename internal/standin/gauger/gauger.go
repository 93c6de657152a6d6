package gauger

import (
	"bytes"
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
	// ticksPerSecond is the unit of processor time in /proc.
	ticksPerSecond = 100
	readyTime      = 30 * time.Second
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

// Run measures all points and prints one row for each run. Processor time, memory and bytes are means per instance;
// bytes are those of all sockets, as /proc/<pid>/io counts them.
func Run(ctx context.Context, s Settings) error {
	_, _ = fmt.Fprintln(s.Output, "instances targets changes/min | cpu-% rss-MB read-KB/s written-KB/s io-calls/s | platform-reads/s pending | in-force-ms median max missing")
	for _, p := range s.Points {
		for range s.Repeat {
			row, err := measure(ctx, s, p)
			if err != nil {
				return fmt.Errorf("gauger: %+v: %w", p, err)
			}
			_, _ = fmt.Fprintf(s.Output, "%9d %7d %11d | %s\n", p.Instances, p.Targets, p.Changes, row)
		}
	}
	return nil
}

func measure(ctx context.Context, s Settings, p Point) (string, error) {
	addresses, closeTargets, err := startTargets(p.Targets)
	defer closeTargets()
	if err != nil {
		return "", err
	}
	l, err := launcher.Start(ctx, launcher.Settings{
		Standin: s.Standin, Apricotflow: s.Apricotflow, Instances: p.Instances, ForeignTargets: true,
		Plan: Plan(domains, p.Targets, func(i int) string { return addresses[i] }),
	})
	if err != nil {
		return "", err
	}
	defer l.Close()
	if err := l.WaitReady(ctx, readyTime); err != nil {
		return "", err
	}
	sleep(ctx, settle)
	before, err := readUsage(ctx, l)
	if err != nil {
		return "", err
	}
	started := time.Now()
	published, err := change(ctx, l, p.Changes, s.Duration)
	if err != nil {
		return "", err
	}
	sleep(ctx, s.Duration-time.Since(started))
	after, err := readUsage(ctx, l)
	if err != nil {
		return "", err
	}
	row := after.since(before, time.Since(started), float64(p.Instances))
	forced, err := inForce(ctx, l, published)
	return row + " | " + forced, err
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

// inForce compares the events of all instances with the times of publication. It returns the median and the longest
// time until a change was in force on all instances, and the changes that were not seen on all.
func inForce(ctx context.Context, l *launcher.Launcher, published map[string]time.Time) (string, error) {
	applied, latest := make(map[string]int), make(map[string]time.Time)
	for _, admin := range l.Admins() {
		reply, err := replier.Get[encoder.EventsReply](ctx, "http://"+admin+"/v1/events")
		if err != nil {
			return "", err
		}
		for _, e := range reply.Events {
			at := timekeeper.WallTime(e.Clock)
			if e.Kind == string(recorder.KindManifestApplied) && at.After(latest[e.Detail]) {
				latest[e.Detail] = at
			}
			applied[e.Kind+e.Detail]++
		}
	}
	var times []time.Duration
	for generation, at := range published {
		if applied[string(recorder.KindManifestApplied)+generation] == len(l.Admins()) {
			times = append(times, latest[generation].Sub(at))
		}
	}
	if len(times) == 0 {
		return fmt.Sprint("- - ", len(published)), nil
	}
	slices.Sort(times)
	return fmt.Sprint(times[len(times)/2].Milliseconds(), times[len(times)-1].Milliseconds(), len(published)-len(times)), nil
}

// usage is the sum over all instances, from /proc, with the statistics of the platform.
type usage struct {
	ticks, memory, read, written, calls int
	platform                            publisher.Statistics
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
	u.ticks += number(fields[11]) + number(fields[12])
	u.memory += number(fields[21]) * os.Getpagesize()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/io", pid))
	if err != nil {
		return err
	}
	io := strings.Fields(string(raw))
	u.read, u.written = u.read+number(io[1]), u.written+number(io[3])
	u.calls += number(io[5]) + number(io[7])
	return nil
}

// since returns the middle of a row.
func (u usage) since(before usage, took time.Duration, instances float64) string {
	seconds := took.Seconds()
	rate := func(now, then int) float64 { return float64(now-then) / seconds / instances }
	reads := 0
	for key, count := range u.platform.Reads {
		reads += count - before.platform.Reads[key]
	}
	return fmt.Sprintf("%5.2f %6.1f %9.2f %12.2f %10.0f | %16.2f %7d", 100*rate(u.ticks, before.ticks)/ticksPerSecond, float64(u.memory)/1e6/instances,
		rate(u.read, before.read)/1e3, rate(u.written, before.written)/1e3, rate(u.calls, before.calls), float64(reads)/seconds, u.platform.Pending)
}

func number(text string) int {
	n, err := strconv.Atoi(text)
	if err != nil {
		panic(fmt.Sprintf("gauger: %q is not a number", text))
	}
	return n
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
