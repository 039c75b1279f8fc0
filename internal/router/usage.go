package router

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

	// usageCounters holds the cumulative usage counters of this incarnation of the process,
	// by organisation and class.
	usageCounters struct {
		mu       sync.Mutex
		counters map[usageKey]*state.UsageCounter
	}
)

func newUsageCounters() *usageCounters {
	return &usageCounters{counters: map[usageKey]*state.UsageCounter{}}
}

// add counts one call and its tokens.
func (u *usageCounters) add(client identity, class configurer.ClassName, in, out TokenCount) {
	u.mu.Lock()
	defer u.mu.Unlock()
	key := usageKey{organisation: client.organisation, class: class}
	c := u.counters[key]
	if c == nil {
		c = &state.UsageCounter{Organisation: string(client.organisation), Class: string(class)}
		u.counters[key] = c
	}
	c.Calls++
	c.TokensIn += uint64(in)
	c.TokensOut += uint64(out)
}

// snapshot returns a copy of the counters for a push to the control processes.
func (u *usageCounters) snapshot(host, incarnation string, final bool) *state.Usage {
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
