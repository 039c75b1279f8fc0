// Package parser parses values of headers that clients and upstreams send. What cannot be parsed is
// bounded or left out, never trusted.
package parser

import (
	"crypto/sha256"
	"encoding/hex"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/comfreybend/comfreybend/pkg/picker"
)

const (
	// DefaultRetryAfter is the pause that is kept if an upstream asks for one whose length
	// cannot be read.
	DefaultRetryAfter = time.Second
	// MaxAttemptBytes bounds the id of an attempt that a client names.
	MaxAttemptBytes = 256
	// HeaderAPIKey is the header with the API key of a client that does not send it as a bearer token.
	HeaderAPIKey = "X-Api-Key"

	bearerPrefix = "Bearer "
	// maxPartBytes is the size of the longest id of a prompt part that is remembered as it is.
	maxPartBytes = 64
)

// APIKey returns the API key of a request; empty if it has none.
func APIKey(h http.Header) string {
	if key, found := strings.CutPrefix(h.Get("Authorization"), bearerPrefix); found {
		return strings.TrimSpace(key)
	}
	return h.Get(HeaderAPIKey)
}

// RetryAfter returns the pause that a Retry-After value asks for, at most longest.
// The second result is false if the value is not a number of seconds from zero to
// longest. No pause is kept for a negative one, and DefaultRetryAfter for a value that is
// no number.
func RetryAfter(text string, longest time.Duration) (time.Duration, bool) {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	switch {
	case err != nil && math.IsInf(seconds, 1), seconds > longest.Seconds():
		return longest, false
	case err != nil && !math.IsInf(seconds, -1), math.IsNaN(seconds):
		return DefaultRetryAfter, false
	case seconds < 0:
		return 0, false
	default:
		return time.Duration(seconds * float64(time.Second)), true
	}
}

// ResumedAttempt returns the attempt that brought the first event of the stream that a request
// resumes, from the values of the header that names it. It is empty if there is none, if they differ, or if
// it is too long to be an attempt of this system's clients.
func ResumedAttempt(values []string) string {
	if len(values) == 0 || len(values[0]) > MaxAttemptBytes {
		return ""
	}
	for _, v := range values[1:] {
		if v != values[0] {
			return ""
		}
	}
	return values[0]
}

// PromptParts parses a list of prompt parts: ID:TOKENS separated by commas. Numbers that
// cannot be parsed count as zero, because the upstream reads the same list itself. Parts are remembered for long, so
// their ids share no memory with the list, and one of more than maxPartBytes is replaced by a digest.
func PromptParts(text string) []picker.PromptPart {
	if text == "" {
		return nil
	}
	var parts []picker.PromptPart
	for entry := range strings.SplitSeq(text, ",") {
		id, tokens, _ := strings.Cut(strings.TrimSpace(entry), ":")
		n, err := strconv.ParseUint(strings.TrimSpace(tokens), 10, 31)
		if err != nil {
			n = 0
		}
		parts = append(parts, picker.PromptPart{ID: partID(id), Tokens: int(n)})
	}
	return parts
}

func partID(text string) picker.PrefixID {
	if len(text) <= maxPartBytes {
		return picker.PrefixID(strings.Clone(text))
	}
	digest := sha256.Sum256([]byte(text))
	return picker.PrefixID(hex.EncodeToString(digest[:]))
}
