// Package interpreter says what the body of an upstream's response means to the router: where a stream
// ends, which of its events have numbers, and which token counts it states. Everything else in a body is the
// upstream's text and has no meaning.
package interpreter

import (
	"bytes"
	"encoding/json"

	"github.com/comfreybend/comfreybend/internal/configurer"
	"github.com/comfreybend/comfreybend/internal/counter"
	"github.com/comfreybend/comfreybend/internal/scanner"
	"github.com/comfreybend/comfreybend/schema/state"
)

// Formats of responses.
const (
	// Opaque is the response of a service. It ends as its framing says, also if it is an event stream.
	Opaque Format = iota
	// NumberedEvents is a service's event stream whose events are numbered from 1. It ends as its framing
	// says, but not inside an event.
	NumberedEvents
	// Model is the response of a model as in docs/INTERFACES.md: a JSON document, or a stream of such documents
	// that ends with a marker. It states token counts.
	Model
)

var (
	// endMarker is the data of the last event of a model's stream.
	endMarker = []byte("[DONE]")
	usageName = []byte(`"usage"`)
)

type (
	// Format is what is known of the body of a response.
	Format int

	// Usage holds the token counts that a model's response states.
	Usage struct {
		PromptTokens     counter.TokenCount `json:"prompt_tokens"`
		CompletionTokens counter.TokenCount `json:"completion_tokens"`
	}
)

// Of returns the format of a route's responses.
func Of(route *state.Route) Format {
	switch {
	case route.GetEventStream():
		return NumberedEvents
	case route.GetKind() == configurer.KindModel:
		return Model
	default:
		return Opaque
	}
}

// IsEnd reports whether an event is the last one of its stream.
func (f Format) IsEnd(e scanner.Event) bool {
	return f == Model && bytes.Equal(e.Data, endMarker)
}

// EndsWithBody reports whether a stream whose body ends as its framing says is complete. unfinished
// is the number of bytes after its last event.
func (f Format) EndsWithBody(unfinished int) bool {
	switch f {
	case Model:
		return false
	case NumberedEvents:
		return unfinished == 0
	default:
		return true
	}
}

// LacksNumber reports whether an event should have a number and has none.
func (f Format) LacksNumber(e scanner.Event) bool {
	return f == NumberedEvents && e.ID == scanner.NoEventID && !e.Comment
}

// Resumes reports whether a stream that breaks after an event may go on after it, in another attempt.
func (f Format) Resumes() bool { return f != Opaque }

// Number returns the number of an event within its stream, or scanner.NoEventID if its id is none.
func (f Format) Number(e scanner.Event) scanner.EventID {
	if f == Opaque {
		return scanner.NoEventID
	}
	return e.ID
}

// ReportsErrors reports whether a stream that breaks off tells the client so in an event.
func (f Format) ReportsErrors() bool { return f == Model }

// OutlivesDeadline reports whether a stream that has begun may go on beyond the deadline of its request. Its
// upstream tells how far it is while it is silent.
func (f Format) OutlivesDeadline() bool { return f == Model }

// ReadUsage returns the token counts that a whole response or the data of an event states, if any.
func (f Format) ReadUsage(document []byte) (Usage, bool) {
	if f != Model || !bytes.Contains(document, usageName) {
		return Usage{}, false
	}
	var response struct {
		Usage *Usage `json:"usage"`
	}
	if json.Unmarshal(document, &response) != nil || response.Usage == nil {
		return Usage{}, false
	}
	return *response.Usage, true
}
