package picker

import "time"

const (
	// mostReading is the part of the shortest time limit that the reading of an
	// engine's requests may take, and leastReading that for the least urgent
	// ones. The rest is for their answers, and for what other processes begin
	// before it is known here.
	mostReading  = 0.4
	leastReading = 0.3
	// idleWeight is the weight of reading a prompt, which delays every request
	// beside it, against waiting for others to be read, and fullWeight the same
	// while the engines have begun all that they may: what is read again then
	// keeps others out.
	idleWeight = 4
	fullWeight = 16
	// roomy is the fullness up to which no request is refused for the sake of
	// the engines that hold its parts: others read them.
	roomy = 0.5
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
	return p.overcommitment(&engines[chosen], unread, p.allowedReading(r))
}

// overcommitment returns how much longer than allowed an engine would read for
// its requests and one more. One that is idle takes a prompt of any size.
func (p *Placer) overcommitment(e *Engine, unread float64, allowed time.Duration) time.Duration {
	if allowed <= 0 || e.UncachedTokens == 0 {
		return 0
	}
	seconds := (e.UncachedTokens + unread) / p.rate
	return max(0, time.Duration(seconds*float64(time.Second))-allowed)
}

// allowedReading returns the time that an engine may have to read for its
// requests in progress, a new one of this rank included.
func (p *Placer) allowedReading(r PromptRequest) time.Duration {
	shortest := r.TimeLimit
	for _, c := range p.classes {
		if c.limit > 0 {
			shortest = min(shortest, c.limit)
		}
	}
	part := mostReading
	if r.Ranks > 1 {
		part -= (mostReading - leastReading) * float64(min(r.Rank, r.Ranks-1)) / float64(r.Ranks-1)
	}
	return time.Duration(part * float64(shortest))
}

// fullness returns how much of what the engines of the request's group may
// read they have begun, from 0 to 1.
func (p *Placer) fullness(engines []Engine, light []bool, wanted bool, allowed time.Duration) float64 {
	most := p.rate * allowed.Seconds()
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
