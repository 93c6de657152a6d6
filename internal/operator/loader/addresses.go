package loader

import (
	"fmt"
	"net/netip"

	"apricotflow/internal/manifest/resolver"
)

// addressParser parses the addresses of the settings and adds their problems to those of the schema.
type addressParser struct {
	problems []resolver.Problem
	// pathsWithProblem holds the paths that already have a problem.
	pathsWithProblem map[string]bool
	// accepted holds the valid addresses so far with their paths, to find duplicates.
	accepted []acceptedAddress
}

type acceptedAddress struct {
	path    string
	address netip.AddrPort
}

func newAddressParser(problems []resolver.Problem) *addressParser {
	a := &addressParser{problems: problems, pathsWithProblem: make(map[string]bool)}
	for _, p := range problems {
		a.pathsWithProblem[p.Path] = true
	}
	return a
}

// parseListenAddress parses an address that this process listens on, which may be unspecified, such as 0.0.0.0, and
// must be unique.
func (a *addressParser) parseListenAddress(path, text string) netip.AddrPort {
	address := a.parse(path, text)
	if address.IsValid() {
		a.checkUnique(path, address)
	}
	return address
}

// parseConnectAddress parses an address like parseListenAddress, but refuses an unspecified one, because this or
// another process connects to it.
func (a *addressParser) parseConnectAddress(path, text string) netip.AddrPort {
	address := a.parseListenAddress(path, text)
	a.refuseUnspecified(path, address)
	return address
}

// parseSeedAddress parses the address of a peer. The instance's own peer address is allowed, so that all instances can
// use the same list of seeds.
func (a *addressParser) parseSeedAddress(path, text string, own netip.AddrPort) netip.AddrPort {
	address := a.parse(path, text)
	a.refuseUnspecified(path, address)
	if address.IsValid() && address != own {
		a.checkUnique(path, address)
	}
	return address
}

func (a *addressParser) parse(path, text string) netip.AddrPort {
	address, err := netip.ParseAddrPort(text)
	if err != nil || address.Port() == 0 {
		a.addProblem(path, "must be an IP address with a port from 1 to 65535, not %q", text)
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
}

func (a *addressParser) refuseUnspecified(path string, address netip.AddrPort) {
	if address.IsValid() && address.Addr().IsUnspecified() {
		a.addProblem(path, "must be an address that can be connected to, not %s, which stands for all interfaces", address)
	}
}

// checkUnique reports a duplicate address. An unspecified address is a duplicate of all addresses with its port,
// because it stands for all interfaces.
func (a *addressParser) checkUnique(path string, address netip.AddrPort) {
	for _, other := range a.accepted {
		sameHost := other.address.Addr() == address.Addr() || other.address.Addr().IsUnspecified() || address.Addr().IsUnspecified()
		if sameHost && other.address.Port() == address.Port() {
			a.addProblem(path, "duplicate address %s, also used by %s", address, other.path)
			return
		}
	}
	a.accepted = append(a.accepted, acceptedAddress{path: path, address: address})
}

// addProblem adds a problem unless the path already has one.
func (a *addressParser) addProblem(path, format string, arguments ...any) {
	if a.pathsWithProblem[path] {
		return
	}
	a.pathsWithProblem[path] = true
	a.problems = append(a.problems, resolver.Problem{Path: path, Message: fmt.Sprintf(format, arguments...)})
}
