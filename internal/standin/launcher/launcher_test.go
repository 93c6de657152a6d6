package launcher_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"apricotflow/internal/standin/commander"
	"apricotflow/internal/standin/deployer"
	"apricotflow/internal/standin/forwarder"
	"apricotflow/internal/standin/launcher"
	"apricotflow/internal/standin/replier"
	"apricotflow/internal/standin/responder"
	"apricotflow/internal/wire/encoder"
)

// childVariable is the environment variable that makes the test binary act as the programs that a launcher starts.
const childVariable = "APRICOTFLOW_TEST_CHILD"

// directoryVariable is the environment variable with the directory of the deployment that the test binary starts as a
// parent.
const directoryVariable = "APRICOTFLOW_TEST_DIRECTORY"

func TestMain(m *testing.M) {
	switch {
	case os.Getenv(childVariable) == "":
		os.Exit(m.Run())
	case os.Args[1] == "serve":
		serveInstance(os.Args[3])
	case os.Args[1] == "parent":
		runParent()
	default:
		ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
		defer stop()
		if err := commander.New().Run(ctx, os.Args); err != nil {
			panic(err)
		}
	}
}

// serveInstance acts as an instance that is ready immediately. Its caller address also reports whether the instance can
// reach a target.
func serveInstance(file string) {
	raw, err := os.ReadFile(file)
	if err != nil {
		panic(err)
	}
	s, err := encoder.Decode[encoder.Settings](raw)
	if err != nil {
		panic(err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	router := http.NewServeMux()
	router.HandleFunc("/v1/ready", func(http.ResponseWriter, *http.Request) {})
	router.HandleFunc("/v1/reach", func(w http.ResponseWriter, r *http.Request) {
		ctx, stop := context.WithTimeout(r.Context(), 500*time.Millisecond)
		defer stop()
		if _, err := replier.Get[any](ctx, "http://"+r.URL.Query().Get("address")+"/v1/report"); err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
		}
	})
	l, err := net.Listen("tcp", s.CallerAddress)
	if err != nil {
		panic(err)
	}
	replier.Serve(l, &http.Server{Handler: router})
	<-ctx.Done()
}

// runParent starts a deployment, prints the address of the platform and waits until it is killed.
func runParent() {
	s := newSettings(0)
	s.Directory = os.Getenv(directoryVariable)
	l, err := launcher.Start(context.Background(), s)
	if err != nil {
		panic(err)
	}
	_, _ = os.Stdout.WriteString(l.PlatformAddress() + "\n")
	select {}
}

func newSettings(instances int) launcher.Settings {
	plan, err := deployer.New(deployer.DarEsSalaam, 30, launcher.FreeAddress)
	if err != nil {
		panic(err)
	}
	own, err := os.Executable()
	if err != nil {
		panic(err)
	}
	return launcher.Settings{
		Standin: own, Apricotflow: own, Environment: []string{childVariable + "=1"}, Plan: plan, Instances: instances,
	}
}

func start(t *testing.T, s launcher.Settings) *launcher.Launcher {
	t.Helper()
	l, err := launcher.Start(t.Context(), s)
	assert.NilError(t, err)
	t.Cleanup(l.Close)
	assert.NilError(t, l.WaitReady(t.Context(), 10*time.Second))
	return l
}

func platformValue[T any](t *testing.T, l *launcher.Launcher, key string) T {
	t.Helper()
	v, err := replier.Get[T](t.Context(), "http://"+l.PlatformAddress()+"/v1/values/"+key)
	assert.NilError(t, err)
	return v
}

// Guards against changes of the manifest or the members that do not reach the platform, and against published versions
// that no target holds.
func TestChangesReachPlatformAndTargets(t *testing.T) {
	l := start(t, newSettings(3))
	first := l.Manifest().Services[0].Targets[0]
	assert.NilError(t, l.SetDomainState(t.Context(), first.FailureDomain, encoder.FailureDomainStateClosed))
	assert.NilError(t, l.PublishNewVersion(t.Context(), "buyer-portal"))
	assert.NilError(t, l.PublishRepartition(t.Context(), "buyer-portal"))
	assert.NilError(t, l.SetTargetLeaving(t.Context(), first.Name, true))
	m := platformValue[encoder.Manifest](t, l, "manifest")
	assert.Equal(t, m.Generation, 4)
	assert.Equal(t, m.FailureDomains[0].State, encoder.FailureDomainStateClosed)
	report, err := replier.Get[encoder.TargetReport](t.Context(), "http://"+first.Address+"/v1/report")
	assert.NilError(t, err)
	assert.Assert(t, len(report.Versions) >= 2, "%v", report.Versions)
	members := platformValue[encoder.MemberList](t, l, "members")
	assert.Equal(t, len(members.Instances), 3)
	assert.Equal(t, members.Targets[0].Name, first.Name)
	code, err := l.StopAndRemoveInstance(t.Context(), "instance-2", 10*time.Second)
	assert.NilError(t, err)
	assert.Equal(t, code, 0)
	assert.Equal(t, len(platformValue[encoder.MemberList](t, l, "members").Instances), 2)
	assert.Equal(t, len(l.CallerAddresses()), 2)
}

// Guards against waiting until the time-out for an instance that has already exited.
func TestWaitReadyFailsOnExit(t *testing.T) {
	l := start(t, newSettings(1))
	assert.NilError(t, l.Kill("instance-1"))
	err := l.WaitReady(t.Context(), time.Minute)
	var exited *launcher.ExitedError
	assert.Assert(t, errors.As(err, &exited), "%v", err)
}

// Guards against signals that do not reach the process, and against a restart at a different address.
func TestSignalsAndRestartReachProcess(t *testing.T) {
	l := start(t, newSettings(1))
	target := l.Manifest().Services[0].Targets[0]
	before, err := l.ControlTarget(t.Context(), target.Name, responder.Control{})
	assert.NilError(t, err)
	assert.NilError(t, l.Pause(target.Name))
	limited, stop := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer stop()
	_, err = l.ControlTarget(limited, target.Name, responder.Control{})
	assert.Assert(t, err != nil, "a paused target must not answer")
	assert.NilError(t, l.Resume(target.Name))
	_, err = l.ControlTarget(t.Context(), target.Name, responder.Control{})
	assert.NilError(t, err)
	assert.NilError(t, l.Kill(target.Name))
	assert.NilError(t, l.Restart(t.Context(), target.Name))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		after, err := l.ControlTarget(t.Context(), target.Name, responder.Control{})
		if err != nil || after.Incarnation == before.Incarnation {
			return poll.Continue("no new incarnation: %v", err)
		}
		return poll.Success()
	})
}

