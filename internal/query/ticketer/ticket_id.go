package ticketer

import (
	"crypto/rand"
	"strings"
)

// ticketID is a parsed ticket.
type ticketID struct {
	instance    string
	incarnation string
	randomPart  string
}

func newTicketID(instance, incarnation string) ticketID {
	return ticketID{instance: instance, incarnation: incarnation, randomPart: strings.ToLower(rand.Text())}
}

// parseTicket splits the ticket from the right, because instance names may contain dots.
func parseTicket(ticket string) (ticketID, bool) {
	rest, randomPart, found := cutLastDot(ticket)
	if !found {
		return ticketID{}, false
	}
	instance, incarnation, found := cutLastDot(rest)
	if !found || instance == "" || incarnation == "" || randomPart == "" {
		return ticketID{}, false
	}
	return ticketID{instance: instance, incarnation: incarnation, randomPart: randomPart}, true
}

func (id ticketID) String() string {
	return id.instance + "." + id.incarnation + "." + id.randomPart
}

func cutLastDot(s string) (before, after string, found bool) {
	i := strings.LastIndexByte(s, '.')
	if i < 0 {
		return s, "", false
	}
	return s[:i], s[i+1:], true
}
