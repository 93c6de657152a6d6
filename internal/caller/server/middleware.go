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

// track counts the request as accepted and asks for the end of its connection while the instance is not ready, so
// that few connections are open when the listener closes.
func (s *Server) track(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.accepted.Add(1)
		defer s.accepted.Add(-1)
		if !s.ready.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// contain turns a panic into a reply to its own caller.
func (s *Server) contain(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			recovered := recover()
			if recovered == nil {
				return
			}
			if err, ok := recovered.(error); ok && errors.Is(err, http.ErrAbortHandler) {
				panic(recovered)
			}
			checker.Rethrow(recovered)
			s.panics.Inc(1)
			s.write(w, faultInternal.answer("", "server: handle request: panic"))
		}()
		next.ServeHTTP(w, r)
	})
}

// readBody reads the whole body, which also lets net/http notice a caller that disconnects.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, *answer) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, refuse(faultBodyTooLarge, "", "body is larger than 64 KiB")
	}
	if err != nil {
		return nil, refuse(faultUnreadableBody, "", "server: read body: "+err.Error())
	}
	// The read timeout would otherwise cancel a query that takes longer.
	if err := http.NewResponseController(w).SetReadDeadline(time.Time{}); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return nil, refuse(faultUnreadableBody, "", "server: read body: "+err.Error())
	}
	return raw, nil
}

// write sends the answer; a caller that does not take it loses its connection after writeTimeout.
func (s *Server) write(w http.ResponseWriter, a answer) {
	if err := http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil && !errors.Is(err, http.ErrNotSupported) {
		s.unsent.Inc(1)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if a.retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(a.retryAfter.Seconds()))))
	}
	w.WriteHeader(a.status)
	if _, err := w.Write(a.body); err != nil {
		s.unsent.Inc(1)
	}
}
