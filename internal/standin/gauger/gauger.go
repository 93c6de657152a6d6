// Package gauger makes the capacity measurements: how the cost of an instance in native mode grows with the number of
// instances, targets and configuration changes. "standin capacity" uses it to measure running processes; the benchmarks
// in its tests measure single components of an instance, also at sizes that one machine can't run.
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
	// domainCount is the number of failure domains in a run.
	domainCount = 3
	// settleTime is the time after the start in which instances acquire their first leases and open connections.
	settleTime = 6 * time.Second
	// ticksPerSecond is the number of clock ticks per second, the unit of processor time in /proc.
	ticksPerSecond = 100
	// readyTimeout limits the time until all instances are ready.
	readyTimeout = 30 * time.Second
)

// Settings describes a series of runs.
type Settings struct {
	Standin, Apricotflow string
	Points               []Point
	// Repeats is the number of runs of each point.
	Repeats int
	// Duration is the measured time of one run, without the start.
	Duration time.Duration
	Output   io.Writer
}

// Point is the size of one run.
type Point struct {
	Instances, Targets int
	// ChangesPerMinute is the rate of configuration changes.
	ChangesPerMinute int
}

// DefaultPoints returns the sizes that are measured by default.
func DefaultPoints() []Point {
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

// Run measures all points and prints one row for each run. Processor time, memory and bytes are means per instance.
// Bytes and calls are those of all read and write calls, on sockets and files, as counted by /proc/<pid>/io.
func Run(ctx context.Context, s Settings) error {
	_, _ = fmt.Fprintln(s.Output, "instances targets changes/min | cpu-% rss-MB read-KB/s written-KB/s io-calls/s | platform-reads/s pending | in-force-ms median max missing")
	for _, p := range s.Points {
		for range s.Repeats {
			row, err := measure(ctx, s, p)
			if err != nil {
				return fmt.Errorf("gauger: measure %+v: %w", p, err)
			}
			_, _ = fmt.Fprintf(s.Output, "%9d %7d %11d | %s\n", p.Instances, p.Targets, p.ChangesPerMinute, row)
		}
	}
	return nil
}

// measure runs one deployment and returns the measured columns of its row.
func measure(ctx context.Context, s Settings, p Point) (string, error) {
	addresses, closeTargets, err := startTargets(p.Targets)
	defer closeTargets()
	if err != nil {
		return "", err
	}
	l, err := launcher.Start(ctx, launcher.Settings{
		Standin: s.Standin, Apricotflow: s.Apricotflow, Instances: p.Instances, ExternalTargets: true,
		Plan: NewPlan(domainCount, p.Targets, func(i int) string { return addresses[i] }),
	})
	if err != nil {
		return "", err
	}
	defer l.Close()
	if err := l.WaitReady(ctx, readyTimeout); err != nil {
		return "", err
	}
	sleep(ctx, settleTime)
	before, err := readUsage(ctx, l)
	if err != nil {
		return "", err
	}
	started := time.Now()
	publishedAt, err := publishChanges(ctx, l, p.ChangesPerMinute, s.Duration)
	if err != nil {
		return "", err
	}
	sleep(ctx, s.Duration-time.Since(started))
	after, err := readUsage(ctx, l)
	if err != nil {
		return "", err
	}
	row := after.formatSince(before, time.Since(started), float64(p.Instances))
	changeLatency, err := formatChangeLatency(ctx, l, publishedAt)
	return row + " | " + changeLatency, err
}

// startTargets runs all targets in this process, so that the limit on the number of processes doesn't limit theirs.
func startTargets(n int) ([]string, func(), error) {
	running := make([]*responder.Responder, 0, n)
	addresses := make([]string, 0, n)
	stop := func() {
		for _, t := range running {
			t.Close()
		}
	}
	versions := []encoder.HeldVersion{{Index: "index", Version: 1}}
	for i := range n {
		t, err := responder.Start(responder.Settings{
			Name: fmt.Sprintf("leaf-%04d-%02d", i/domainCount, i%domainCount), Address: launcher.FreeAddress(), Control: "127.0.0.1:0",
			Slots: 3, Connections: 40, ColdLimit: 1, Versions: versions, ServiceTime: time.Millisecond,
		})
		if err != nil {
			return nil, stop, err
		}
		running, addresses = append(running, t), append(addresses, t.Address())
	}
	return addresses, stop, nil
}

// publishChanges publishes configuration changes at a fixed rate. It returns the time of each publication, keyed by
// the detail of the KindManifestApplied events with which the instances report the change.
func publishChanges(ctx context.Context, l *launcher.Launcher, perMinute int, duration time.Duration) (map[string]time.Time, error) {
	publishedAt := make(map[string]time.Time)
	if perMinute == 0 {
		return publishedAt, nil
	}
	interval := time.Minute / time.Duration(perMinute)
	last := time.Now().Add(duration - interval/2)
	for time.Now().Before(last) {
		next := time.Now().Add(interval)
		err := l.ChangeManifest(ctx, func(m encoder.Manifest) encoder.Manifest {
			m.Generation++
			publishedAt[fmt.Sprintf("generation %d", m.Generation)] = time.Now()
			return m
		})
		if err != nil {
			return nil, err
		}
		sleep(ctx, time.Until(next))
	}
	return publishedAt, nil
}

// formatChangeLatency compares the events of all instances with the times of publication. It returns, as the end of a
// row, the median and the maximum time in milliseconds until a change was in force on all instances, and the number of
// changes that some instance did not report.
func formatChangeLatency(ctx context.Context, l *launcher.Launcher, publishedAt map[string]time.Time) (string, error) {
	appliedCounts, lastAppliedAt := make(map[string]int), make(map[string]time.Time)
	for _, admin := range l.AdminAddresses() {
		reply, err := replier.Get[encoder.EventsReply](ctx, "http://"+admin+"/v1/events")
		if err != nil {
			return "", err
		}
		for _, e := range reply.Events {
			at := timekeeper.WallTime(e.Clock)
			if e.Kind == string(recorder.KindManifestApplied) && at.After(lastAppliedAt[e.Detail]) {
				lastAppliedAt[e.Detail] = at
			}
			appliedCounts[e.Kind+e.Detail]++
		}
	}
	var latencies []time.Duration
	for generation, at := range publishedAt {
		if appliedCounts[string(recorder.KindManifestApplied)+generation] == len(l.AdminAddresses()) {
			latencies = append(latencies, lastAppliedAt[generation].Sub(at))
		}
	}
	if len(latencies) == 0 {
		return fmt.Sprint("- - ", len(publishedAt)), nil
	}
	slices.Sort(latencies)
	return fmt.Sprint(latencies[len(latencies)/2].Milliseconds(), latencies[len(latencies)-1].Milliseconds(), len(publishedAt)-len(latencies)), nil
}

// usage is the resource usage of all instances, summed up from /proc, and the statistics of the platform.
type usage struct {
	cpuTicks, residentBytes, readBytes, writtenBytes, ioCalls int
	platformStatistics                                        publisher.Statistics
}

func readUsage(ctx context.Context, l *launcher.Launcher) (usage, error) {
	var u usage
	for _, n := range l.Instances() {
		pid, err := l.ProcessID(n.Name)
		if err != nil {
			return u, err
		}
		if err := u.addProcess(pid); err != nil {
			return u, err
		}
	}
	var err error
	u.platformStatistics, err = replier.Get[publisher.Statistics](ctx, "http://"+l.PlatformAddress()+"/v1/statistics")
	return u, err
}

func (u *usage) addProcess(pid int) error {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return err
	}
	// The name of the process, in parentheses, may hold spaces. The first field after it is the third one of the file,
	// so that fields 11 and 12, counted from 0, are the processor time in user and in kernel mode and field 21 is the
	// resident size in pages.
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	u.cpuTicks += mustParseInt(fields[11]) + mustParseInt(fields[12])
	u.residentBytes += mustParseInt(fields[21]) * os.Getpagesize()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/io", pid))
	if err != nil {
		return err
	}
	// Labels and values alternate: the bytes read and written, and then the numbers of read and write calls.
	ioFields := strings.Fields(string(raw))
	u.readBytes, u.writtenBytes = u.readBytes+mustParseInt(ioFields[1]), u.writtenBytes+mustParseInt(ioFields[3])
	u.ioCalls += mustParseInt(ioFields[5]) + mustParseInt(ioFields[7])
	return nil
}

// formatSince formats the usage since an earlier time, as the middle of a row.
func (u usage) formatSince(before usage, took time.Duration, instances float64) string {
	seconds := took.Seconds()
	rate := func(now, then int) float64 { return float64(now-then) / seconds / instances }
	reads := 0
	for key, count := range u.platformStatistics.Reads {
		reads += count - before.platformStatistics.Reads[key]
	}
	return fmt.Sprintf("%5.2f %6.1f %9.2f %12.2f %10.0f | %16.2f %7d", 100*rate(u.cpuTicks, before.cpuTicks)/ticksPerSecond, float64(u.residentBytes)/1e6/instances,
		rate(u.readBytes, before.readBytes)/1e3, rate(u.writtenBytes, before.writtenBytes)/1e3, rate(u.ioCalls, before.ioCalls), float64(reads)/seconds, u.platformStatistics.Pending)
}

func mustParseInt(text string) int {
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
