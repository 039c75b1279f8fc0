package integration

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/url"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/comfreybend/comfreybend/schema/settings"
)

// Faults of the paths from an entry process to upstreams.
const (
	// pathHangs drops all packets: connections are not established, and nothing that is sent on
	// existing ones is acknowledged.
	pathHangs pathFault = "hang"
	// pathResets resets existing connections and refuses new ones.
	pathResets pathFault = "reset"
	// pathAccepts resets existing connections, and new ones once they are established, as a gateway
	// does that has lost what is behind it.
	pathAccepts pathFault = "accept and reset"
	// pathRefusesNew refuses new connections, while existing ones live on.
	pathRefusesNew pathFault = "refuse new"
)

const (
	// firstPathHost is the last number of the loopback address of the first entry process.
	firstPathHost = 11
	pathBuffer    = 32 << 10
	// pathDialTimeout bounds a try in the test of the paths themselves.
	pathDialTimeout = 500 * time.Millisecond
)

type (
	pathFault string

	// path is a proxy through which one entry process reaches one upstream. Each entry process
	// connects from a loopback address of its own, and upstreams announce the unspecified address:
	// a connection to that goes to the address that it comes from.
	path struct {
		t       testing.TB
		address string
		// target is the address of the upstream. It is set before the upstream is known to others.
		target string

		mu       sync.Mutex
		listener *net.TCPListener
		conns    map[*pathConn]struct{}
		fault    pathFault
		// passing is closed while bytes pass to the entry process.
		passing chan struct{}
	}

	// pathConn is a connection of a path. upstream is nil until it is established.
	pathConn struct {
		entry, upstream *net.TCPConn
	}
)

// entryAddress returns the address from which an entry process connects to upstreams.
func entryAddress(index int) string { return fmt.Sprintf("127.0.0.%d", firstPathHost+index) }

// useOwnAddresses makes each entry process connect to upstreams from its entryAddress.
func useOwnAddresses(s *settings.Settings) {
	index := 0
	if _, err := fmt.Sscanf(s.GetHost().GetId(), "entry-%d", &index); err == nil {
		s.Entry.UpstreamLocalAddress = entryAddress(index - 1)
	}
}

// startReachable starts an emulated upstream that each entry process reaches through a path of its own.
// The entry processes must use useOwnAddresses.
func (s *system) startReachable(id, domain, kind, serves string, flags ...string) (*upstreamProcess, []*path) {
	s.t.Helper()
	_, port, err := net.SplitHostPort(freeAddress(s.t))
	if err != nil {
		s.t.Fatal(err)
	}
	paths := make([]*path, len(s.entries))
	for i := range s.entries {
		p := &path{
			t: s.t, address: net.JoinHostPort(entryAddress(i), port),
			conns: map[*pathConn]struct{}{}, passing: make(chan struct{}),
		}
		close(p.passing)
		if err = p.listen(); err != nil {
			s.t.Fatal(err)
		}
		s.t.Cleanup(p.close)
		paths[i] = p
	}
	u := s.startUpstream(id, domain, kind, serves, s.entries, append([]string{"--advertise", "http://" + net.JoinHostPort("0.0.0.0", port)}, flags...)...)
	target, err := url.Parse(u.url)
	if err != nil {
		s.t.Fatal(err)
	}
	for _, p := range paths {
		p.serve(target.Host)
	}
	return u, paths
}

func (p *path) listen() error {
	config := net.ListenConfig{}
	// Sockets of multipath TCP take no filter.
	config.SetMultipathTCP(false)
	l, err := config.Listen(p.t.Context(), "tcp4", p.address)
	if err != nil {
		return err
	}
	p.listener, _ = l.(*net.TCPListener)
	return nil
}

// serve begins to accept connections for an upstream.
func (p *path) serve(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
	go p.accept(p.listener)
}

// accept passes on connections until the listener is closed.
func (p *path) accept(l *net.TCPListener) {
	for {
		entry, err := l.AcceptTCP()
		if err != nil {
			return
		}
		c := &pathConn{entry: entry}
		p.mu.Lock()
		if p.fault == pathAccepts {
			p.mu.Unlock()
			c.reset()
			continue
		}
		// A connection may inherit the filter of its listener, or have been queued before that.
		dropPackets(entry, p.fault == pathHangs)
		p.conns[c] = struct{}{}
		p.mu.Unlock()
		go p.pass(c)
	}
}

// pass copies bytes in both directions until one of the ends closes the connection.
func (p *path) pass(c *pathConn) {
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.conns, c)
		c.close()
	}()
	conn, err := (&net.Dialer{}).DialContext(p.t.Context(), "tcp", p.target)
	if err != nil {
		return
	}
	p.mu.Lock()
	c.upstream, _ = conn.(*net.TCPConn)
	_, open := p.conns[c]
	p.mu.Unlock()
	if !open {
		_ = conn.Close()
		return
	}
	ended := make(chan struct{}, 2)
	go func() {
		p.copy(conn, c.entry, false)
		ended <- struct{}{}
	}()
	go func() {
		p.copy(c.entry, conn, true)
		ended <- struct{}{}
	}()
	<-ended
}

