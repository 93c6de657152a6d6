package ticketer

import (
	"crypto/rand"
	"strings"
)

// name is a parsed ticket.
type name struct {
	instance    string
	incarnation string
	random      string
}

func newName(instance, incarnation string) name {
	return name{instance: instance, incarnation: incarnation, random: strings.ToLower(rand.Text())}
}

// parseName splits from the right, because instance names may contain dots.
func parseName(ticket string) (name, bool) {
	rest, random, found := cutLast(ticket)
	if !found {
		return name{}, false
	}
	instance, incarnation, found := cutLast(rest)
	if !found || instance == "" || incarnation == "" || random == "" {
		return name{}, false
	}
	return name{instance: instance, incarnation: incarnation, random: random}, true
}

func (n name) String() string {
	return n.instance + "." + n.incarnation + "." + n.random
}

func cutLast(s string) (before, after string, found bool) {
	i := strings.LastIndexByte(s, '.')
	if i < 0 {
		return s, "", false
	}
	return s[:i], s[i+1:], true
}
