package diverter

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// TestChoose guards against a request that is passed to a host that cannot serve it, or out of the
// failure domain without need.
func TestChoose(t *testing.T) {
	self := Host{ID: "self", FailureDomain: "near", Address: "self:1", CutOff: true}
	near := func(id HostID) Host { return Host{ID: id, FailureDomain: "near", Address: string(id) + ":1"} }
	far := func(id HostID) Host { return Host{ID: id, FailureDomain: "far", Address: string(id) + ":1"} }
	with := func(h Host, change func(h *Host)) Host {
		change(&h)
		return h
	}
	cut := func(h *Host) { h.CutOff = true }
	tests := map[string]struct {
		hosts      []Host
		inProgress map[HostID]int
		// want holds the hosts that may be chosen, all of which must be in many choices.
		want []HostID
	}{
		"nothing is known":              {},
		"only itself":                   {hosts: []Host{self, with(self, func(h *Host) { h.CutOff = false })}},
		"one other":                     {hosts: []Host{self, near("a")}, want: []HostID{"a"}},
		"the only other is cut off":     {hosts: []Host{with(near("a"), cut)}},
		"all are cut off":               {hosts: []Host{with(near("a"), cut), with(far("b"), cut)}},
		"two near, enough room":         {hosts: []Host{near("a"), near("b"), far("c")}, want: []HostID{"a", "b"}},
		"one near carries half a host":  {hosts: []Host{near("a"), far("c"), far("d")}, want: []HostID{"a", "c", "d"}},
		"no other is near":              {hosts: []Host{far("c"), far("d")}, want: []HostID{"c", "d"}},
		"all others near are cut off":   {hosts: []Host{with(near("a"), cut), with(near("b"), cut), far("c")}, want: []HostID{"c"}},
		"half of the others are":        {hosts: []Host{with(near("a"), cut), near("b"), far("c")}, want: []HostID{"b", "c"}},
		"most far ones are cut off":     {hosts: []Host{near("a"), near("b"), far("c"), with(far("d"), cut), with(far("e"), cut), with(far("f"), cut)}, want: []HostID{"a", "b"}},
		"far ones are cut off":          {hosts: []Host{near("a"), with(far("c"), cut)}, want: []HostID{"a"}},
		"no address":                    {hosts: []Host{with(near("a"), func(h *Host) { h.Address = "" }), far("c")}, want: []HostID{"c"}},
		"too old":                       {hosts: []Host{with(near("a"), func(h *Host) { h.Age = maxAge + 1 }), far("c")}, want: []HostID{"c"}},
		"old enough":                    {hosts: []Host{with(near("a"), func(h *Host) { h.Age = maxAge }), near("b")}, want: []HostID{"a", "b"}},
		"all are too old":               {hosts: []Host{with(near("a"), func(h *Host) { h.Age = time.Minute })}},
		"old news of a cut counts less": {hosts: []Host{with(near("a"), func(h *Host) { h.CutOff, h.Age = true, time.Minute }), near("b"), near("d"), far("c")}, want: []HostID{"b", "d"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(7, 7))
			chosen := map[HostID]int{}
			for range 400 {
				if h, found := Choose(self, test.hosts, test.inProgress, random.IntN); found {
					chosen[h.ID]++
				}
			}
			if len(chosen) != len(test.want) {
				t.Errorf("chosen %v, want %v", chosen, test.want)
			}
			for _, id := range test.want {
				if chosen[id] == 0 {
					t.Errorf("chosen %v, want %v", chosen, test.want)
				}
			}
		})
	}
}

// TestChooseByLoad guards against a host that has many requests, or was passed many by this one, and is
// chosen as often as the others.
func TestChooseByLoad(t *testing.T) {
	tests := map[string]struct {
		requests   int
		inProgress map[HostID]int
	}{
		"requests of its own":          {requests: 9},
		"requests that were passed on": {inProgress: map[HostID]int{"loaded": 9}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(7, 7))
			hosts := []Host{{ID: "loaded", Address: "a", Requests: test.requests}, {ID: "idle-1", Address: "b"}, {ID: "idle-2", Address: "c"}}
			loaded := 0
			const choices = 900
			for range choices {
				if h, _ := Choose(Host{ID: "self"}, hosts, test.inProgress, random.IntN); h.ID == "loaded" {
					loaded++
				}
			}
			// It is chosen only if both random ones are the same, once in nine choices.
			if loaded < choices/18 || loaded > choices/6 {
				t.Errorf("chosen %d times of %d, want about a ninth", loaded, choices)
			}
		})
	}
}

// TestOutside guards against a next try in the failure domain where the last one found a host cut off,
// while there are others, and against none at all where there are no others.
func TestOutside(t *testing.T) {
	hosts := []Host{{ID: "a", FailureDomain: "near", Address: "a"}, {ID: "b", FailureDomain: "far", Address: "b"}}
	tests := map[string]struct {
		change func(h *Host)
		want   int
	}{
		"another domain":                 {change: func(*Host) {}, want: 1},
		"the other one is cut off":       {change: func(h *Host) { h.CutOff = true }, want: 2},
		"the other one takes none":       {change: func(h *Host) { h.Address = "" }, want: 2},
		"the other one has been silent":  {change: func(h *Host) { h.Age = time.Minute }, want: 2},
		"the other one is in the domain": {change: func(h *Host) { h.FailureDomain = "near" }, want: 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			changed := []Host{hosts[0], hosts[1]}
			test.change(&changed[1])
			if got := Outside("near", changed); len(got) != test.want || got[len(got)-1].ID != "b" {
				t.Errorf("hosts %v, want %d", got, test.want)
			}
		})
	}
}

func ExampleChoose() {
	self := Host{ID: "entry-1", FailureDomain: "domain-1"}
	hosts := []Host{
		{ID: "entry-2", FailureDomain: "domain-1", Address: "10.0.0.2:7000", CutOff: true},
		{ID: "entry-3", FailureDomain: "domain-2", Address: "10.0.0.3:7000", Requests: 3},
		{ID: "entry-4", FailureDomain: "domain-2", Address: "10.0.0.4:7000", Age: time.Minute},
	}
	host, found := Choose(self, hosts, nil, rand.IntN)
	fmt.Println(host.ID, found)
	_, found = Choose(self, hosts[:1], nil, rand.IntN)
	fmt.Println(found)
	// Output:
	// entry-3 true
	// false
}
