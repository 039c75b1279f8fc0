// Package evacuator holds the set of evacuated failure domains: those whose upstreams get no new
// requests until an operator finishes the evacuation.
//
// Control processes change their set by the orders in the replicated log. Entry processes merge the
// sets that several control processes send, of which some may lag behind: the one with the highest
// log position wins.
//
// The package does no I/O and reads no clock.
package evacuator

import (
	"fmt"
	"slices"
	"unicode"
	"unicode/utf8"

	"github.com/comfreybend/comfreybend/pkg/registrar"
)

const (
	// MaxDomains is the largest number of evacuated domains. A whole set is part of messages.
	MaxDomains = 256
	// MaxDomainBytes is the largest length of the name of a domain.
	MaxDomainBytes = 128
)

type (
	// Position is a position in the replicated log.
	Position uint64

	// Set is a set of evacuated domains with the position of the order that produced it. The zero
	// value is the empty set at position zero, before the first order. It is not safe for
	// concurrent use.
	Set struct {
		position Position
		// domains holds the names, sorted. The slice is replaced and never modified.
		domains []registrar.FailureDomain
	}

	// InvalidDomainError reports a name that no failure domain can have.
	InvalidDomainError struct {
		Domain registrar.FailureDomain
		Reason string
	}

	// TooManyError reports that MaxDomains domains are evacuated.
	TooManyError struct {
		Domain registrar.FailureDomain
	}
)

// Error implements error.
func (e *InvalidDomainError) Error() string {
	return fmt.Sprintf("failure domain %.*q: %s", MaxDomainBytes, e.Domain, e.Reason)
}

// Error implements error.
func (e *TooManyError) Error() string {
	return fmt.Sprintf("failure domain %q cannot be evacuated: %d domains already are", e.Domain, MaxDomains)
}

// Check returns an *InvalidDomainError if the name of a domain is empty, longer than MaxDomainBytes or
// not printable.
func Check(d registrar.FailureDomain) error {
	switch {
	case d == "":
		return &InvalidDomainError{Domain: d, Reason: "the name is empty"}
	case len(d) > MaxDomainBytes:
		return &InvalidDomainError{Domain: d, Reason: fmt.Sprintf("the name has %d bytes, at most %d are allowed", len(d), MaxDomainBytes)}
	case !utf8.ValidString(string(d)):
		return &InvalidDomainError{Domain: d, Reason: "the name is not valid UTF-8"}
	}
	for _, r := range string(d) {
		if !unicode.IsPrint(r) {
			return &InvalidDomainError{Domain: d, Reason: "the name has a character that is not printable"}
		}
	}
	return nil
}

// Restore returns a set of domains that an order at a position has produced.
func Restore(at Position, domains []registrar.FailureDomain) *Set {
	s := &Set{position: at, domains: slices.Clone(domains)}
	slices.Sort(s.domains)
	s.domains = slices.Compact(s.domains)
	return s
}

// Start adds a domain by an order at a position, and reports whether the set has changed. Otherwise its
// position stays. The error is an *InvalidDomainError or a *TooManyError.
func (s *Set) Start(at Position, d registrar.FailureDomain) (bool, error) {
	if err := Check(d); err != nil {
		return false, err
	}
	index, found := slices.BinarySearch(s.domains, d)
	if found {
		return false, nil
	}
	if len(s.domains) >= MaxDomains {
		return false, &TooManyError{Domain: d}
	}
	s.position, s.domains = at, slices.Insert(slices.Clone(s.domains), index, d)
	return true, nil
}

// Finish removes a domain by an order at a position, and reports whether the set has changed. Otherwise
// its position stays. The error is an *InvalidDomainError.
func (s *Set) Finish(at Position, d registrar.FailureDomain) (bool, error) {
	if err := Check(d); err != nil {
		return false, err
	}
	index, found := slices.BinarySearch(s.domains, d)
	if !found {
		return false, nil
	}
	s.position, s.domains = at, slices.Delete(slices.Clone(s.domains), index, index+1)
	return true, nil
}

// Merge takes over a set that arrived from a control process if its position is higher, and reports
// whether it did. A lower or equal position comes from a control process that lags behind or knows the
// same.
func (s *Set) Merge(other *Set) bool {
	if other.position <= s.position {
		return false
	}
	s.position, s.domains = other.position, other.domains
	return true
}

// Has reports whether a domain is evacuated. Upstreams without a domain never are.
func (s *Set) Has(d registrar.FailureDomain) bool {
	_, found := slices.BinarySearch(s.domains, d)
	return found
}

// Domains returns the evacuated domains, sorted. The caller must not modify them. Later changes of the
// set do not affect them.
func (s *Set) Domains() []registrar.FailureDomain { return s.domains }

// Position returns the position of the order that produced the set, zero before the first one.
func (s *Set) Position() Position { return s.position }
