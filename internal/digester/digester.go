// Package digester condenses the content of requests to hashes by which they are compared.
package digester

import (
	"crypto/sha256"
	"io"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

const (
	// prefixBytes is the length of the start of a request body that Prefix hashes.
	prefixBytes = 512
	hexBase     = 16
)

// Fingerprint returns a hash of the content of a request. It shows that an idempotency key is reused for a different one.
func Fingerprint(method, path, query string, body []byte) []byte {
	h := sha256.New()
	for _, part := range []string{method, path, query} {
		_, _ = io.WriteString(h, part+"\x00")
	}
	_, _ = h.Write(body)
	return h.Sum(nil)
}

// Prefix returns a hash of a model and the start of a request body, which prompts with the same start share.
func Prefix(model string, body []byte) string {
	digest := xxhash.New()
	_, _ = digest.WriteString(model + "\x00")
	_, _ = digest.Write(body[:min(len(body), prefixBytes)])
	return strconv.FormatUint(digest.Sum64(), hexBase)
}
