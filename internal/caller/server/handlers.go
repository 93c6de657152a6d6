package server

import (
	"context"
	"net/http"
	"time"

	"apricotflow/internal/query/ticketer"
	"apricotflow/internal/wire/encoder"
)

func (s *Server) postQuery(w http.ResponseWriter, r *http.Request) {
	ctx, rejection := s.authenticate(r, encoder.QueryOutcomeUnknown)
	if rejection != nil {
		s.write(w, *rejection)
		return
	}
	raw, rejection := readBody(w, r)
	if rejection != nil {
		s.write(w, *rejection)
		return
	}
	request, rejection := s.queryValidator.decode(raw)
	if rejection == nil {
		rejection = s.checkAnonymous(ctx, request.QueryClass, encoder.QueryOutcomeUnknown)
	}
	if rejection != nil {
		s.write(w, *rejection)
		return
	}
	if request.Ticket == nil {
		s.write(w, s.execute(ctx, request))
		return
	}
	// 0: a query that comes from its caller has no remaining time of another instance.
	s.write(w, s.runTicket(ctx, request, 0, s.tickets.Run))
}

func (s *Server) postTicket(w http.ResponseWriter, r *http.Request) {
	ctx, rejection := s.authenticate(r, encoder.QueryOutcomeNotRun)
	if rejection != nil {
		s.write(w, *rejection)
		return
	}
	raw, rejection := readBody(w, r)
	if rejection != nil {
		s.write(w, *rejection)
		return
	}
	request, rejection := s.ticketValidator.decode(raw)
	if rejection == nil {
		rejection = s.checkAnonymous(ctx, request.QueryClass, encoder.QueryOutcomeNotRun)
	}
	if rejection != nil {
		s.write(w, *rejection)
		return
	}
	s.write(w, s.issueTicket(request))
}

func (s *Server) getReady(w http.ResponseWriter, _ *http.Request) {
	if !s.ready.Load() {
		s.write(w, kindNotReady.response("", "server: instance is not ready"))
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (s *Server) notFound(w http.ResponseWriter, _ *http.Request) {
	s.write(w, kindNotFound.response("", "server: no such resource"))
}

func (s *Server) methodNotAllowed(w http.ResponseWriter, _ *http.Request) {
	s.write(w, kindMethodNotAllowed.response("", "server: method not allowed"))
}

func (s *Server) issueTicket(request encoder.TicketRequest) response {
	if _, err := s.executor.Class(request.QueryClass); err != nil {
		return responseForExecuteError(err)
	}
	reply, err := s.tickets.Issue(request.QueryClass)
	if err != nil {
		return responseForTicketError(err)
	}
	return response{status: http.StatusOK, body: encoder.Encode(reply)}
}

// RunForwardedTicket runs a ticketed query that another instance has forwarded. It leaves the Clock field of the reply
// unset; the handler of the peer protocol in package assembler sets it.
func (s *Server) RunForwardedTicket(ctx context.Context, message encoder.RunTicketRequest) encoder.RunTicketReply {
	if message.Request.Ticket == nil {
		return toRunTicketReply(kindTicketRequired.response("$.ticket", "server: run ticket: no ticket"))
	}
	if message.Tenant != nil {
		// A tenant that the manifest in force here does not list has no limit here.
		tenant, _ := s.tenants().ByName(*message.Tenant)
		ctx = withIdentity(ctx, identity{needsKey: true, tenant: tenant})
	}
	// DeadlineMs of this message is the time left, not a deadline of the query class.
	return toRunTicketReply(s.runTicket(ctx, message.Request, message.DeadlineMs, s.tickets.RunForwarded))
}

func (s *Server) execute(ctx context.Context, request encoder.QueryRequest) response {
	if refused := s.admit(ctx); refused != nil {
		return *refused
	}
	reply, err := s.executor.Execute(ctx, request)
	if err != nil {
		return responseForExecuteError(err)
	}
	return responseForReply(reply)
}

// ticketRunFunc is the type of Ticketer.Run and Ticketer.RunForwarded.
type ticketRunFunc func(ctx context.Context, ticket string, request encoder.QueryRequest, f ticketer.RunFunc) (ticketer.Answer, error)

// runTicket runs a ticketed query through run. A remainingMs above zero is the time that is left of the deadline of a
// forwarded query, and limits the deadline.
func (s *Server) runTicket(ctx context.Context, request encoder.QueryRequest, remainingMs int, run ticketRunFunc) response {
	limitedRequest := request
	deadlineMs := shortestDeadlineMs(s.classDeadlineMs(request.QueryClass), request.DeadlineMs, remainingMs)
	limitedRequest.DeadlineMs = &deadlineMs
	ctx, cancel := context.WithTimeout(ctx, time.Duration(deadlineMs)*time.Millisecond)
	defer cancel()
	// The ticketer compares the requests that are sent with one ticket, so it gets the request as the caller sent it. The
	// query may run on after ctx has ended, so the request that is executed carries the shortened deadline.
	result, err := run(ctx, *request.Ticket, request, func(ctx context.Context) ticketer.Answer {
		resp := s.execute(ctx, limitedRequest)
		return ticketer.Answer{Status: resp.status, Body: resp.body, RetryAfter: resp.retryAfter}
	})
	if err != nil {
		return responseForTicketError(err)
	}
	resp := response{status: result.Status, body: result.Body, retryAfter: result.RetryAfter}
	if resp.status == http.StatusServiceUnavailable && resp.retryAfter <= 0 {
		// An older version of the instance that issued the ticket does not send it.
		resp.retryAfter = defaultRetryAfter
	}
	return resp
}

// classDeadlineMs returns the deadline of a query class. An unknown class is not an error, because the query of the
// ticket may have run before the class was removed.
func (s *Server) classDeadlineMs(name string) int {
	class, err := s.executor.Class(name)
	if err != nil {
		return int(unknownClassDeadline.Milliseconds())
	}
	return class.DeadlineMs
}

// shortestDeadlineMs returns the shortest of the deadlines that are set.
func shortestDeadlineMs(classMs int, requestMs *int, remainingMs int) int {
	deadlineMs := classMs
	if requestMs != nil {
		deadlineMs = min(deadlineMs, *requestMs)
	}
	if remainingMs > 0 {
		deadlineMs = min(deadlineMs, remainingMs)
	}
	return deadlineMs
}

func toRunTicketReply(resp response) encoder.RunTicketReply {
	reply := encoder.RunTicketReply{Status: resp.status, Body: string(resp.body)}
	if resp.retryAfter > 0 {
		ms := int(resp.retryAfter.Milliseconds())
		reply.RetryAfterMs = &ms
	}
	return reply
}
