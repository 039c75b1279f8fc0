package router

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/comfreybend/comfreybend/internal/configurer"
)

// metrics holds the metrics of an entry process.
type metrics struct {
	scope        tally.Scope
	revision     tally.Gauge
	syncFailures tally.Counter
	// configurationBytes counts the bytes of all replies with a configuration, also of those
	// that arrive a second time.
	configurationBytes tally.Counter
	heldParts          tally.Gauge
	evacuatedDomains   tally.Gauge
	// heldCold counts the requests that a cold upstream did not get.
	heldCold       tally.Counter
	retries        tally.Counter
	resumedStreams tally.Counter
	// silentConnections counts the connections that watchSilence abandoned.
	silentConnections tally.Counter
	// mismatchedResponses counts responses that carry the id of another attempt.
	mismatchedResponses tally.Counter
}

func newMetrics(scope tally.Scope) *metrics {
	return &metrics{
		scope:               scope,
		revision:            scope.Gauge("configuration_revision"),
		syncFailures:        scope.Counter("configuration_sync_failures"),
		configurationBytes:  scope.Counter("configuration_bytes"),
		evacuatedDomains:    scope.Gauge("evacuated_domains"),
		heldParts:           scope.Gauge("prompt_parts_held"),
		heldCold:            scope.Counter("requests_held_cold"),
		retries:             scope.Counter("attempts_retried"),
		resumedStreams:      scope.Counter("streams_resumed"),
		silentConnections:   scope.Counter("connections_silent"),
		mismatchedResponses: scope.Counter("answers_crossed"),
	}
}

func (m *metrics) refused(code string) {
	m.scope.Tagged(map[string]string{"code": code}).Counter("requests_refused").Inc(1)
}

// answered counts a call for which an upstream has sent usable response headers, and
// records the time from the arrival of the call until then.
func (m *metrics) answered(class configurer.ClassName, sinceArrival time.Duration) {
	tagged := m.scope.Tagged(map[string]string{"class": string(class)})
	tagged.Counter("requests_answered").Inc(1)
	tagged.Timer("first_byte").Record(sinceArrival)
}

// speedSpread sets the ratio of the highest to the lowest speed of the upstreams of a pool.
func (m *metrics) speedSpread(pool poolKey, ratio float64) {
	m.scope.Tagged(map[string]string{"kind": string(pool.kind), "serves": pool.name}).
		Gauge("upstream_speed_spread").Update(ratio)
}

func (m *metrics) waiting(pool poolKey, count int) {
	m.scope.Tagged(map[string]string{"kind": string(pool.kind), "serves": pool.name}).
		Gauge("requests_waiting").Update(float64(count))
}