// copy copies from one connection to another one, while bytes pass if it is gated.
func (p *path) copy(to, from net.Conn, gated bool) {
	buffer := make([]byte, pathBuffer)
	for {
		n, err := from.Read(buffer)
		if gated && !p.awaitPassing() {
			return
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// awaitPassing waits until bytes pass to the entry process. It returns false at the end of the test.
func (p *path) awaitPassing() bool {
	p.mu.Lock()
	passing := p.passing
	p.mu.Unlock()
	select {
	case <-passing:
		return true
	case <-p.t.Context().Done():
		return false
	}
}

// cut begins a fault, which must not be in progress.
func (p *path) cut(fault pathFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = fault
	switch fault {
	case pathHangs:
		p.passing = make(chan struct{})
		dropPackets(p.listener, true)
		for c := range p.conns {
			dropPackets(c.entry, true)
		}
	case pathResets:
		_ = p.listener.Close()
		p.reset()
	case pathAccepts:
		p.reset()
	case pathRefusesNew:
		_ = p.listener.Close()
	}
}

// heal ends the fault, if there is one.
func (p *path) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	fault := p.fault
	p.fault = ""
	switch fault {
	case pathHangs:
		dropPackets(p.listener, false)
		for c := range p.conns {
			dropPackets(c.entry, false)
		}
		close(p.passing)
	case pathAccepts:
	case pathResets, pathRefusesNew:
		if err := p.listen(); err != nil {
			p.t.Error(err)
			return
		}
		go p.accept(p.listener)
	}
}

// reset resets all connections. The mutex must be held.
func (p *path) reset() {
	for c := range p.conns {
		c.reset()
		delete(p.conns, c)
	}
}

func (p *path) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.listener.Close()
	for c := range p.conns {
		c.close()
	}
}

func (c *pathConn) close() {
	_ = c.entry.Close()
	if c.upstream != nil {
		_ = c.upstream.Close()
	}
}

// reset closes the connection with a reset.
func (c *pathConn) reset() {
	_ = c.entry.SetLinger(0)
	c.close()
}

// dropPackets makes the kernel drop all packets that arrive for a socket, or ends that.
func dropPackets(socket syscall.Conn, drop bool) {
	raw, err := socket.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		if !drop {
			// There may be no filter.
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0)
			return
		}
		nothing := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K}
		program := &unix.SockFprog{Len: 1, Filter: &nothing}
		if err := unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, program); err != nil {
			panic(err)
		}
	})
}

// TestPathFaults guards against faults of test paths that do not do what they say.
func TestPathFaults(t *testing.T) {
	upstream, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = upstream.Close() }()
	go echo(upstream)
	_, port, _ := net.SplitHostPort(freeAddress(t))
	p := &path{t: t, address: net.JoinHostPort(entryAddress(0), port), conns: map[*pathConn]struct{}{}, passing: make(chan struct{})}
	close(p.passing)
	if err = p.listen(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.close)
	p.serve(upstream.Addr().String())
	dialer := &net.Dialer{Timeout: pathDialTimeout, LocalAddr: &net.TCPAddr{IP: net.ParseIP(entryAddress(0))}}
	dial := func() (net.Conn, error) {
		return dialer.DialContext(t.Context(), "tcp", net.JoinHostPort("0.0.0.0", port))
	}
	tests := map[string]struct {
		fault pathFault
		// keeps reports that connections live on.
		keeps bool
		// refuses is the error of a new connection, of dialling or of the first bytes; nil for a timeout.
		refuses error
	}{
		"hang":             {fault: pathHangs},
		"reset":            {fault: pathResets, refuses: syscall.ECONNREFUSED},
		"accept and reset": {fault: pathAccepts, refuses: syscall.ECONNRESET},
		"refuse new":       {fault: pathRefusesNew, keeps: true, refuses: syscall.ECONNREFUSED},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			kept, err := dial()
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = kept.Close() }()
			if err = exchange(kept); err != nil {
				t.Fatal(err)
			}
			p.cut(test.fault)
			if err = exchange(kept); (err == nil) != test.keeps {
				t.Errorf("an existing connection: %v", err)
			}
			fresh, err := dial()
			if err == nil {
				err = exchange(fresh)
				_ = fresh.Close()
			}
			var timeout net.Error
			timedOut := errors.As(err, &timeout) && timeout.Timeout()
			if !errors.Is(err, test.refuses) && (test.refuses != nil || !timedOut) {
				t.Errorf("a new connection: %v, want %v", err, test.refuses)
			}
			p.heal()
			eventually(t, waitTimeout, func() error {
				fresh, err := dial()
				if err != nil {
					return err
				}
				defer func() { _ = fresh.Close() }()
				return exchange(fresh)
			})
		})
	}
}

// echo returns what it receives on each connection.
func echo(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = conn.Close() }()
			_, _ = io.Copy(conn, conn)
		}()
	}
}

// exchange sends a byte and waits for one.
func exchange(conn net.Conn) error {
	if err := conn.SetDeadline(time.Now().Add(pathDialTimeout)); err != nil {
		return err
	}
	if _, err := conn.Write([]byte("x")); err != nil {
		return err
	}
	_, err := io.ReadFull(conn, make([]byte, 1))
	return err
}
