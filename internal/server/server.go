// Package server opens listeners and serves HTTP on them for the daemons.
package server

import (
	"context"
	"net"
	"net/http"

	"github.com/pkg/errors"
)

// Binding is an address to listen on and the variable that receives the listener.
type Binding struct {
	Address string
	Target  *net.Listener
}

// Listen opens a listener for each binding. It returns the first error; listeners opened
// before it stay open.
func Listen(ctx context.Context, bindings ...Binding) error {
	for _, b := range bindings {
		listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", b.Address)
		if err != nil {
			return errors.Wrap(err, "listening")
		}
		*b.Target = listener
	}
	return nil
}

// Serve serves HTTP on l until the server is shut down or closed.
func Serve(s *http.Server, l net.Listener) error {
	err := s.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serving HTTP")
}
