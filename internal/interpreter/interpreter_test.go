package interpreter

import (
	"fmt"
	"testing"

	"github.com/comfreybend/comfreybend/internal/configurer"
	"github.com/comfreybend/comfreybend/internal/scanner"
	"github.com/comfreybend/comfreybend/schema/state"
)

// TestFormats guards against a text that has a meaning in a format that gives it none.
func TestFormats(t *testing.T) {
	marker := scanner.Event{ID: 3, Data: []byte("[DONE]"), HasData: true}
	usage := []byte(`{"usage":{"prompt_tokens":1,"completion_tokens":2}}`)
	type meaning struct {
		endsAtMarker, endsWithBody, endsInEvent, lacksNumber, resumes, statesUsage bool
		number                                                                     scanner.EventID
	}
	tests := map[string]struct {
		route *state.Route
		want  meaning
	}{
		"service":         {&state.Route{Kind: configurer.KindService}, meaning{endsWithBody: true, endsInEvent: true}},
		"numbered events": {&state.Route{Kind: configurer.KindService, EventStream: true}, meaning{endsWithBody: true, lacksNumber: true, resumes: true, number: 3}},
		"model":           {&state.Route{Kind: configurer.KindModel}, meaning{endsAtMarker: true, resumes: true, statesUsage: true, number: 3}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := Of(test.route)
			_, stated := f.ReadUsage(usage)
			got := meaning{
				endsAtMarker: f.IsEnd(marker), endsWithBody: f.EndsWithBody(0), endsInEvent: f.EndsWithBody(1),
				lacksNumber: f.LacksNumber(scanner.Event{}), resumes: f.Resumes(), statesUsage: stated, number: f.Number(marker),
			}
			if got != test.want {
				t.Errorf("%+v, want %+v", got, test.want)
			}
			if f.LacksNumber(scanner.Event{Comment: true}) {
				t.Error("a comment lacks a number")
			}
		})
	}
}

func ExampleFormat_ReadUsage() {
	document := []byte(`{"usage":{"prompt_tokens":12,"completion_tokens":34}}`)
	usage, stated := Model.ReadUsage(document)
	fmt.Println(usage.PromptTokens, usage.CompletionTokens, stated)
	_, stated = Opaque.ReadUsage(document)
	fmt.Println(stated)
	// Output:
	// 12 34 true
	// false
}
