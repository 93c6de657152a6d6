package rehearser_test

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"apricotflow/internal/standin/httpresponder"
	"apricotflow/internal/standin/keeper"
	"apricotflow/internal/standin/rehearser"
)

var memory = flag.Bool("memory", false, "whether to run the test of the memory of processes")

// memoryCallers is the number of callers that send without end at the same time, to one instance.
const memoryCallers = 200

// storeTime is longer than an instance waits for one response of the store.
const storeTime = 3 * time.Second

// trouble is something that sends without end to instances, or makes them keep many bytes.
type trouble struct {
	name  string
	start func(d *rehearser.Deployment)
	load  func(ctx context.Context, d *rehearser.Deployment)
}

func troubles() []trouble {
	usual := func(ctx context.Context, d *rehearser.Deployment) { d.RunLoadAt(ctx, []int{0}, 250, time.Second) }
	all := []trouble{
		{"targets, large replies", misbehave(httpresponder.Large), usual},
		{"targets, large replies to callers that do not read", misbehave(httpresponder.Large), callers("GET /orders/1 HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: r\r\n\r\n", "")},
	}
	for name, behaviour := range httpresponder.EndlessBehaviours() {
		all = append(all, trouble{"targets, " + name, misbehave(behaviour), usual})
	}
	for name, fault := range map[string]keeper.Fault{"body": keeper.Endless, "head": keeper.EndlessHead, "pages": keeper.EndlessPages} {
		fail := func(d *rehearser.Deployment) { d.Store().SetFault(fault) }
		all = append(all, trouble{"store, " + name, fail, func(ctx context.Context, d *rehearser.Deployment) { d.RunLoad(ctx, 20, storeTime) }})
	}
	head := "POST /orders/1 HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: r\r\n"
	nothing := func(*rehearser.Deployment) {}
	return append(all,
		trouble{"callers, head", nothing, callers(head+"X-Line: ", line)},
		trouble{"callers, body", nothing, callers(head+"Content-Length: 1000000000\r\n\r\n", line)},
		trouble{"callers, bodies that stop before their end", nothing, callers(fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, rehearser.MaxBodyBytes, strings.Repeat("x", rehearser.MaxBodyBytes-1)), "")},
		trouble{"callers, chunks", nothing, callers(head+"Transfer-Encoding: chunked\r\n\r\n", "400\r\n"+line+"\r\n")},
	)
}

// line is repeated without end.
var line = strings.Repeat("x", 1024)

func misbehave(behaviour httpresponder.Behaviour) func(d *rehearser.Deployment) {
	return func(d *rehearser.Deployment) { d.MisbehaveAll(behaviour) }
}

// callers returns a load of many callers of one instance that send the start of a request and then the repeated bytes, read
// nothing and stay for a while, unless their connections are closed.
func callers(start, repeated string) func(ctx context.Context, d *rehearser.Deployment) {
	return func(ctx context.Context, d *rehearser.Deployment) {
		ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
		defer cancel()
		var all sync.WaitGroup
		for range memoryCallers {
			all.Go(func() {
				conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", d.CallerAddress(0))
				if err != nil {
					return
				}
				defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
				defer func() { _ = conn.Close() }()
				_, err = io.WriteString(conn, start)
				for err == nil && repeated != "" {
					_, err = io.WriteString(conn, repeated)
				}
				<-ctx.Done()
			})
		}
		all.Wait()
	}
}

// Guards against an instance that ends because it keeps what a target, the store or callers send without end, or many large
// answers: no instance may need more memory than the smallest one of the deployments has.
//
// It runs by hand only, with -memory and without the race detector: the stand-ins need several GB of memory beside other load.
func TestMemoryIsBoundedWhenOthersSendWithoutEnd(t *testing.T) {
	if !*memory {
		t.Skip("by hand only, with -memory; see KNOWN-RED.txt")
	}
	for _, trouble := range troubles() {
		t.Run(trouble.name, func(t *testing.T) {
			d := startDeployment(t)
			trouble.start(d)
			trouble.load(t.Context(), d)
			most := 0
			for i := range d.InstanceCount() {
				most = max(most, peakMemory(t, d.Program(i).PID()))
			}
			t.Logf("at most %d MB", most>>10)
			assert.Assert(t, most < rehearser.SmallestMemoryMB<<10, "%d MB", most>>10)
		})
	}
}

// peakMemory returns the peak of the resident memory of a process in KB. It fails the test if the process has ended.
func peakMemory(t *testing.T, pid int) int {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	assert.NilError(t, err)
	_, after, found := strings.Cut(string(status), "VmHWM:")
	assert.Assert(t, found, "process %d has ended", pid)
	kb, err := strconv.Atoi(strings.Fields(after)[0])
	assert.NilError(t, err)
	return kb
}
