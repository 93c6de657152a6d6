package reader

import (
	"bytes"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
)

// Bounds of the statuses of heads that parseHead decodes: final ones.
const (
	minFastStatus = 200
	maxFastStatus = 599
)

// fastHead is the head of a reply that parseHead has decoded.
type fastHead struct {
	status int
	header http.Header
	// length is the length of the body.
	length int64
	// size is the length of the head.
	size int
}

var (
	endOfHead    = []byte("\r\n\r\n")
	statusPrefix = []byte("HTTP/1.1 ")
)

// parseHead decodes the head of a reply that is in the buffer as a whole and has the usual form: a final status with a body
// of a stated length, on a connection that stays open. It returns false for all others, which net/http has to decode or
// refuse. It takes a few allocations, where net/http takes several for each header.
func parseHead(raw []byte) (fastHead, bool) {
	end := bytes.Index(raw, endOfHead)
	if end < 0 || !bytes.HasPrefix(raw, statusPrefix) {
		return fastHead{}, false
	}
	head := fastHead{length: -1, size: end + len(endOfHead)}
	// One string holds all names and values.
	text := string(raw[len(statusPrefix) : end+len("\r\n")])
	line, rest, _ := strings.Cut(text, "\r\n")
	code, _, _ := strings.Cut(line, " ")
	status, err := strconv.Atoi(code)
	if err != nil || len(code) != len("200") || strings.ContainsAny(line, "\r\n") || status < minFastStatus || status > maxFastStatus ||
		status == http.StatusNoContent || status == http.StatusNotModified {
		return fastHead{}, false
	}
	head.status = status
	lines := strings.Count(rest, "\r\n")
	head.header = make(http.Header, lines)
	values := make([]string, 0, lines)
	for rest != "" {
		line, rest, _ = strings.Cut(rest, "\r\n")
		name, value, found := strings.Cut(line, ":")
		if !found || !isPlain(name, value) {
			return fastHead{}, false
		}
		name = textproto.CanonicalMIMEHeaderKey(name)
		value = strings.Trim(value, " \t")
		switch name {
		case "Transfer-Encoding", "Connection", "Trailer", "Pragma":
			return fastHead{}, false
		case "Content-Length":
			head.length, err = strconv.ParseInt(value, 10, 64)
			if err != nil || head.length < 0 || value[0] == '+' {
				return fastHead{}, false
			}
		}
		if head.header[name] != nil {
			return fastHead{}, false
		}
		values = append(values, value)
		n := len(values)
		// The capacity keeps a caller that appends a value from overwriting the next one.
		head.header[name] = values[n-1 : n : n]
	}
	return head, head.length >= 0
}

// isPlain reports whether a header consists of the characters that nearly all do: letters, digits and hyphens in the name,
// and printable ASCII in the value.
func isPlain(name, value string) bool {
	for i := range len(name) {
		c := name[i]
		if (c|0x20 < 'a' || c|0x20 > 'z') && (c < '0' || c > '9') && c != '-' {
			return false
		}
	}
	for i := range len(value) {
		if c := value[i]; (c < ' ' || c > '~') && c != '\t' {
			return false
		}
	}
	return name != ""
}
