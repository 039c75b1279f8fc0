package picker

import "time"

const (
	// maxPrefillShare is the part of the shortest time limit that the reading of an
	// engine's requests may take, and leastReading that for the least urgent
	// ones. The rest is for their answers, and for what other processes begin
	// before it is known here.
	maxPrefillShare  = 0.4
	minPrefillShare = 0.3
	// idlePrefillWeight is the weight of reading a prompt, which delays every request
	// beside it, against waiting for others to be read, and fullWeight the same
	// while the engines have begun all that they may: what is read again then
	// keeps others out.
	idlePrefillWeight = 4
	fullPrefillWeight = 16
	// spareUtilization is the fullness up to which no request is refused for the sake of
	// the engines that hold its parts: others read them.
	spareUtilization = 0.5
)

// AdmissionDelay returns how long a request has to wait until an engine takes it, zero if
// one takes it now.
//
// It answers the pattern of more prompts than the engines can read: every
// prompt that an engine reads holds up all answers in progress there, so that
// with more and more of them none ends in time, and what was read was read in
// vain. So an engine takes no more than can be read in a part of the time in
// which the answers are due.
func (p *Placer) AdmissionDelay(now time.Duration, r PromptRequest, engines []Engine) time.Duration {
	chosen, unread := p.Pick(now, r, engines)
	if chosen < 0 {
		return 0
	}
	return p.prefillExcess(&engines[chosen], unread, p.prefillBudget(r))
}

// prefillExcess returns how much longer than allowed an engine would read for
// its requests and one more. One that is idle takes a prompt of any size.
func (p *Placer) prefillExcess(e *Engine, unread float64, allowed time.Duration) time.Duration {
	if allowed <= 0 || e.UncachedTokens == 0 {
		return 0
	}
	seconds := (e.UncachedTokens + unread) / p.prefillRate
	return max(0, time.Duration(seconds*float64(time.Second))-allowed)
}

// prefillBudget returns the time that an engine may have to read for its
// requests in progress, a new one of this rank included.
func (p *Placer) prefillBudget(r PromptRequest) time.Duration {
	shortest := r.TimeLimit
	for _, c := range p.classes {
		if c.meanTimeLimit > 0 {
			shortest = min(shortest, c.meanTimeLimit)
		}
	}
	part := maxPrefillShare
	if r.Ranks > 1 {
		part -= (maxPrefillShare - minPrefillShare) * float64(min(r.Rank, r.Ranks-1)) / float64(r.Ranks-1)
	}
	return time.Duration(part * float64(shortest))
}

// prefillUtilization returns how much of what the engines of the request's group may
// read they have begun, from 0 to 1.
func (p *Placer) prefillUtilization(engines []Engine, light []bool, wanted bool, allowed time.Duration) float64 {
	most := p.prefillRate * allowed.Seconds()
	if most <= 0 {
		return 0
	}
	begun, count := 0.0, 0.0
	for i := range engines {
		if light != nil && light[i] != wanted {
			continue
		}
		begun += min(engines[i].UncachedTokens, most)
		count++
	}
	return begun / max(1, count) / most
}
