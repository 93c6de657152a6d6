package server

import (
	"context"
	"net/http"
	"time"

	"apricotflow/internal/query/ticketer"
	"apricotflow/internal/wire/encoder"
)

func (s *Server) postQuery(w http.ResponseWriter, r *http.Request) {
	raw, refused := readBody(w, r)
	if refused != nil {
		s.write(w, *refused)
		return
	}
	request, refused := s.queries.decode(raw)
	if refused != nil {
		s.write(w, *refused)
		return
	}
	if request.Ticket == nil {
		s.write(w, s.execute(r.Context(), request))
		return
	}
	s.write(w, s.runTicket(r.Context(), request, 0, s.tickets.Run))
}

func (s *Server) postTicket(w http.ResponseWriter, r *http.Request) {
	raw, refused := readBody(w, r)
	if refused != nil {
		s.write(w, *refused)
		return
	}
	request, refused := s.ticketRequests.decode(raw)
	if refused != nil {
		s.write(w, *refused)
		return
	}
	s.write(w, s.issue(request))
}

func (s *Server) getReady(w http.ResponseWriter, _ *http.Request) {
	if !s.ready.Load() {
		s.write(w, faultNotReady.answer("", "server: instance is not ready"))
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (s *Server) notFound(w http.ResponseWriter, _ *http.Request) {
	s.write(w, faultNotFound.answer("", "server: no such resource"))
}

func (s *Server) methodNotAllowed(w http.ResponseWriter, _ *http.Request) {
	s.write(w, faultMethodNotAllowed.answer("", "server: method not allowed"))
}

func (s *Server) issue(request encoder.TicketRequest) answer {
	if _, err := s.executor.Class(request.QueryClass); err != nil {
		return executeAnswer(err)
	}
	reply, err := s.tickets.Issue(request.QueryClass)
	if err != nil {
		return ticketAnswer(err)
	}
	return answer{status: http.StatusOK, body: encoder.Encode(reply)}
}

// RunTicket runs a ticketed query that another instance has forwarded. The caller sets the clock of the reply.
func (s *Server) RunTicket(ctx context.Context, message encoder.RunTicketRequest) encoder.RunTicketReply {
	if message.Request.Ticket == nil {
		return runTicketReply(faultTicketRequired.answer("$.ticket", "server: run ticket: no ticket"))
	}
	return runTicketReply(s.runTicket(ctx, message.Request, message.DeadlineMs, s.tickets.RunForwarded))
}

func (s *Server) execute(ctx context.Context, request encoder.QueryRequest) answer {
	reply, err := s.executor.Execute(ctx, request)
	if err != nil {
		return executeAnswer(err)
	}
	return replyAnswer(reply)
}

// runner is ticketer.Run or ticketer.RunForwarded.
type runner func(ctx context.Context, ticket string, request encoder.QueryRequest, f ticketer.RunFunc) (ticketer.Answer, error)

// runTicket runs a ticketed query; leftMs shortens the deadline unless it is zero.
func (s *Server) runTicket(ctx context.Context, request encoder.QueryRequest, leftMs int, run runner) answer {
	limited := request
	deadlineMs := shortest(s.classDeadlineMs(request.QueryClass), request.DeadlineMs, leftMs)
	limited.DeadlineMs = &deadlineMs
	ctx, cancel := context.WithTimeout(ctx, time.Duration(deadlineMs)*time.Millisecond)
	defer cancel()
	result, err := run(ctx, *request.Ticket, request, func(ctx context.Context) ticketer.Answer {
		a := s.execute(ctx, limited)
		return ticketer.Answer{Status: a.status, Body: a.body}
	})
	if err != nil {
		return ticketAnswer(err)
	}
	a := answer{status: result.Status, body: result.Body}
	if a.status == http.StatusServiceUnavailable {
		a.retryAfter = defaultRetryAfter
	}
	return a
}

// classDeadlineMs does not refuse an unknown class: the ticket may have run before the class was removed.
func (s *Server) classDeadlineMs(name string) int {
	class, err := s.executor.Class(name)
	if err != nil {
		return int(unknownClassDeadline.Milliseconds())
	}
	return class.DeadlineMs
}

func shortest(classMs int, requestMs *int, leftMs int) int {
	deadlineMs := classMs
	if requestMs != nil {
		deadlineMs = min(deadlineMs, *requestMs)
	}
	if leftMs > 0 {
		deadlineMs = min(deadlineMs, leftMs)
	}
	return deadlineMs
}

func runTicketReply(a answer) encoder.RunTicketReply {
	return encoder.RunTicketReply{Status: a.status, Body: string(a.body)}
}
