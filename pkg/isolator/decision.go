package isolator

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Admit decides whether a request with the given parts may be sent to an engine by one of a
// number of processes. Once a hold has ended, each process may send one probe, at a time of its
// own, until the outcome of one is known.
func (i *Isolator) Admit(now time.Time, process string, processes int, parts []PartID) Admission {
	var probed *knownPart
	for _, id := range parts {
		v := i.Verdicts()[id]
		if !v.isHeld(now) {
			continue
		}
		p := i.parts[id]
		window := time.Duration(max(processes, 1)) * v.probeSpacing()
		probeAt := v.HeldUntil.Add(time.Duration(probeHash(v, process) % uint64(window)))
		isProbed := p.probedUntil.Equal(v.HeldUntil) && now.Before(p.probedAt.Add(window))
		if now.Before(probeAt) || isProbed {
			return Admission{Refused: &v}
		}
		probed = p
		probed.probedUntil = v.HeldUntil
	}
	if probed == nil {
		return Admission{}
	}
	probed.probedAt = now
	return Admission{Probe: true}
}

// probeSpacing returns the mean time between the probes of different processes.
func (v Verdict) probeSpacing() time.Duration {
	if v.doubtful && v.suspicion == 0 {
		return doubtfulSpacing
	}
	return probeSpacing
}

// probeHash spreads the probes of different processes over time.
func probeHash(v Verdict, process string) uint64 {
	key := binary.BigEndian.AppendUint64([]byte(process+"\x00"+string(v.Part)+"\x00"), uint64(v.HeldUntil.UnixNano()))
	return xxhash.Sum64(key)
}

// Suspects reports whether engines ended under one of the parts at several moments, and
// nothing speaks for it since.
func (i *Isolator) Suspects(now time.Time, parts []PartID) bool {
	verdicts := i.Verdicts()
	return slices.ContainsFunc(parts, func(id PartID) bool {
		v := verdicts[id]
		return !v.SuspectedFrom.IsZero() && !now.Before(v.SuspectedFrom)
	})
}

// Held returns the verdicts on the parts that are held at a time, ordered by part, and the
// time from which another one is held if no further evidence comes; zero for none.
func (i *Isolator) Held(now time.Time) (held []Verdict, next time.Time) {
	for _, v := range i.Verdicts() {
		switch {
		case v.isHeld(now):
			held = append(held, v)
		case !v.HeldFrom.IsZero() && (next.IsZero() || v.HeldFrom.Before(next)):
			next = v.HeldFrom
		}
	}
	slices.SortFunc(held, func(a, b Verdict) int { return cmp.Compare(a.Part, b.Part) })
	return held, next
}

func (v Verdict) isHeld(now time.Time) bool { return !v.HeldFrom.IsZero() && !now.Before(v.HeldFrom) }
