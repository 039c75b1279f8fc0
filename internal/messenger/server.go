package messenger

import (
	"bufio"
	"context"
	"crypto/tls"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/comfreybend/comfreybend/pkg/timer"
	"github.com/comfreybend/comfreybend/schema/wire"
)

// Server accepts sessions and handles their requests.
type Server struct {
	listener net.Listener
	security Security
	// handle processes a request. It returns nil if the request has no reply.
	handle func(context.Context, *wire.Request) *wire.Reply
	// HandleRelay processes a request that another process passes on, if it is not nil. Its context
	// is done once the other end has closed the exchange. It may be set before Run.
	HandleRelay func(context.Context, *wire.Relay, *Exchange)
	// ReserveRelay takes memory for a request that is passed on, in bytes, until it has been handled, and reports whether
	// it was left. It may be nil, and be set before Run.
	ReserveRelay func(bytes int64) (release func(), reserved bool)
	// OnPause is called when the system lacks what a connection needs, such as a descriptor, for the first of several
	// failures in a row. It may be nil, and be set before Run.
	OnPause func(error)
	wg      sync.WaitGroup
}

// acceptPause is the pause after a connection could not be accepted for lack of something.
const acceptPause = 50 * time.Millisecond

// NewServer returns a server that passes the requests received on listener to handle.
func NewServer(
	listener net.Listener,
	security Security,
	handle func(context.Context, *wire.Request) *wire.Reply,
) *Server {
	return &Server{listener: listener, security: security, handle: handle}
}

// Run accepts connections until ctx is done or accepting fails for good. It then waits for the
// handlers that are still running.
func (s *Server) Run(ctx context.Context) error {
	defer s.wg.Wait()
	defer closeWhenDone(ctx, s.listener)()
	paused := false
	for {
		conn, err := s.listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err == nil {
			paused = false
			s.wg.Go(func() { s.serveConn(ctx, conn) })
			continue
		}
		if !isLack(err) {
			return errors.Wrap(err, "accepting a session")
		}
		if !paused && s.OnPause != nil {
			s.OnPause(err)
		}
		paused = true
		timer.Sleep(ctx, acceptPause)
	}
}

// isLack reports whether an error of Accept says nothing of the listener: the system lacks something at the moment, or
// the connection has ended already.
func isLack(err error) bool {
	for _, cause := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.EPROTO} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}

func (s *Server) serveConn(ctx context.Context, conn net.Conn) {
	defer func() { _ = conn.Close() }()
	defer closeWhenDone(ctx, conn)()
	if s.security.Server != nil {
		conn = tls.Server(conn, s.security.Server())
	}
	session, err := yamux.Server(conn, sessionConfig())
	if err != nil {
		return
	}
	defer func() { _ = session.Close() }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for {
		stream, err := session.AcceptStream()
		if err != nil {
			return
		}
		s.wg.Go(func() { s.serveStream(ctx, stream) })
	}
}

func (s *Server) serveStream(ctx context.Context, stream *yamux.Stream) {
	defer func() { _ = stream.Close() }()
	defer endWhenDone(ctx, stream)()
	request := &wire.Request{}
	reader := bufio.NewReader(stream)
	release, received := s.receive(ctx, stream, reader, request)
	if !received {
		return
	}
	defer release()
	if request.GetRelay() != nil && s.HandleRelay != nil {
		x := newExchange(ctx, stream, reader, "")
		defer x.Close()
		s.HandleRelay(x.untilClosed(), request.GetRelay(), x)
		return
	}
	reply := s.handle(ctx, request)
	if reply == nil {
		return
	}
	_, _ = protodelim.MarshalTo(stream, reply)
}
