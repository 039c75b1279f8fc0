package configurer

import (
	"fmt"
	"strings"
	"time"

	"github.com/comfreybend/comfreybend/schema/state"
)

const (
	// MaxWarmUpRate is the highest rate, in requests a second, that a pool may declare for cold upstreams.
	MaxWarmUpRate = 1e6
	// MaxWarmUp is the longest warm-up that a pool may declare.
	MaxWarmUp = 24 * time.Hour
)

// CheckWarmUps validates what the pools of a configuration say of cold upstreams, before it is proposed:
// releases that do not know these fields accept any. The error is an *InvalidConfigurationError that
// lists all invalid values.
func CheckWarmUps(c *state.Configuration) error {
	e := &InvalidConfigurationError{}
	for i, p := range c.GetPools() {
		w, path := p.GetWarmUp(), fmt.Sprintf("$.pools[%d].warmUp", i)
		// A comparison with what is no number is false.
		if rate := w.GetRate(); !(rate >= 0 && rate <= MaxWarmUpRate) {
			e.addError(path+".rate", "%v requests a second, not 0 to %v", rate, float64(MaxWarmUpRate))
		}
		if d := w.GetDuration(); d != nil && (!d.IsValid() || d.AsDuration() < 0 || d.AsDuration() > MaxWarmUp) {
			e.addError(path+".duration", "%v, not 0s to %v", d.AsDuration(), MaxWarmUp)
		}
		if h := w.GetHealthPath(); h != "" && !strings.HasPrefix(h, "/") {
			e.addError(path+".healthPath", "%q does not begin with /", h)
		}
	}
	if len(e.Errors) > 0 {
		return e
	}
	return nil
}

// CheckOperation is CheckWarmUps for the configuration of an operation, if it has one.
func CheckOperation(o *state.Operation) error {
	if c := o.GetApplyConfiguration(); c != nil {
		return CheckWarmUps(c)
	}
	return CheckWarmUps(o.GetReplace().GetConfiguration())
}
