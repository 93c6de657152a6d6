package gauger_test

import (
	"context"
	"flag"
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"apricotflow/internal/cluster/lessor"
	"apricotflow/internal/cluster/owner"
	"apricotflow/internal/manifest/parser"
	"apricotflow/internal/manifest/resolver"
	"apricotflow/internal/operator/checker"
	"apricotflow/internal/operator/recorder"
	"apricotflow/internal/operator/timekeeper"
	"apricotflow/internal/standin/gauger"
	"apricotflow/internal/target/dispatcher"
	"apricotflow/internal/wire/encoder"
)

var fullSize = flag.Bool("full", false, "measure the ownership table up to the design size, which takes minutes")

// self is the name of the measured instance.
const self = "instance-0000"

// staticConfiguration is a configuration that never changes, in which no instance joins, leaves or releases leases.
type staticConfiguration struct {
	manifest *resolver.Manifest
	members  *resolver.Members
}

func (f *staticConfiguration) Manifest() *resolver.Manifest    { return f.manifest }
func (f *staticConfiguration) Members() *resolver.Members      { return f.members }
func (f *staticConfiguration) AnnouncementVersion() uint64     { return 0 }
func (f *staticConfiguration) Leaving(string) bool             { return false }
func (f *staticConfiguration) Joining(string) bool             { return false }
func (f *staticConfiguration) Released(string) bool            { return false }
func (f *staticConfiguration) ReleasedAt(string) time.Duration { return 0 }

// newStaticConfiguration returns a configuration with instances and targets spread over at most 13 failure domains.
func newStaticConfiguration(instances, targets int) *staticConfiguration {
	domains := min(13, instances, targets)
	wire := gauger.NewPlan(domains, targets, gauger.UnusedAddress).Manifest
	m, problems := resolver.New(wire, "digest")
	if len(problems) > 0 {
		panic(problems)
	}
	return &staticConfiguration{manifest: m, members: resolver.NewMembers(gauger.NewMemberList(domains, instances))}
}

// discardEvents is an event recorder that discards all events.
type discardEvents struct{}

func (discardEvents) Record(recorder.Kind, string, string, string) {}

func newChecker() *checker.Checker {
	return checker.New(discardEvents{}, tally.NoopScope.Counter(""), false)
}

// processorTime returns the processor time used by all threads of this process.
func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// reportTimePerUnit runs f in the benchmark loop and reports the processor time per unit, including that of other
// goroutines. Each call of f handles the given number of units.
func reportTimePerUnit(b *testing.B, units int, f func()) {
	b.ReportAllocs()
	before := processorTime()
	b.ResetTimer()
	for b.Loop() {
		f()
	}
	b.ReportMetric(float64(processorTime()-before)/float64(b.N)/float64(units), "cpu-ns/unit")
}

// reportRetainedMemory reports the heap memory that the result of build retains.
func reportRetainedMemory(b *testing.B, build func() any) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	value := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "kept-B")
	runtime.KeepAlive(value)
}

func BenchmarkOwnershipTable(b *testing.B) {
	sizes := [][2]int{{3, 12}, {48, 130}, {48, 1300}, {310, 1300}, {1000, 130}, {1000, 1300}, {3100, 130}}
	if *fullSize {
		sizes = [][2]int{{3100, 1300}, {1000, 13000}, {3100, 13000}}
	}
	for _, size := range sizes {
		b.Run(fmt.Sprintf("instances=%d/targets=%d", size[0], size[1]), func(b *testing.B) {
			f := newStaticConfiguration(size[0], size[1])
			build := func() any {
				o := owner.New(self, f, f)
				o.Candidates()
				return o
			}
			reportTimePerUnit(b, size[1], func() { build() })
			reportRetainedMemory(b, build)
		})
	}
}

func BenchmarkManifest(b *testing.B) {
	for _, targets := range []int{12, 400, 1300, 4000, 13000} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			raw := encoder.Encode(gauger.NewPlan(min(13, targets), targets, gauger.UnusedAddress).Manifest)
			b.ReportMetric(float64(len(raw)), "wire-B")
			parse := func() any {
				if m, err := parser.Parse(raw); err == nil {
					return m
				}
				// The parser refuses manifests of more than 1 MB.
				wire, _ := encoder.Decode[encoder.Manifest](raw)
				m, _ := resolver.New(wire, "digest")
				return m
			}
			if _, err := parser.Parse(raw); err != nil {
				b.ReportMetric(1, "refused")
			}
			reportTimePerUnit(b, targets, func() { parse() })
			reportRetainedMemory(b, parse)
			b.ReportMetric(float64(len(raw)), "wire-B")
		})
	}
}

func BenchmarkMembers(b *testing.B) {
	for _, instances := range []int{3, 48, 310, 3100} {
		b.Run(fmt.Sprintf("instances=%d", instances), func(b *testing.B) {
			raw := encoder.Encode(gauger.NewMemberList(min(13, instances), instances))
			parse := func() any {
				m, err := parser.ParseMembers(raw)
				if err != nil {
					b.Fatal(err)
				}
				return m
			}
			reportTimePerUnit(b, instances, func() { parse() })
			reportRetainedMemory(b, parse)
			b.ReportMetric(float64(len(raw)), "wire-B")
		})
	}
}

