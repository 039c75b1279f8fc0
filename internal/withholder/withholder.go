// Package withholder describes requests that are kept away from upstreams: in log lines, and as errors of
// those that are refused or cancelled.
package withholder

import (
	"time"

	"go.uber.org/zap"

	"github.com/comfreybend/comfreybend/internal/identifier"
	"github.com/comfreybend/comfreybend/pkg/isolator"
)

type (
	// Conviction is the verdict on a part that is held, and its grounds.
	Conviction struct {
		isolator.Verdict
		isolator.Grounds
	}

	// HeldError reports a request that is held or whose prompt has a held part.
	HeldError struct {
		Part isolator.PartID
		// RetryAfter is zero if it is certain that the part crashes upstreams.
		RetryAfter time.Duration
	}
)

// NewHeldError returns the error of a request that is held because of a verdict.
func NewHeldError(v isolator.Verdict, now time.Time) *HeldError {
	return &HeldError{Part: v.Part, RetryAfter: v.RetryAfter(now)}
}

// IsRequest reports whether the request as a whole is held, not a part of its prompt.
func (e *HeldError) IsRequest() bool { return identifier.IsIdentity(e.Part) }

// Error implements error.
func (e *HeldError) Error() string {
	what := "prompt part " + string(e.Part) + " "
	if e.IsRequest() {
		what = "the request "
	}
	if e.RetryAfter > 0 {
		return what + "may crash upstreams"
	}
	return what + "crashes upstreams"
}

// Fields returns the fields of a log line about the conviction.
func (c Conviction) Fields() []zap.Field {
	fields := []zap.Field{
		zap.String("part", string(c.Part)), zap.Int("instants", c.Instants),
		zap.Time("firstEnd", c.FirstEnd), zap.Time("lastEnd", c.LastEnd), zap.Time("heldUntil", c.HeldUntil),
		zap.Bool("certain", c.Certain), zap.Int("ends", c.Ends), zap.Int("otherEnds", c.OtherEnds), zap.Int("attemptsHere", c.Attempts),
		zap.Any("beside", c.Beside),
	}
	if !c.Responded.IsZero() {
		fields = append(fields, zap.Time("lastResponse", c.Responded))
	}
	return fields
}
