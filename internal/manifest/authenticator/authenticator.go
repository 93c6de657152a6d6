// Package authenticator maps API keys to tenants. It holds only digests of keys, so that a key can appear in no log,
// message or status. Package mapper builds one immutable view for each routing table, and the receiver looks up the
// keys of callers in it. Enforcing the limits of tenants is left to package rationer.
package authenticator

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math"

	"apricotflow/internal/wire/encoder"
)

// digestBytes is the length of a digest. Keys are random, so 16 bytes of a SHA-256 hash identify one.
const digestBytes = 16

// Digest identifies an API key without revealing it. The zero value belongs to no key.
type Digest [digestBytes]byte

// NewDigest returns the digest of a key.
func NewDigest(key string) Digest {
	hash := sha256.Sum256([]byte(key))
	return Digest(hash[:digestBytes])
}

// ParseDigest decodes the hexadecimal form of a digest.
func ParseDigest(text string) (Digest, error) {
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != digestBytes {
		// The text is left out: it may be a key that was entered in place of its digest.
		return Digest{}, fmt.Errorf("authenticator: a digest must have %d hexadecimal digits", 2*digestBytes)
	}
	return Digest(raw), nil
}

// String returns the hexadecimal form.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// Tenant is a customer whose requests are limited and ordered together. It is immutable.
type Tenant struct {
	Name string
	// Priority precedes the priority of the route; 0 is the highest.
	Priority int
	// Rate is the maximum number of requests per second over all instances; 0 if it is not limited.
	Rate float64
	// Burst is the number of requests that are allowed in addition to the rate.
	Burst float64
}

// IsLimited reports whether the tenant has a request limit.
func (t *Tenant) IsLimited() bool { return t.Rate > 0 }

// Tenants is an immutable set of tenants and the digests of their keys. A nil *Tenants means that no tenants are
// configured, so that requests need no key.
type Tenants struct {
	byDigest map[Digest]*Tenant
	names    map[string]*Tenant
}

// New creates the set from its encoded form and reports every problem with the path of the faulty value below the list.
func New(encoded []encoder.Tenant, report func(path, message string)) *Tenants {
	t := &Tenants{byDigest: make(map[Digest]*Tenant), names: make(map[string]*Tenant, len(encoded))}
	for i, e := range encoded {
		t.add(e, func(field, message string) { report(fmt.Sprintf("[%d]%s", i, field), message) })
	}
	return t
}

func (t *Tenants) add(e encoder.Tenant, report func(field, message string)) {
	tenant := &Tenant{Name: e.Name, Priority: e.Priority, Rate: e.Rate, Burst: e.Burst}
	if e.Name == "" {
		report(".name", "must not be empty")
	} else if t.names[e.Name] != nil {
		report(".name", fmt.Sprintf("tenant %q is listed twice", e.Name))
	}
	reportUnlessLimit(".rate", e.Rate, report)
	reportUnlessLimit(".burst", e.Burst, report)
	t.names[e.Name] = tenant
	for i, text := range e.KeyDigests {
		field := fmt.Sprintf(".key-digests[%d]", i)
		digest, err := ParseDigest(text)
		if err != nil {
			report(field, err.Error())
			continue
		}
		if other := t.byDigest[digest]; other != nil && other != tenant {
			report(field, fmt.Sprintf("tenant %q has the same key", other.Name))
			continue
		}
		t.byDigest[digest] = tenant
	}
}

func reportUnlessLimit(field string, value float64, report func(field, message string)) {
	if value < 0 || math.IsNaN(value) || math.IsInf(value, 0) {
		report(field, fmt.Sprintf("%g is not a finite number of 0 or more", value))
	}
}

// Find returns the tenant that holds the key with the digest.
func (t *Tenants) Find(d Digest) (*Tenant, bool) {
	if t == nil {
		return nil, false
	}
	tenant, found := t.byDigest[d]
	return tenant, found
}

// ByName returns the tenant with the name.
func (t *Tenants) ByName(name string) (*Tenant, bool) {
	if t == nil {
		return nil, false
	}
	tenant, found := t.names[name]
	return tenant, found
}

// Len returns the number of tenants.
func (t *Tenants) Len() int {
	if t == nil {
		return 0
	}
	return len(t.names)
}