func BenchmarkDispatcherSync(b *testing.B) {
	for _, targets := range []int{12, 400, 4000, 13000} {
		for _, versioned := range []bool{false, true} {
			b.Run(fmt.Sprintf("targets=%d/versioned=%v", targets, versioned), func(b *testing.B) {
				f := newStaticConfiguration(3, targets)
				shares := make(map[string][]owner.Share)
				for i, t := range f.manifest.Targets() {
					name := "other"
					if i < 9 {
						name = self
					}
					shares[t.Name] = []owner.Share{{Instance: name, Slots: 2, Rank: 1}, {Instance: "another", Slots: 1, Rank: 2}}
				}
				owners := func(target string) []dispatcher.OwnerShare {
					converted := make([]dispatcher.OwnerShare, len(shares[target]))
					for i, s := range shares[target] {
						converted[i] = dispatcher.OwnerShare{Instance: s.Instance, Slots: s.Slots, Rank: s.Rank - 1}
					}
					return converted
				}
				var options []dispatcher.Option
				if versioned {
					options = append(options, dispatcher.WithOwnershipVersion(f.AnnouncementVersion))
				}
				d := dispatcher.New(self, f, owners, func(string, time.Duration) int { return 1 }, discardEvents{}, newChecker(), options...)
				reportTimePerUnit(b, 1, d.Sync)
				ctx, cancel := context.WithTimeout(b.Context(), time.Second)
				defer cancel()
				_ = d.Close(ctx)
			})
		}
	}
}

// staticOwnership is an ownership of fixed groups, each of which has the same grantors.
type staticOwnership struct{ groups, grantors []string }

func (p staticOwnership) Rank(string) int                 { return 1 }
func (p staticOwnership) Grantors(string) []string        { return p.grantors }
func (p staticOwnership) StaticOwners(string) []string    { return []string{self, "rival-0"} }
func (p staticOwnership) Candidates() []string            { return p.groups }
func (p staticOwnership) ReleasedAt(string) time.Duration { return 0 }

// nilNetwork is a network that must not be called.
type nilNetwork struct{ lessor.Network }

func BenchmarkLessorRound(b *testing.B) {
	for _, size := range [][2]int{{4, 1}, {4, 16}, {4, 238}, {16, 16}, {64, 16}} {
		b.Run(fmt.Sprintf("groups=%d/grantors=%d", size[0], size[1]), func(b *testing.B) {
			var p staticOwnership
			for i := range size[0] {
				p.groups = append(p.groups, fmt.Sprintf("shard-%04d@domain-00", i))
			}
			for i := range size[1] {
				p.grantors = append(p.grantors, fmt.Sprintf("instance-%04d", i+1))
			}
			now := time.Hour
			clock := func() time.Duration { return now }
			l := lessor.New(self, "1", p, newStaticConfiguration(3, 12), nilNetwork{}, clock, timekeeper.NewHybridClock(time.Now), discardEvents{})
			now += time.Minute
			bytes := 0
			reportTimePerUnit(b, size[1], func() {
				now += time.Second
				requests, _ := l.BeginRound()
				bytes = 0
				for _, a := range requests {
					reply := encoder.GrantReply{Granted: a.Request.Groups, Refused: []string{}}
					bytes += len(encoder.Encode(a.Request)) + len(encoder.Encode(reply))
					l.FinishRequest(a, reply, nil)
				}
			})
			b.ReportMetric(float64(bytes), "wire-B")
		})
	}
}

// BenchmarkExchangeMessage measures the encoding and decoding of one message.
func BenchmarkExchangeMessage(b *testing.B) {
	for _, facts := range []int{0, 4, 9, 64} {
		b.Run(fmt.Sprintf("facts=%d", facts), func(b *testing.B) {
			message := encoder.ExchangeMessage{Instance: self, Incarnation: "0123456789abcdef", Clock: 1 << 57, Generation: 9800, MembersRevision: 4000, Targets: []encoder.TargetFact{}}
			message.Digest = fmt.Sprintf("%064d", 1)
			for i := range facts {
				message.Targets = append(message.Targets, encoder.TargetFact{Target: fmt.Sprintf("leaf-%04d-01", i), Incarnation: "0123456789abcdef", State: encoder.LoadStateWarm})
			}
			reportTimePerUnit(b, 1, func() {
				if _, err := encoder.Decode[encoder.ExchangeMessage](encoder.Encode(message)); err != nil {
					b.Fatal(err)
				}
			})
			b.ReportMetric(float64(len(encoder.Encode(message))), "wire-B")
		})
	}
}

func BenchmarkRecorder(b *testing.B) {
	r := recorder.New(self, timekeeper.NewHybridClock(time.Now), recorder.DefaultCapacity)
	for range recorder.DefaultCapacity {
		r.Record(recorder.KindQueryPartial, "target", "query", "detail")
	}
	reportTimePerUnit(b, 1, func() { r.Record(recorder.KindQueryPartial, "target", "query", "detail") })
}
