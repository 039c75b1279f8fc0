// Package measurer holds the metrics of an entry process. It owns their names and tags. It decides nothing and
// may not call the router.
package measurer

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/comfreybend/comfreybend/internal/configurer"
	"github.com/comfreybend/comfreybend/pkg/registrar"
)

// Metrics holds the metrics of an entry process.
type Metrics struct {
	Scope        tally.Scope
	Revision     tally.Gauge
	SyncFailures tally.Counter
	// ConfigurationBytes counts the bytes of all replies with a configuration, also of those
	// that arrive a second time.
	ConfigurationBytes tally.Counter
	HeldParts          tally.Gauge
	EvacuatedDomains   tally.Gauge
	// HeldCold counts the requests that a cold upstream did not get.
	HeldCold       tally.Counter
	Retries        tally.Counter
	ResumedStreams tally.Counter
	// SilentConnections counts the connections that were abandoned because nothing arrived on them.
	SilentConnections tally.Counter
	// MismatchedResponses counts responses that carry the id of another attempt.
	MismatchedResponses tally.Counter
}

// New returns the metrics of a scope.
func New(scope tally.Scope) *Metrics {
	return &Metrics{
		Scope:               scope,
		Revision:            scope.Gauge("configuration_revision"),
		SyncFailures:        scope.Counter("configuration_sync_failures"),
		ConfigurationBytes:  scope.Counter("configuration_bytes"),
		EvacuatedDomains:    scope.Gauge("evacuated_domains"),
		HeldParts:           scope.Gauge("prompt_parts_held"),
		HeldCold:            scope.Counter("requests_held_cold"),
		Retries:             scope.Counter("attempts_retried"),
		ResumedStreams:      scope.Counter("streams_resumed"),
		SilentConnections:   scope.Counter("connections_silent"),
		MismatchedResponses: scope.Counter("answers_crossed"),
	}
}

// Refused counts a refusal by its code.
func (m *Metrics) Refused(code string) {
	m.Scope.Tagged(map[string]string{"code": code}).Counter("requests_refused").Inc(1)
}

// Answered counts a call for which an upstream has sent usable response headers, and
// records the time from the arrival of the call until then.
func (m *Metrics) Answered(class configurer.ClassName, sinceArrival time.Duration) {
	tagged := m.Scope.Tagged(map[string]string{"class": string(class)})
	tagged.Counter("requests_answered").Inc(1)
	tagged.Timer("first_byte").Record(sinceArrival)
}

// SpeedSpread sets the ratio of the highest to the lowest speed of the upstreams of a pool.
func (m *Metrics) SpeedSpread(kind registrar.Kind, name string, ratio float64) {
	m.Scope.Tagged(map[string]string{"kind": string(kind), "serves": name}).
		Gauge("upstream_speed_spread").Update(ratio)
}

// Waiting sets the number of requests that wait for upstreams of a pool.
func (m *Metrics) Waiting(kind registrar.Kind, name string, count int) {
	m.Scope.Tagged(map[string]string{"kind": string(kind), "serves": name}).
		Gauge("requests_waiting").Update(float64(count))
}
