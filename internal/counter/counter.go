// Package counter counts the calls and tokens that an entry process has relayed, by organisation and
// class, until the control processes have committed them.
package counter

import (
	"sort"
	"sync"

	"github.com/comfreybend/comfreybend/internal/configurer"
	"github.com/comfreybend/comfreybend/schema/state"
)

type (
	// TokenCount is a number of input or output tokens.
	TokenCount uint64

	usageKey struct {
		organisation configurer.OrganisationID
		class        configurer.ClassName
	}

	// Counters holds the cumulative usage counters of one incarnation of a process, by
	// organisation and class. It is safe for concurrent use.
	Counters struct {
		mu       sync.Mutex
		counters map[usageKey]*state.UsageCounter
	}
)

// New returns counters at zero.
func New() *Counters {
	return &Counters{counters: map[usageKey]*state.UsageCounter{}}
}

// Add counts one call and its tokens.
func (u *Counters) Add(organisation configurer.OrganisationID, class configurer.ClassName, in, out TokenCount) {
	u.mu.Lock()
	defer u.mu.Unlock()
	key := usageKey{organisation: organisation, class: class}
	c := u.counters[key]
	if c == nil {
		c = &state.UsageCounter{Organisation: string(organisation), Class: string(class)}
		u.counters[key] = c
	}
	c.Calls++
	c.TokensIn += uint64(in)
	c.TokensOut += uint64(out)
}

// Snapshot returns a copy of the counters for a push to the control processes.
func (u *Counters) Snapshot(host, incarnation string, final bool) *state.Usage {
	u.mu.Lock()
	defer u.mu.Unlock()
	out := &state.Usage{Host: host, Incarnation: incarnation, Final: final}
	for _, c := range u.counters {
		out.Counters = append(out.Counters, &state.UsageCounter{
			Organisation: c.GetOrganisation(),
			Class:        c.GetClass(),
			Calls:        c.GetCalls(),
			TokensIn:     c.GetTokensIn(),
			TokensOut:    c.GetTokensOut(),
		})
	}
	sort.Slice(out.Counters, func(i, j int) bool {
		a, b := out.Counters[i], out.Counters[j]
		if a.GetOrganisation() != b.GetOrganisation() {
			return a.GetOrganisation() < b.GetOrganisation()
		}
		return a.GetClass() < b.GetClass()
	})
	return out
}