// Guards against a restarted platform without values, and against the loss of a manifest whose publication failed. The
// platform keeps its values in memory only, so Restart has to publish them again.
func TestRestartPublishesPlatformValuesAgain(t *testing.T) {
	l := start(t, newSettings(0))
	assert.NilError(t, l.Kill(launcher.PlatformName))
	assert.Assert(t, l.PublishNewVersion(t.Context(), "payments") != nil, "publishing must fail while the platform is not running")
	assert.NilError(t, l.Restart(t.Context(), launcher.PlatformName))
	assert.Equal(t, platformValue[encoder.Manifest](t, l, "manifest").Generation, 2)
}

// Guards against a partition that also cuts off other failure domains, or that leaves its two failure domains
// connected.
func TestPartitionSeparatesOnlyTwoDomains(t *testing.T) {
	s := newSettings(3)
	s.Links = true
	l := start(t, s)
	target := l.Manifest().Services[0].Targets[0]
	reach := func(domain string) bool {
		for _, n := range l.Instances() {
			if n.FailureDomain == domain {
				_, err := replier.Get[any](t.Context(), "http://"+n.CallerAddress+"/v1/reach?address="+target.Address)
				return err == nil
			}
		}
		t.Fatalf("no instance in %s", domain)
		return false
	}
	near, far, third := "dar-es-salaam-a", "dar-es-salaam-b", "dar-es-salaam-c"
	assert.Equal(t, target.FailureDomain, near)
	assert.Assert(t, reach(near) && reach(far) && reach(third))
	l.SetDomainLinkMode(near, far, forwarder.ModeSilentAll)
	assert.Assert(t, reach(near))
	assert.Assert(t, !reach(far))
	assert.Assert(t, reach(third))
	l.SetDomainLinkMode(near, far, forwarder.ModeNormal)
	assert.Assert(t, reach(far))
}

// Guards against processes that survive the process that started them.
func TestChildrenEndWithParent(t *testing.T) {
	own, err := os.Executable()
	assert.NilError(t, err)
	command := exec.Command(own, "parent")
	command.Env = append(os.Environ(), childVariable+"=1", directoryVariable+"="+t.TempDir())
	out, err := command.StdoutPipe()
	assert.NilError(t, err)
	assert.NilError(t, command.Start())
	buffer := make([]byte, 100)
	n, err := out.Read(buffer)
	assert.NilError(t, err)
	address := strings.TrimSpace(string(buffer[:n]))
	_, err = replier.Get[any](t.Context(), "http://"+address+"/v1/statistics")
	assert.NilError(t, err)
	assert.NilError(t, command.Process.Kill())
	_ = command.Wait()
	waitClosed(t, address)
}

// Guards against processes that survive the context that they were started with.
func TestChildrenEndWithContext(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	l, err := launcher.Start(ctx, newSettings(0))
	assert.NilError(t, err)
	t.Cleanup(l.Close)
	stop()
	waitClosed(t, l.PlatformAddress())
	waitClosed(t, l.Manifest().Services[0].Targets[0].Address)
}

func waitClosed(t *testing.T, address string) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		c, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			return poll.Success()
		}
		_ = c.Close()
		return poll.Continue("%s still accepts connections", address)
	})
}
