// Package scrubber removes from HTTP headers what must not be forwarded.
package scrubber

import (
	"net/http"
	"strings"
)

// Request returns the headers of a client's request without those of the connection, those that
// identify the client, and those for which drops returns true. A value that contains the key is
// removed too; key is empty if there is none.
func Request(from http.Header, key string, drops func(name string) bool) http.Header {
	out := make(http.Header, len(from))
	for name, values := range from {
		if isConnectionHeader(name) || identifiesClient(name) || drops(name) {
			continue
		}
		for _, v := range values {
			if key == "" || !strings.Contains(v, key) {
				out.Add(name, v)
			}
		}
	}
	for _, name := range strings.Split(from.Get("Connection"), ",") {
		out.Del(strings.TrimSpace(name))
	}
	return out
}

// DropsResponse reports whether an upstream's header is not relayed: those of the connection, and
// Content-Length, which is set separately.
func DropsResponse(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length":
		return true
	default:
		return false
	}
}

func isConnectionHeader(name string) bool {
	switch name {
	case "Expect", "Accept-Encoding":
		return true
	default:
		return DropsResponse(name)
	}
}

func identifiesClient(name string) bool {
	return name == "Authorization" || name == "Proxy-Authorization" || name == "Cookie"
}
