package registrar

import (
	"testing"
	"time"
)

const lease = 5 * time.Second

func announcement(incarnation Incarnation, sequence Sequence, state State, announcedAt time.Duration) Upstream {
	return Upstream{
		ID: "u", Incarnation: incarnation, Sequence: sequence, Kind: KindModel, Serves: []string{"m"},
		State: state, AnnouncedAt: announcedAt,
	}
}

func TestAnnouncements(t *testing.T) {
	tests := map[string]struct {
		announcements []Upstream
		serving       bool
	}{
		"serving":                                             {announcements: []Upstream{announcement(1, 1, Serving, 0)}, serving: true},
		"leaving":                                             {announcements: []Upstream{announcement(1, 1, Serving, 0), announcement(1, 2, Leaving, 0)}},
		"leaving after a later announcement":                  {announcements: []Upstream{announcement(1, 9, Serving, 0), announcement(1, 2, Leaving, 0)}},
		"leaving of an earlier incarnation":                   {announcements: []Upstream{announcement(2, 1, Serving, 0), announcement(1, 9, Leaving, 0)}, serving: true},
		"older announcement after leaving":                    {announcements: []Upstream{announcement(1, 2, Leaving, 0), announcement(1, 1, Serving, 0)}},
		"later announcement after leaving":                    {announcements: []Upstream{announcement(1, 2, Leaving, 0), announcement(1, 3, Serving, 0)}},
		"new incarnation after leaving":                       {announcements: []Upstream{announcement(1, 2, Leaving, 0), announcement(2, 1, Serving, 0)}, serving: true},
		"announcement of an earlier incarnation arrives late": {announcements: []Upstream{announcement(2, 1, Leaving, 0), announcement(1, 9, Serving, 0)}},
		"announced too long ago":                              {announcements: []Upstream{announcement(1, 1, Serving, -lease)}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := New(lease)
			for _, a := range test.announcements {
				r.Announce(0, a)
			}
			u := r.Get("u")
			if serving := u != nil && u.CanServe(KindModel, "m"); serving != test.serving {
				t.Errorf("CanServe is %t, want %t", serving, test.serving)
			}
		})
	}
}

// TestServingFollowsAnnouncements checks that announcements and expiry invalidate the
// cached results of Serving.
func TestServingFollowsAnnouncements(t *testing.T) {
	r := New(lease)
	count := func(name string) int { return len(r.Serving(KindModel, name)) }
	counts := []int{count("m")}
	r.Announce(0, announcement(1, 1, Serving, 0))
	counts = append(counts, count("m"))
	servesOther := announcement(1, 2, Serving, 0)
	servesOther.Serves = []string{"other"}
	r.Announce(0, servesOther)
	counts = append(counts, count("m"), count("other"))
	r.Announce(0, announcement(2, 1, Leaving, 0))
	counts = append(counts, count("m"), count("other"))
	r.Announce(0, announcement(3, 1, Serving, 0))
	counts = append(counts, count("m"))
	r.Expire(lease)
	counts = append(counts, count("m"))
	for i, want := range []int{0, 1, 0, 1, 0, 0, 1, 0} {
		if counts[i] != want {
			t.Fatalf("numbers of serving upstreams are %v, want %d at position %d", counts, want, i)
		}
	}
}

func TestLeaseExpires(t *testing.T) {
	r := New(lease)
	r.Announce(0, announcement(1, 1, Serving, 0))
	if expired := r.Expire(lease - 1); len(expired) != 0 {
		t.Error("the upstream was removed before its lease ended")
	}
	if expired := r.Expire(lease); len(expired) != 1 || r.Get("u") != nil {
		t.Error("the upstream was not removed when its lease ended")
	}
}

// TestWithdraw checks that a withdrawn upstream serves nothing for the rest of its
// incarnation, and that a withdrawal of an earlier incarnation has no effect.
func TestWithdraw(t *testing.T) {
	tests := map[string]struct {
		withdrawn Incarnation
		later     *Upstream
		accepted  bool
		serving   bool
	}{
		"current incarnation":       {withdrawn: 2, accepted: true},
		"any incarnation":           {withdrawn: 0, accepted: true},
		"earlier incarnation":       {withdrawn: 1, serving: true},
		"announced again":           {withdrawn: 2, accepted: true, later: &Upstream{Incarnation: 2, Sequence: 9}},
		"announced by a later life": {withdrawn: 2, accepted: true, later: &Upstream{Incarnation: 3, Sequence: 1}, serving: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := New(lease)
			r.Announce(0, announcement(2, 4, Serving, 0))
			u, accepted := r.Withdraw(time.Second, "u", test.withdrawn)
			if accepted != test.accepted || accepted && (u.State != Leaving || u.Sequence != 5 || u.AnnouncedAt != time.Second) {
				t.Errorf("withdrawal returns %+v, %t; want a leaving one with sequence 5: %t", u, accepted, test.accepted)
			}
			if test.later != nil {
				r.Announce(time.Second, announcement(test.later.Incarnation, test.later.Sequence, Serving, time.Second))
			}
			if serving := r.Get("u").CanServe(KindModel, "m"); serving != test.serving {
				t.Errorf("CanServe is %t, want %t", serving, test.serving)
			}
		})
	}
	if _, accepted := New(lease).Withdraw(0, "u", 0); accepted {
		t.Error("an unknown upstream was withdrawn")
	}
}

