package messenger

import (
	"bytes"

	"github.com/uber-go/tally/v4"
)

// Method names under which messages are counted that have no method or an unregistered one.
const (
	methodReply = "reply"
	methodOther = "other"
)

// methodSearchLimit is the number of leading bytes of a message that are searched for methodPrefix. They hold the id
// and the text before the method.
const methodSearchLimit = 64

// methodPrefix precedes the method name in an encoded request; replies do not contain it.
var methodPrefix = []byte(`"jsonrpc":"2.0","method":"`)

// trafficCounters counts the messages of one method in one direction.
type trafficCounters struct {
	bytes    tally.Counter
	messages tally.Counter
}

// traffic counts messages by method. Only registered methods have counters of their own, which limits their number.
type traffic struct {
	sent, received map[string]trafficCounters
}

func newTraffic(scope tally.Scope, methods []string) *traffic {
	t := &traffic{sent: make(map[string]trafficCounters), received: make(map[string]trafficCounters)}
	for _, method := range append(methods, methodHello, methodHeartbeat, methodRetire, methodReply, methodOther) {
		t.sent[method] = newTrafficCounters(scope, "sent-"+method)
		t.received[method] = newTrafficCounters(scope, "received-"+method)
	}
	return t
}

func newTrafficCounters(scope tally.Scope, name string) trafficCounters {
	return trafficCounters{bytes: scope.Counter("peer-bytes-" + name), messages: scope.Counter("peer-messages-" + name)}
}

// countMessage counts an encoded message, whose size on the wire is given in bytes.
func countMessage(counters map[string]trafficCounters, message []byte, size int) {
	method := []byte(methodReply)
	if i := bytes.Index(message[:min(len(message), methodSearchLimit)], methodPrefix); i >= 0 {
		rest := message[i+len(methodPrefix):]
		method = rest[:max(0, bytes.IndexByte(rest, '"'))]
	}
	v, found := counters[string(method)]
	if !found {
		v = counters[methodOther]
	}
	v.bytes.Inc(int64(size))
	v.messages.Inc(1)
}
