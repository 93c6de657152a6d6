package loader

import (
	"fmt"
	"net/netip"

	"apricotflow/internal/manifest/resolver"
)

// addresses parses the addresses of the settings and collects their problems.
type addresses struct {
	problems []resolver.Problem
	// refused holds the paths that already have a problem.
	refused map[string]bool
	// used holds the accepted addresses with their paths.
	used []usedAddress
}

type usedAddress struct {
	path    string
	address netip.AddrPort
}

func newAddresses(problems []resolver.Problem) *addresses {
	a := &addresses{problems: problems, refused: make(map[string]bool)}
	for _, p := range problems {
		a.refused[p.Path] = true
	}
	return a
}

// listener parses an address of this process; it may stand for all interfaces.
func (a *addresses) listener(path, text string) netip.AddrPort {
	address := a.parse(path, text)
	if address.IsValid() {
		a.claim(path, address)
	}
	return address
}

// remote parses an address that this or another process connects to.
func (a *addresses) remote(path, text string) netip.AddrPort {
	address := a.listener(path, text)
	a.refuseUnspecified(path, address)
	return address
}

// seed parses the address of a peer. The instance's own address is allowed, so that all instances can share a list.
func (a *addresses) seed(path, text string, own netip.AddrPort) netip.AddrPort {
	address := a.parse(path, text)
	a.refuseUnspecified(path, address)
	if address.IsValid() && address != own {
		a.claim(path, address)
	}
	return address
}

func (a *addresses) parse(path, text string) netip.AddrPort {
	address, err := netip.ParseAddrPort(text)
	if err != nil || address.Port() == 0 {
		a.add(path, "%q is not an IP address with a port", text)
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
}

func (a *addresses) refuseUnspecified(path string, address netip.AddrPort) {
	if address.IsValid() && address.Addr().IsUnspecified() {
		a.add(path, "%s stands for all interfaces and cannot be connected to", address)
	}
}

// claim reports an address that is used twice; one for all interfaces collides with all others of its port.
func (a *addresses) claim(path string, address netip.AddrPort) {
	for _, u := range a.used {
		sameHost := u.address.Addr() == address.Addr() || u.address.Addr().IsUnspecified() || address.Addr().IsUnspecified()
		if sameHost && u.address.Port() == address.Port() {
			a.add(path, "duplicate address %s, also used by %s", address, u.path)
			return
		}
	}
	a.used = append(a.used, usedAddress{path: path, address: address})
}

func (a *addresses) add(path, format string, arguments ...any) {
	if a.refused[path] {
		return
	}
	a.refused[path] = true
	a.problems = append(a.problems, resolver.Problem{Path: path, Message: fmt.Sprintf(format, arguments...)})
}
