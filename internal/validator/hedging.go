package validator

import (
	"fmt"
	"time"

	"github.com/comfreybend/comfreybend/schema/settings"
)

const (
	defaultHedgingQuantile = 0.95
	minHedgingQuantile     = 0.5
	maxHedgingQuantile     = 0.999
	defaultHedgingDelay    = 5 * time.Millisecond
)

func setHedgingDefaults(h *settings.Hedging) {
	if h == nil {
		return
	}
	if h.Quantile == 0 {
		h.Quantile = defaultHedgingQuantile
	}
	setDefaultDuration(&h.MinimumDelay, defaultHedgingDelay)
}

func checkHedging(c *collector, h *settings.Hedging) {
	if h == nil {
		return
	}
	c.checkFraction("$.entry.hedging.ratio", h.GetRatio(), 0, 1)
	c.checkFraction("$.entry.hedging.quantile", h.GetQuantile(), minHedgingQuantile, maxHedgingQuantile)
	c.checkDuration("$.entry.hedging.minimumDelay", h.GetMinimumDelay(), time.Millisecond, time.Minute)
}

// checkFraction also rejects NaN, which JSON settings can hold as a string and which no comparison is true for.
func (c *collector) checkFraction(path string, value, low, high float64) {
	if !(value >= low && value <= high) {
		c.add(path, fmt.Sprintf("%v is out of range", value), fmt.Sprintf("%v to %v", low, high))
	}
}
