// Package prober finds out whether an upstream has ended after a connection to it broke.
package prober

import (
	"context"
	"errors"
	"io"
	"net"
	"net/url"
	"sync"
	"syscall"
	"time"

	"github.com/comfreybend/comfreybend/pkg/isolator"
)

const (
	// checkTimeout bounds a check, and checkLifetime is the time for which its result is used.
	checkTimeout  = 300 * time.Millisecond
	checkLifetime = 10 * time.Second
)

type (
	// Prober checks runs of upstreams, each once. It is safe for concurrent use.
	Prober struct {
		now func() time.Duration
		// local is the local address of checks; nil if the system chooses it.
		local net.Addr

		mu     sync.Mutex
		checks map[isolator.RunID]*check
	}

	// check is the check whether a run has ended.
	check struct {
		startedAt time.Duration
		done      chan struct{}
		// ended is valid once done is closed.
		ended bool
	}
)

// New returns a prober. now reads a monotonic clock. The system chooses the local address of checks
// if local is nil.
func New(now func() time.Duration, local net.Addr) *Prober {
	return &Prober{now: now, local: local, checks: map[isolator.RunID]*check{}}
}

// IsBreak reports whether the upstream's side closed or reset a connection.
func IsBreak(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// HasEnded reports whether the upstream with a URL refuses connections. Attempts at the same
// run that break off together share one check.
func (p *Prober) HasEnded(ctx context.Context, run isolator.RunID, address string) bool {
	c := p.check(ctx, run, address)
	select {
	case <-c.done:
		return c.ended
	case <-ctx.Done():
		return false
	}
}

// Ended returns the runs that were found to have ended by checks in the latest time.
func (p *Prober) Ended(within time.Duration) []isolator.RunID {
	p.mu.Lock()
	defer p.mu.Unlock()
	var runs []isolator.RunID
	for id, c := range p.checks {
		select {
		case <-c.done:
			if c.ended && p.now()-c.startedAt <= within {
				runs = append(runs, id)
			}
		default:
		}
	}
	return runs
}

func (p *Prober) check(ctx context.Context, run isolator.RunID, address string) *check {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	for id, c := range p.checks {
		if now-c.startedAt > checkLifetime {
			delete(p.checks, id)
		}
	}
	c := p.checks[run]
	if c == nil {
		c = &check{startedAt: now, done: make(chan struct{})}
		p.checks[run] = c
		// The result is for other attempts too, so the check goes on if this one ends.
		go c.run(context.WithoutCancel(ctx), p.local, address)
	}
	return c
}

func (c *check) run(ctx context.Context, local net.Addr, address string) {
	defer close(c.done)
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	target, err := url.Parse(address)
	if err != nil {
		return
	}
	conn, err := (&net.Dialer{LocalAddr: local}).DialContext(ctx, "tcp", target.Host)
	if err == nil {
		_ = conn.Close()
	}
	c.ended = errors.Is(err, syscall.ECONNREFUSED)
}
