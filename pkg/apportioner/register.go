package apportioner

import (
	"math"
	"strconv"
	"strings"
	"time"
)

const (
	// minLimit replaces lower limits: one request in twenty seconds over all hosts shows whether the
	// upstream still names a limit.
	minLimit Rate = 0.05
	// maxLimit replaces higher limits.
	maxLimit Rate = 1e6
	// defaultLimit replaces a limit that is no number.
	defaultLimit Rate = 1
	// refreshInterval is the time after which the same limit, named again, is a new statement.
	refreshInterval = 5 * time.Minute
	// statementLifetime is the time after which a statement that was not renewed is forgotten.
	statementLifetime = time.Hour
	// maxStatements bounds the statements; the earliest is dropped.
	maxStatements = 4096
)

type (
	// Rate is a number of requests a second.
	Rate float64

	// Position numbers the changes of a Register.
	Position uint64

	// Statement is what an upstream has said of its limit.
	Statement struct {
		Upstream Upstream
		// Named reports that the upstream names the limit; otherwise its limit has ended.
		Named bool
		Limit Rate
		// At orders statements: when the response that names a limit arrived, or when the
		// request was sent whose response names none or a higher one.
		At time.Time
	}

	// Observation is what one response says of the limit of an upstream.
	Observation struct {
		Upstream Upstream
		Named    bool
		Limit    Rate
		// SentAt is when the request was sent, ReceivedAt when its response arrived.
		SentAt, ReceivedAt time.Time
	}

	// Register holds the latest statement of each upstream. It is not safe for concurrent use.
	Register struct {
		statements map[Upstream]*knownStatement
		position   Position
	}

	knownStatement struct {
		Statement
		position Position
		// observed reports that a response to this host made the statement.
		observed bool
		// ended is the limit before the statement that it has ended.
		ended Rate
	}
)

// NewRegister returns a register without statements.
func NewRegister() *Register { return &Register{statements: map[Upstream]*knownStatement{}} }

// ParseLimit parses the limit in a response: a number of requests a second, or several separated
// by commas, of which the lowest counts. The limit is bounded, so that some requests are always
// sent. The second result is false if a number cannot be used as it is.
func ParseLimit(text string) (Rate, bool) {
	lowest, usable := maxLimit, true
	for _, field := range strings.Split(text, ",") {
		limit, err := strconv.ParseFloat(strings.TrimSpace(field), 64)
		switch {
		case math.IsNaN(limit), err != nil && !math.IsInf(limit, 0):
			limit, usable = float64(defaultLimit), false
		case limit < 0, limit > float64(maxLimit):
			usable = false
		}
		lowest = min(lowest, Rate(limit))
	}
	return max(lowest, minLimit), usable
}

// Observe records what a response says, and reports whether that changes the limit. A response
// that names no limit, or a higher one, is ignored unless its request was sent after the latest
// statement: it may be older than that.
func (r *Register) Observe(o Observation) bool {
	known := r.statements[o.Upstream]
	if known != nil && isAhead(known.At, o.ReceivedAt) {
		// The clock was wrong then.
		delete(r.statements, o.Upstream)
		known = nil
	}
	if known == nil && !o.Named {
		return false
	}
	s := Statement{Upstream: o.Upstream, Named: o.Named, Limit: o.Limit, At: o.ReceivedAt}
	if known != nil && known.Named && (!o.Named || o.Limit > known.Limit) {
		s.At = o.SentAt
	}
	if known != nil && !known.Named && !o.Named {
		known.observed = true
		return false
	}
	same := known != nil && known.Named == s.Named && known.Limit == s.Limit
	if same && s.At.Sub(known.At) < refreshInterval {
		return false
	}
	if !r.merge(s) {
		return false
	}
	r.statements[o.Upstream].observed = true
	return !same
}

// Merge adds a statement that another host has heard, and reports whether it is new.
func (r *Register) Merge(now time.Time, s Statement) bool {
	return !isAhead(s.At, now) && r.merge(s)
}

// isAhead reports whether a time is so far in the future that the clock it was read from was wrong.
func isAhead(at, now time.Time) bool { return at.Sub(now) > maxClockStep }

func (r *Register) merge(s Statement) bool {
	s.At = s.At.Truncate(time.Millisecond)
	known := r.statements[s.Upstream]
	if known != nil && !s.replaces(&known.Statement) {
		return false
	}
	r.position++
	next := &knownStatement{Statement: s, position: r.position}
	if !s.Named && known != nil {
		next.ended, next.observed = max(known.Limit, known.ended), known.observed && !known.Named
	}
	r.statements[s.Upstream] = next
	r.expire(s.At)
	return true
}

// replaces reports whether a statement is later than another one. Of two at the same time the
// one that allows less holds.
func (s *Statement) replaces(other *Statement) bool {
	if !s.At.Equal(other.At) {
		return s.At.After(other.At)
	}
	if s.Named != other.Named {
		return s.Named
	}
	return s.Named && s.Limit < other.Limit
}

// expire forgets statements that are too old, and the earliest if there are too many.
func (r *Register) expire(now time.Time) {
	var earliest *knownStatement
	for u, s := range r.statements {
		if now.Sub(s.At) > statementLifetime {
			delete(r.statements, u)
		} else if earliest == nil || s.At.Before(earliest.At) {
			earliest = s
		}
	}
	if len(r.statements) > maxStatements {
		delete(r.statements, earliest.Upstream)
	}
}

// Position returns the position of the latest change.
func (r *Register) Position() Position { return r.position }

// Since returns the statements that changed after a position, and the position reached.
func (r *Register) Since(after Position) ([]Statement, Position) {
	return r.since(after, false)
}

// ObservedSince is Since without the statements that only other hosts have heard.
func (r *Register) ObservedSince(after Position) ([]Statement, Position) {
	return r.since(after, true)
}

func (r *Register) since(after Position, observed bool) ([]Statement, Position) {
	var out []Statement
	for _, s := range r.statements {
		if s.position > after && (s.observed || !observed) {
			out = append(out, s.Statement)
		}
	}
	return out, r.position
}
