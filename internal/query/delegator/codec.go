package delegator

import (
	"bufio"
	"bytes"
	"encoding/base64"
	"errors"
	"fmt"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"apricotflow/internal/manifest/authenticator"
	"apricotflow/internal/query/relayer"
	"apricotflow/internal/target/transporter"
	"apricotflow/internal/wire/encoder"
)

const (
	// maxBodyBytes is the maximum length of a body that another instance may announce.
	maxBodyBytes = 8 << 20
	// maxEncodedDecisions is the maximum number of decisions that go along with an answer.
	maxEncodedDecisions = 16
	// decisionFields is the number of fields of an encoded decision.
	decisionFields = 4
	// maxStatus is the highest status that can be written to a caller.
	maxStatus = 999
)

// errMalformed is returned for a message that cannot be decoded.
var errMalformed = errors.New("delegator: malformed message")

func encodeRequest(id string, request relayer.Request) encoder.DelegatedRequest {
	message := encoder.DelegatedRequest{
		Id: id, RequestId: request.Outbound.ID, Head: base64.StdEncoding.EncodeToString(request.Outbound.Head()),
		Body: base64.StdEncoding.EncodeToString(request.Outbound.Body()), Version: request.Table.Version(),
		LeftMs: int(max(time.Until(request.Deadline)-hopTime, 0).Milliseconds()),
	}
	if request.Tenant != nil {
		digest := request.KeyDigest.String()
		message.Tenant, message.KeyDigest = &request.Tenant.Name, &digest
	}
	if request.PriorRuns > 0 {
		message.Runs = &request.PriorRuns
	}
	if request.Wide {
		message.Wide = &request.Wide
	}
	if !request.Due.IsZero() {
		due := int((time.Until(request.Due) - hopTime).Microseconds())
		message.DueUs = &due
	}
	return message
}

func decodeRequest(origin string, message encoder.DelegatedRequest) (relayer.Delegation, error) {
	head, errHead := base64.StdEncoding.DecodeString(message.Head)
	body, errBody := base64.StdEncoding.DecodeString(message.Body)
	if err := errors.Join(errHead, errBody); err != nil {
		return relayer.Delegation{}, fmt.Errorf("%w: %w", errMalformed, err)
	}
	outbound, err := transporter.ParseRequest(message.RequestId, head, body)
	if err != nil {
		return relayer.Delegation{}, err
	}
	d := relayer.Delegation{
		Origin: origin, Outbound: outbound, Version: message.Version, TimeLeft: time.Duration(message.LeftMs) * time.Millisecond,
	}
	if message.Tenant != nil && message.KeyDigest != nil {
		d.Tenant = *message.Tenant
		if d.KeyDigest, err = authenticator.ParseDigest(*message.KeyDigest); err != nil {
			return relayer.Delegation{}, fmt.Errorf("%w: %w", errMalformed, err)
		}
	}
	if message.Runs != nil {
		d.PriorRuns = max(*message.Runs, 0)
	}
	d.Wide = message.Wide != nil && *message.Wide
	if message.DueUs != nil {
		dueIn := time.Duration(*message.DueUs) * time.Microsecond
		d.DueIn = &dueIn
	}
	return d, nil
}

// encodeAnswer returns the message for an answer without its body, and the body.
func encodeAnswer(answer relayer.Answer) (encoder.DelegatedAnswer, []byte) {
	message := encoder.DelegatedAnswer{
		Accepted: true, Outcome: string(answer.Outcome), Signatures: strings.Join(answer.Signatures, "\n"), Missing: answer.Missing,
		RetryAfterMs: int(answer.RetryAfter.Milliseconds()), Decisions: encodeDecisions(answer.Decisions),
	}
	if leaving := encodeLeaving(answer.Leaving); leaving != "" {
		message.Leaving = &leaving
	}
	if answer.Reply == nil {
		return message, answer.Records
	}
	var header bytes.Buffer
	// Writing to a bytes.Buffer cannot fail.
	_ = answer.Reply.Header.Write(&header)
	message.Status, message.Signatures = answer.Reply.Status, answer.Reply.Signature
	message.Header = base64.StdEncoding.EncodeToString(header.Bytes())
	return message, answer.Reply.Body
}

