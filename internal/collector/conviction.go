package collector

import (
	"go.uber.org/zap"

	"github.com/comfreybend/comfreybend/pkg/isolator"
)

// Conviction is the verdict on a part that is held, and its grounds.
type Conviction struct {
	isolator.Verdict
	isolator.Grounds
}

// Fields returns the fields of a log line about the conviction.
func (c Conviction) Fields() []zap.Field {
	fields := []zap.Field{
		zap.String("part", string(c.Part)), zap.Int("instants", c.Instants),
		zap.Time("firstEnd", c.FirstEnd), zap.Time("lastEnd", c.LastEnd), zap.Time("heldUntil", c.HeldUntil),
		zap.Int("ends", c.Ends), zap.Int("otherEnds", c.OtherEnds), zap.Int("attemptsHere", c.Attempts),
		zap.Any("beside", c.Beside),
	}
	if !c.Responded.IsZero() {
		fields = append(fields, zap.Time("lastResponse", c.Responded))
	}
	return fields
}
