package messenger

import (
	"bytes"

	"github.com/uber-go/tally/v4"
)

// Names that stand for messages without a method of their own.
const (
	methodReply = "reply"
	methodOther = "other"
)

// startLimit is the length in bytes of the start of an encoded request that holds its id and the text before its method.
const startLimit = 64

// methodStart precedes the method of an encoded request; replies have none.
var methodStart = []byte(`"jsonrpc":"2.0","method":"`)

// volume counts the messages of one method in one direction.
type volume struct {
	bytes    tally.Counter
	messages tally.Counter
}

// traffic counts messages by method, whose number it bounds by the names given at the start.
type traffic struct {
	sent, received map[string]volume
}

func newTraffic(scope tally.Scope, methods []string) *traffic {
	t := &traffic{sent: make(map[string]volume), received: make(map[string]volume)}
	for _, method := range append(methods, methodHello, methodHeartbeat, methodRetire, methodReply, methodOther) {
		t.sent[method] = newVolume(scope, "sent-"+method)
		t.received[method] = newVolume(scope, "received-"+method)
	}
	return t
}

func newVolume(scope tally.Scope, name string) volume {
	return volume{bytes: scope.Counter("peer-bytes-" + name), messages: scope.Counter("peer-messages-" + name)}
}

// count adds an encoded message of the size in bytes on the wire.
func count(volumes map[string]volume, message []byte, size int) {
	method := []byte(methodReply)
	if i := bytes.Index(message[:min(len(message), startLimit)], methodStart); i >= 0 {
		rest := message[i+len(methodStart):]
		method = rest[:max(0, bytes.IndexByte(rest, '"'))]
	}
	v, found := volumes[string(method)]
	if !found {
		v = volumes[methodOther]
	}
	v.bytes.Inc(int64(size))
	v.messages.Inc(1)
}
