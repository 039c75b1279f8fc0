package scanner

import (
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/pkg/errors"

	"github.com/comfreybend/comfreybend/internal/bufferer"
)

const maxTestBytes = 64

func TestNext(t *testing.T) {
	tests := map[string]struct {
		stream string
		// want describes the events, complete is whether the error after them is the end of the
		// stream.
		want     []string
		complete bool
	}{
		"numbered":             {stream: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", want: []string{`1 "a"`, `2 "b"`}, complete: true},
		"carriage returns":     {stream: "id: 1\r\ndata: a\r\n\r\n", want: []string{`1 "a"`}, complete: true},
		"without a number":     {stream: "data: a\n\n", want: []string{`0 "a"`}, complete: true},
		"number that is none":  {stream: "id: x\ndata: a\n\n", want: []string{`0 "a"`}, complete: true},
		"several data lines":   {stream: "id: 1\ndata: a\ndata: [DONE]\n\n", want: []string{`1 ""`}, complete: true},
		"comment":              {stream: ": alive\n\n", want: []string{`0 "" comment`}, complete: true},
		"cut in an event":      {stream: "id: 1\ndata: a\n\nid: 2\nda", want: []string{`1 "a"`}, complete: true},
		"event without an end": {stream: "data: " + strings.Repeat("x", 2*maxTestBytes)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			raw := bufferer.New(0).NewBuffer(maxTestBytes)
			s := New(strings.NewReader(test.stream), raw)
			var got []string
			for {
				e, err := s.Next()
				if err != nil {
					if errors.Is(err, io.EOF) != test.complete {
						t.Errorf("error %v after the events, want the end of the stream: %t", err, test.complete)
					}
					break
				}
				text := fmt.Sprintf("%d %q", e.ID, e.Data)
				if e.Comment {
					text += " comment"
				}
				got = append(got, text)
			}
			if fmt.Sprint(got) != fmt.Sprint(test.want) {
				t.Errorf("events %v, want %v", got, test.want)
			}
		})
	}
}

func ExampleScanner() {
	s := New(strings.NewReader("id: 1\ndata: hello\n\n"), bufferer.New(0).NewBuffer(1<<10))
	e, err := s.Next()
	fmt.Println(e.ID, string(e.Data), err)
	// Output: 1 hello <nil>
}
