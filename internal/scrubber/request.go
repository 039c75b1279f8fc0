package scrubber

import (
	"bytes"
	"net"
	"net/http"
	"net/url"
	"path"
	"strings"
)

// HostWithoutPort returns the host of a Host header in lower case, without its port.
func HostWithoutPort(header string) string {
	if name, _, err := net.SplitHostPort(header); err == nil {
		header = name
	}
	return strings.ToLower(header)
}

// IsCleanPath reports whether a path has no empty, "." or ".." segments. An
// upstream could resolve such a path to one whose route has other rules.
func IsCleanPath(p string) bool {
	cleaned := path.Clean(p)
	return p == cleaned || p == cleaned+"/"
}

// Exposes reports whether a key occurs in the path, as received or unescaped, the query or the body of
// a request, which are forwarded to the upstream. key is empty if there is none.
func Exposes(key, plainPath, escapedPath, query string, body []byte) bool {
	if key == "" {
		return false
	}
	unescaped, err := url.QueryUnescape(query)
	if err != nil {
		unescaped = query
	}
	return strings.Contains(plainPath, key) || strings.Contains(escapedPath, key) || strings.Contains(query, key) ||
		strings.Contains(unescaped, key) || bytes.Contains(body, []byte(key))
}

// Target returns the path and query of a request as received, without the host that the absolute form of a target
// names.
func Target(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}