// DecodeAnswer decodes an answer. The function readMore returns the encoded bytes of the body from an offset on, for a body
// that is longer than one message.
func DecodeAnswer(message encoder.DelegatedAnswer, readMore func(offset int) (string, error)) (relayer.Answer, error) {
	body, err := decodeBody(message, readMore)
	if err != nil {
		return relayer.Answer{}, err
	}
	answer := relayer.Answer{
		Outcome: relayer.Outcome(message.Outcome), Missing: message.Missing,
		RetryAfter: time.Duration(message.RetryAfterMs) * time.Millisecond, Decisions: decodeDecisions(message.Decisions),
	}
	if message.Leaving != nil {
		answer.Leaving = decodeLeaving(*message.Leaving)
	}
	switch answer.Outcome {
	case relayer.Merged:
		answer.Records, answer.Signatures = body, strings.Split(message.Signatures, "\n")
	case relayer.Relayed:
		if message.Status < http.StatusOK || message.Status > maxStatus {
			// No reply has such a status, and it cannot be written to the caller as a final one.
			return relayer.Answer{}, fmt.Errorf("%w: status %d", errMalformed, message.Status)
		}
		header, err := decodeHeader(message.Header)
		if err != nil {
			return relayer.Answer{}, err
		}
		answer.Reply = &transporter.Reply{Status: message.Status, Header: header, Body: body, Signature: message.Signatures}
	case relayer.NotRun, relayer.Failed, relayer.TimedOut:
	default:
		// The caller of an abandoned request has left, which this instance would know.
		return relayer.Answer{}, fmt.Errorf("%w: outcome %q", errMalformed, message.Outcome)
	}
	return answer, nil
}

func decodeHeader(encoded string) (http.Header, error) {
	raw, err := base64.StdEncoding.DecodeString(encoded)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errMalformed, err)
	}
	header, err := textproto.NewReader(bufio.NewReader(bytes.NewReader(append(raw, "\r\n"...)))).ReadMIMEHeader()
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errMalformed, err)
	}
	return http.Header(header), nil
}

// decodeBody decodes the body of an answer and reads what does not fit into its message.
func decodeBody(message encoder.DelegatedAnswer, readMore func(offset int) (string, error)) ([]byte, error) {
	length := message.BodyBytes
	if length < 0 || length > maxBodyBytes {
		return nil, fmt.Errorf("%w: body of %d bytes", errMalformed, length)
	}
	body, err := appendBytes(make([]byte, 0, length), message.Body, length)
	for err == nil && len(body) < length {
		var next string
		if next, err = readMore(len(body)); err == nil {
			body, err = appendBytes(body, next, length)
		}
	}
	return body, err
}

// appendBytes appends decoded bytes to a body, which must not become longer than the given length.
func appendBytes(body []byte, encoded string, length int) ([]byte, error) {
	before := len(body)
	body, err := base64.StdEncoding.AppendDecode(body, []byte(encoded))
	switch {
	case err != nil:
		return nil, fmt.Errorf("%w: %w", errMalformed, err)
	case len(body) > length, len(body) == before && length > before:
		return nil, fmt.Errorf("%w: %d bytes after %d of %d", errMalformed, len(body)-before, before, length)
	}
	return body, nil
}

func encodeLeaving(leaving []relayer.Departure) string {
	var text strings.Builder
	for _, d := range leaving {
		fmt.Fprintf(&text, "%s %d\n", d.Target, d.Started)
	}
	return text.String()
}

// decodeLeaving decodes the targets that leave. It skips malformed lines.
func decodeLeaving(encoded string) []relayer.Departure {
	var leaving []relayer.Departure
	for line := range strings.Lines(encoded) {
		target, text, _ := strings.Cut(strings.TrimSuffix(line, "\n"), " ")
		if started, err := strconv.Atoi(text); err == nil {
			leaving = append(leaving, relayer.Departure{Target: target, Started: started})
		}
	}
	return leaving
}

// fieldSeparators are the characters that separate the fields and lines of encoded decisions.
var fieldSeparators = strings.NewReplacer("\t", " ", "\n", " ")

func encodeDecisions(decisions []relayer.Decision) string {
	var text strings.Builder
	for _, d := range decisions[:min(len(decisions), maxEncodedDecisions)] {
		text.WriteString(strconv.FormatInt(d.After.Microseconds(), 10))
		for _, field := range []string{d.Service, d.Target, d.Event} {
			text.WriteString("\t" + fieldSeparators.Replace(field))
		}
		text.WriteByte('\n')
	}
	return text.String()
}

// decodeDecisions decodes what explains an answer. It skips malformed lines.
func decodeDecisions(encoded string) []relayer.Decision {
	var decisions []relayer.Decision
	for line := range strings.Lines(encoded) {
		fields := strings.SplitN(strings.TrimSuffix(line, "\n"), "\t", decisionFields)
		if len(fields) != decisionFields {
			continue
		}
		after, err := strconv.ParseInt(fields[0], 10, 64)
		if err != nil {
			continue
		}
		decisions = append(decisions, relayer.Decision{After: time.Duration(after) * time.Microsecond, Service: fields[1], Target: fields[2], Event: fields[3]})
	}
	return decisions
}
