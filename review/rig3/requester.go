//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
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
