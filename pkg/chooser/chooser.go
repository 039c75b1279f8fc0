// Package chooser chooses which of several sources is asked for the next part of a content that all of
// them have, and when another one is asked as well. One that is slow or silent then delays the whole
// content by little, while copies do not crowd a link that is slow itself.
package chooser

import (
	"cmp"
	"slices"
	"time"
)

type (
	// Config configures a Chooser.
	Config struct {
		// Delay is the time without a reply or progress after which the next source is asked as well, and within
		// which a reply counts as quick. It doubles with each source that is asked for a part. The next
		// part goes on with the doubled delay, unless a copy was quick.
		Delay time.Duration
		// MaxDelay bounds the delay as it grows.
		MaxDelay time.Duration
	}

	// Chooser chooses sources for one part after the other. It is not safe for concurrent use. Times
	// are durations since any fixed moment.
	Chooser[S comparable] struct {
		config Config
		delay  time.Duration
		// sources holds the quick ones first, then those that were never asked, those that were asked for a short
		// time, the slow ones and those that failed.
		sources []*source[S]
		// first is the source that was asked first for the current part, askedAt the time at which the
		// latest one was asked.
		first   *source[S]
		askedAt time.Duration
		// progressAt is the time of the latest progress.
		progressAt time.Duration
	}

	source[S comparable] struct {
		id      S
		state   state
		askedAt time.Duration
		// took is the time of the latest reply, or the time for which there was none.
		took             time.Duration
		replied, faulted bool
	}

	// state is that of a source in the current part.
	state int
)

const (
	idle state = iota
	asked
	failed
)

// The classes of sources, in the order in which they are asked.
const (
	classQuick = iota
	classUnknown
	classWaited
	classSlow
	classFaulted
)

// New returns a chooser of sources, which are given in order of preference.
func New[S comparable](config Config, sources []S) *Chooser[S] {
	c := &Chooser[S]{config: config, delay: config.Delay}
	for _, id := range sources {
		c.sources = append(c.sources, &source[S]{id: id})
	}
	return c
}

// Begin begins a part: no source has been asked for it.
func (c *Chooser[S]) Begin() {
	c.first = nil
	for _, s := range c.sources {
		s.state = idle
	}
	slices.SortStableFunc(c.sources, func(a, b *source[S]) int {
		return cmp.Or(cmp.Compare(c.classOf(a), c.classOf(b)), c.compareSlow(a, b))
	})
}

// Next returns a source to ask now for the current part. ok is false if none is due.
func (c *Chooser[S]) Next(now time.Duration) (id S, ok bool) {
	at, ok := c.DueAt()
	if !ok || now < at {
		return id, false
	}
	s := c.sources[slices.IndexFunc(c.sources, func(s *source[S]) bool { return s.state == idle })]
	if c.any(asked) {
		// If the link is slow, each copy makes it slower.
		c.delay = min(2*c.delay, c.config.MaxDelay)
	}
	s.state, s.askedAt, c.askedAt = asked, now, now
	if c.first == nil {
		c.first = s
	}
	return s.id, true
}

// DueAt returns the time at which the next source is to be asked. ok is false if all have been.
func (c *Chooser[S]) DueAt() (at time.Duration, ok bool) {
	if !c.any(idle) {
		return 0, false
	}
	if !c.any(asked) {
		return c.askedAt, true
	}
	return max(c.askedAt, c.progressAt) + c.delay, true
}

// Progress records that a source is sending the current part fast enough, so that no copy is of use before
// the delay has passed again.
func (c *Chooser[S]) Progress(now time.Duration) { c.progressAt = now }

// Exhausted reports whether all sources have failed to send the current part.
func (c *Chooser[S]) Exhausted() bool { return !c.any(idle) && !c.any(asked) }

// Fail records that a source does not send the current part.
func (c *Chooser[S]) Fail(now time.Duration, id S) {
	if s := c.get(id); s != nil {
		s.state, s.faulted, s.took = failed, true, now-s.askedAt
	}
}

// Reply records that a source has sent the current part, which ends it.
func (c *Chooser[S]) Reply(now time.Duration, id S) {
	winner := c.get(id)
	if winner == nil {
		return
	}
	for _, s := range c.sources {
		if s.state == asked {
			s.took = now - s.askedAt
		}
	}
	winner.replied, winner.faulted = true, false
	if winner != c.first && winner.took <= c.config.Delay {
		c.delay = c.config.Delay
	}
}

func (c *Chooser[S]) classOf(s *source[S]) int {
	switch {
	case s.faulted:
		return classFaulted
	case s.took > c.config.Delay:
		return classSlow
	case s.replied:
		return classQuick
	case s.took > 0:
		return classWaited
	default:
		return classUnknown
	}
}

// compareSlow orders slow sources by their times; others keep their order.
func (c *Chooser[S]) compareSlow(a, b *source[S]) int {
	if c.classOf(a) != classSlow {
		return 0
	}
	return cmp.Compare(a.took, b.took)
}

func (c *Chooser[S]) any(in state) bool {
	return slices.ContainsFunc(c.sources, func(s *source[S]) bool { return s.state == in })
}

func (c *Chooser[S]) get(id S) *source[S] {
	i := slices.IndexFunc(c.sources, func(s *source[S]) bool { return s.id == id })
	if i < 0 {
		return nil
	}
	return c.sources[i]
}
