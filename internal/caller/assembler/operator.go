package assembler

import (
	"io"
	"strconv"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"
	"go.uber.org/fx"

	"apricotflow/internal/operator/checker"
	"apricotflow/internal/operator/loader"
	"apricotflow/internal/operator/recorder"
	"apricotflow/internal/operator/reporter"
	"apricotflow/internal/operator/timekeeper"
)

// Version is the program version.
type Version string

// Incarnation identifies one start of the process.
type Incarnation string

// operatorModule provides logs, events, metrics and invariant checks in native mode. Relay mode has no invariant
// checks; RunRelay provides the rest for it.
var operatorModule = fx.Options(
	fx.Provide(
		newIncarnation,
		newClock,
		newLogger,
		newRecorder,
		reporter.New,
		newScope,
		newChecker,
	),
)

// newIncarnation derives the incarnation from the start time in nanoseconds, so that the incarnations of an instance
// also sort by age.
func newIncarnation() Incarnation {
	return Incarnation(strconv.FormatInt(time.Now().UnixNano(), 36))
}

func newClock() *timekeeper.HybridClock {
	return timekeeper.NewHybridClock(time.Now)
}

func newLogger(settings loader.Settings, writer io.Writer) (*log.Logger, error) {
	level, err := log.ParseLevel(string(settings.LogLevel()))
	if err != nil {
		return nil, err
	}
	logger := log.NewWithOptions(writer, log.Options{ReportTimestamp: true, TimeFormat: time.RFC3339Nano, Level: level})
	return logger.With("instance", settings.Instance()), nil
}

func newRecorder(settings loader.Settings, clock *timekeeper.HybridClock) *recorder.Recorder {
	return recorder.New(settings.Instance(), clock, recorder.DefaultCapacity)
}

func newScope(r *reporter.Reporter) tally.Scope {
	return r.Scope()
}

func newChecker(settings loader.Settings, events *recorder.Recorder, scope tally.Scope) *checker.Checker {
	return checker.New(events, scope.Counter("invariant-violations"), settings.StrictInvariants())
}
