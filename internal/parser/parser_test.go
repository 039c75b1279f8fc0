package parser

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/comfreybend/comfreybend/pkg/picker"
)

// TestRetryAfter checks that absurd pauses are bounded.
func TestRetryAfter(t *testing.T) {
	const longest = 5 * time.Minute
	tests := map[string]struct {
		want time.Duration
		ok   bool
	}{
		"0":                             {ok: true},
		"2":                             {want: 2 * time.Second, ok: true},
		" 0.25 ":                        {want: time.Second / 4, ok: true},
		"300":                           {want: longest, ok: true},
		"301":                           {want: longest},
		"1e9":                           {want: longest},
		"1e999":                         {want: longest},
		"Inf":                           {want: longest},
		"-1":                            {},
		"-1e999":                        {},
		"NaN":                           {want: DefaultRetryAfter},
		"soon":                          {want: DefaultRetryAfter},
		"Fri, 04 Dec 2026 12:00:00 GMT": {want: DefaultRetryAfter},
		strings.Repeat("9", 10_000):     {want: longest},
	}
	for text, test := range tests {
		t.Run(text[:min(len(text), 40)], func(t *testing.T) {
			if got, ok := RetryAfter(text, longest); got != test.want || ok != test.ok {
				t.Errorf("RetryAfter() = %v, %t; want %v, %t", got, ok, test.want, test.ok)
			}
		})
	}
}

// TestResumedAttempt guards against requests that name the stream that they resume in ways that
// cannot be relied on.
func TestResumedAttempt(t *testing.T) {
	tests := map[string]struct {
		values []string
		want   string
	}{
		"none":               {},
		"one":                {values: []string{"a-1"}, want: "a-1"},
		"doubled":            {values: []string{"a-1", "a-1"}, want: "a-1"},
		"two":                {values: []string{"a-1", "a-2"}},
		"the first is empty": {values: []string{"", "a-2"}},
		"without end":        {values: []string{strings.Repeat("a", MaxAttemptBytes+1)}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := ResumedAttempt(test.values); got != test.want {
				t.Errorf("attempt %q, want %q", got, test.want)
			}
		})
	}
}

// TestPromptParts checks lists of prompt parts.
func TestPromptParts(t *testing.T) {
	tests := map[string]struct {
		text string
		want []picker.PromptPart
	}{
		"none":      {},
		"three":     {text: "a:10, b:20,c:3", want: []picker.PromptPart{{ID: "a", Tokens: 10}, {ID: "b", Tokens: 20}, {ID: "c", Tokens: 3}}},
		"malformed": {text: "a,b:x,c:-4,d:99999999999999", want: []picker.PromptPart{{ID: "a"}, {ID: "b"}, {ID: "c"}, {ID: "d"}}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := PromptParts(test.text); fmt.Sprint(got) != fmt.Sprint(test.want) {
				t.Errorf("parts %v, want %v", got, test.want)
			}
		})
	}
}

// TestPartsKeepNoList guards against memory that fills up for good, since parts that are remembered keep the lists alive
// from which they were read, or are as long as these.
func TestPartsKeepNoList(t *testing.T) {
	const (
		lists     = 2000
		listBytes = 16 << 10
		most      = lists * listBytes / 8
	)
	tests := map[string]func(n int) string{
		"many parts":    func(n int) string { return strings.Repeat("5c1e07a2:8,", listBytes/11) + fmt.Sprintf("%016x:8", n) },
		"one long part": func(n int) string { return strings.Repeat("5c1e07a2", listBytes/8) + fmt.Sprintf("%016x:8", n) },
	}
	for name, list := range tests {
		t.Run(name, func(t *testing.T) {
			known := map[picker.PrefixID]bool{}
			before := heapBytes()
			for n := range lists {
				parts := PromptParts(list(n))
				known[parts[len(parts)-1].ID] = true
			}
			if taken := heapBytes() - before; taken > most || len(known) != lists {
				t.Errorf("%d parts of %d take %d bytes, want %d parts and at most %d bytes", len(known), lists, taken, lists, most)
			}
			runtime.KeepAlive(known)
		})
	}
}

// heapBytes returns the size of the objects that are in use.
func heapBytes() int64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return int64(s.HeapAlloc)
}