// TestExclusiveURLs checks what happens to an upstream whose URL another one announces.
// One that has moved to another URL before, in the same or in a later incarnation, must
// keep serving there.
func TestExclusiveURLs(t *testing.T) {
	at := func(incarnation Incarnation, sequence Sequence, url string) Upstream {
		a := announcement(incarnation, sequence, Serving, 0)
		a.URL = url
		return a
	}
	tests := map[string]struct {
		announcements []Upstream
		serving       bool
	}{
		"still there":                      {announcements: []Upstream{at(1, 1, "x")}},
		"moved":                            {announcements: []Upstream{at(1, 1, "x"), at(1, 2, "y")}, serving: true},
		"started again elsewhere":          {announcements: []Upstream{at(1, 1, "x"), at(2, 1, "y")}, serving: true},
		"moved and came back":              {announcements: []Upstream{at(1, 1, "x"), at(1, 2, "y"), at(1, 3, "x")}},
		"later incarnation than the taker": {announcements: []Upstream{at(9, 1, "x")}, serving: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := NewExclusive(lease)
			for _, a := range test.announcements {
				r.Announce(0, a)
			}
			taker := at(5, 1, "x")
			taker.ID = "taker"
			if accepted := r.Announce(0, taker); accepted != (name != "later incarnation than the taker") {
				t.Errorf("the announcement of the taker is accepted: %t", accepted)
			}
			if serving := r.Get("u").CanServe(KindModel, "m"); serving != test.serving {
				t.Errorf("CanServe is %t, want %t", serving, test.serving)
			}
		})
	}
}

// TestEquivalence checks which announcements count as a change for other processes.
func TestEquivalence(t *testing.T) {
	const now = time.Minute
	first := announcement(1, 1, Serving, now)
	first.WarmUpEndsAt = now // as of an upstream that is not warming up
	tests := map[string]struct {
		change     func(*Upstream)
		equivalent bool
	}{
		"announced again":          {change: func(u *Upstream) { u.AnnouncedAt += 2 * time.Second; u.WarmUpEndsAt = u.AnnouncedAt }, equivalent: true},
		"without a warm-up":        {change: func(u *Upstream) { u.AnnouncedAt += 2 * time.Second; u.WarmUpEndsAt = 0 }, equivalent: true},
		"load":                     {change: func(u *Upstream) { u.Load.Running = 9 }, equivalent: true},
		"warm-up ends a bit later": {change: func(u *Upstream) { u.WarmUpEndsAt += maxWarmUpDrift / 2 }, equivalent: true},
		"warming up":               {change: func(u *Upstream) { u.WarmUpEndsAt += 10 * time.Second }},
		"slots":                    {change: func(u *Upstream) { u.Load.Slots = 9 }},
		"leaving":                  {change: func(u *Upstream) { u.State = Leaving }},
		"moved":                    {change: func(u *Upstream) { u.URL = "http://elsewhere" }},
		"serves another model":     {change: func(u *Upstream) { u.Serves = []string{"other"} }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			next := first
			next.Sequence++
			test.change(&next)
			if first.EquivalentTo(&next) != test.equivalent || next.EquivalentTo(&first) != test.equivalent {
				t.Errorf("equivalent: %t and %t, want %t", first.EquivalentTo(&next), next.EquivalentTo(&first), test.equivalent)
			}
		})
	}
}

// TestOutdated guards against an upstream that goes on for the version that it had, and against one
// that is given up because of a late announcement or of an address that it has left.
func TestOutdated(t *testing.T) {
	known := Upstream{ID: "u", Incarnation: 5, Sequence: 1, URL: "http://a", Kind: KindModel, Serves: []string{"m"}, State: Serving, Version: "v1"}
	moved := known
	moved.Sequence, moved.URL = 2, "http://b"
	left := known
	left.Sequence, left.State = 2, Leaving
	tests := map[string]struct {
		known     []Upstream
		announced Upstream
		outdated  int
	}{
		"a later run":                        {known: []Upstream{known}, announced: Upstream{ID: "u", Incarnation: 6, URL: "http://a", Version: "v2"}, outdated: 1},
		"a later run at another URL":         {known: []Upstream{known}, announced: Upstream{ID: "u", Incarnation: 6, URL: "http://c", Version: "v2"}, outdated: 1},
		"a later run without a version":      {known: []Upstream{known}, announced: Upstream{ID: "u", Incarnation: 6, URL: "http://a"}, outdated: 1},
		"a later run of the same version":    {known: []Upstream{known}, announced: Upstream{ID: "u", Incarnation: 6, URL: "http://a", Version: "v1"}},
		"an earlier run":                     {known: []Upstream{known}, announced: Upstream{ID: "u", Incarnation: 4, URL: "http://a", Version: "v2"}},
		"the same run":                       {known: []Upstream{known}, announced: Upstream{ID: "u", Incarnation: 5, URL: "http://a", Version: "v2"}},
		"another upstream at the URL":        {known: []Upstream{known}, announced: Upstream{ID: "w", Incarnation: 6, URL: "http://a", Version: "v2"}, outdated: 1},
		"an earlier upstream at the URL":     {known: []Upstream{known}, announced: Upstream{ID: "w", Incarnation: 4, URL: "http://a", Version: "v2"}},
		"another one at a URL that was left": {known: []Upstream{known, moved}, announced: Upstream{ID: "w", Incarnation: 6, URL: "http://a", Version: "v2"}},
		"one that is leaving":                {known: []Upstream{known, left}, announced: Upstream{ID: "u", Incarnation: 6, URL: "http://a", Version: "v2"}},
		"one that is not known":              {announced: Upstream{ID: "u", Incarnation: 6, URL: "http://a", Version: "v2"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := NewExclusive(lease)
			for _, u := range test.known {
				r.Announce(0, u)
			}
			if got := r.Outdated(&test.announced); len(got) != test.outdated {
				t.Errorf("%d upstreams are outdated, want %d", len(got), test.outdated)
			}
		})
	}
}
