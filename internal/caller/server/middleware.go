package server

import (
	"errors"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"apricotflow/internal/operator/checker"
)

// trackInFlight counts the requests in flight. While the instance is not ready, it asks callers to close their
// connections, so that few are open when the listener closes.
func (s *Server) trackInFlight(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.inFlight.Add(1)
		defer s.inFlight.Add(-1)
		if !s.ready.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// recoverPanics answers a request whose handler panics with an internal error, which has an unknown outcome, and counts
// the panic. Other requests go on.
func (s *Server) recoverPanics(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			recovered := recover()
			if recovered == nil {
				return
			}
			if err, ok := recovered.(error); ok && errors.Is(err, http.ErrAbortHandler) {
				panic(recovered)
			}
			checker.RepanicViolation(recovered)
			s.panics.Inc(1)
			s.write(w, kindInternalError.response("", "server: handle request: panic"))
		}()
		next.ServeHTTP(w, r)
	})
}

// readBody reads the whole body. net/http detects that a caller has disconnected only after the body has been read.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, *response) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, errorResponse(kindBodyTooLarge, "", "body is larger than 64 KiB")
	}
	if err != nil {
		return nil, errorResponse(kindUnreadableBody, "", "server: read body: "+err.Error())
	}
	// The read deadline has to be cleared: it would cancel the context of a query that runs longer.
	if err := http.NewResponseController(w).SetReadDeadline(time.Time{}); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return nil, errorResponse(kindUnreadableBody, "", "server: read body: "+err.Error())
	}
	return raw, nil
}

// write sends the response. The connection of a caller that does not receive it within writeTimeout is closed.
func (s *Server) write(w http.ResponseWriter, resp response) {
	if err := http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil && !errors.Is(err, http.ErrNotSupported) {
		s.unsentResponses.Inc(1)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if resp.retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(resp.retryAfter.Seconds()))))
	}
	if resp.status == http.StatusUnauthorized {
		w.Header().Set(headerChallenge, keyScheme)
	}
	w.WriteHeader(resp.status)
	if _, err := w.Write(resp.body); err != nil {
		s.unsentResponses.Inc(1)
	}
}
