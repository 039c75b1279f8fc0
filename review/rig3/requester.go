//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
)

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// readAnswer reads a whole answer.
func readAnswer(reader *bufio.Reader) (status int, err error) {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// streamRequest returns a request for a stream with a body of a number of bytes.
func streamRequest(id string, bytes int) string {
	return "POST /lohu930/2f HTTP/1.1\r\nHost: " + prefixHost + "\r\nX-Comfreybend-Attempt-Id: " + id +
		"\r\nX-Comfreybend-Model: m\r\nX-Comfreybend-Token-Usage: 1460,80\r\nX-Comfreybend-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410,e4402b7d:250" +
		"\r\nX-Comfreybend-Deadline-Ms: 8000\r\nAuthorization: Bearer " + prefixKey + "\r\nContent-Length: " + fmt.Sprint(bytes) +
		"\r\n\r\n" + strings.Repeat("x", bytes)
}
