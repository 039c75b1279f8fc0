package dialer

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/comfreybend/comfreybend/pkg/timer"
)

const (
	// testBytes is more than the other end receives while it does not read, and less than the
	// kernel takes to be sent.
	testBytes    = 1 << 20
	testTimeout  = 300 * time.Millisecond
	awaitTimeout = 30 * time.Second
	// testSilence is the time for which a sound peer is silent, and testAnswer the time after which
	// it answers, when a silent one must have been given up.
	testSilence = 1200 * time.Millisecond
	testAnswer  = 6 * time.Second
)

// pipe returns both ends of a connection, of which the first is watched.
func pipe(t *testing.T) (watched net.Conn, other *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	conn, err := (&net.Dialer{Control: DiscardOnClose(UserTimeout(awaitTimeout))}).DialContext(t.Context(), "tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	tcp, _ := conn.(*net.TCPConn)
	if watched, err = watch(tcp, testTimeout, awaitTimeout); err != nil {
		t.Fatal(err)
	}
	other, _ = accepted.(*net.TCPConn)
	t.Cleanup(func() { _, _ = watched.Close(), other.Close() })
	for _, c := range []net.Conn{watched, other} {
		if err = c.SetReadDeadline(time.Now().Add(awaitTimeout)); err != nil {
			t.Fatal(err)
		}
	}
	return watched, other
}

// TestLocalAddress guards against connections that leave a host with several addresses from another
// one than that of the settings.
func TestLocalAddress(t *testing.T) {
	tests := map[string]struct{ local, wanted string }{
		"set":   {local: "127.0.0.3", wanted: "127.0.0.3"},
		"empty": {wanted: "127.0.0.1"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = l.Close() }()
			conn, err := Resetting(awaitTimeout, LocalAddr(test.local))(t.Context(), "tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			if host, _, _ := net.SplitHostPort(conn.LocalAddr().String()); host != test.wanted {
				t.Errorf("local address %s, want %s", host, test.wanted)
			}
		})
	}
}

// TestUnacknowledgedDataIsDiscarded guards against data that arrives after the connection has
// failed because the other end did not acknowledge it.
func TestUnacknowledgedDataIsDiscarded(t *testing.T) {
	watched, other := pipe(t)
	began := time.Now()
	if n, err := watched.Write(make([]byte, testBytes)); err != nil || n != testBytes {
		t.Fatalf("wrote %d bytes, error %v", n, err)
	}
	_, err := watched.Read(make([]byte, 1))
	var unacknowledged *UnacknowledgedError
	if !errors.As(err, &unacknowledged) || !errors.Is(err, syscall.ETIMEDOUT) || time.Since(began) < testTimeout {
		t.Errorf("error %v after %v, want an UnacknowledgedError after %v", err, time.Since(began), testTimeout)
	}
	if _, err = watched.Write([]byte("x")); !errors.As(err, &unacknowledged) {
		t.Errorf("error %v of a write, want an UnacknowledgedError", err)
	}
	if received, err := io.Copy(io.Discard, other); err == nil || received >= testBytes {
		t.Errorf("%d of %d bytes arrived, error %v; want a part and a reset", received, testBytes, err)
	}
}

// TestSlowReaderIsNotReset guards against a reset of a connection whose other end acknowledges data
// slowly, or is silent while it has everything.
func TestSlowReaderIsNotReset(t *testing.T) {
	watched, other := pipe(t)
	sent := make(chan error, 1)
	go func() {
		_, err := watched.Write(make([]byte, 4*testBytes))
		sent <- err
	}()
	buffer := make([]byte, testBytes/4)
	for received, reads := 0, 0; received < 4*testBytes; reads++ {
		if reads < 8 {
			// The whole takes much longer than the timeout.
			timer.Sleep(t.Context(), testTimeout/3)
		}
		n, err := io.ReadFull(other, buffer)
		if err != nil {
			t.Fatalf("%v after %d bytes", err, received+n)
		}
		received += n
	}
	if err := <-sent; err != nil {
		t.Fatal(err)
	}
	timer.Sleep(t.Context(), 2*testTimeout)
	if _, err := other.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	if n, err := watched.Read(make([]byte, 1)); err != nil || n != 1 {
		t.Errorf("read %d bytes, error %v; want the answer", n, err)
	}
}

// TestSilentPeerIsKept guards against giving up an upstream that falls silent for a second and goes on:
// a TCP_USER_TIMEOUT also decides when keep-alive probes give up, after the first one that is lost.
func TestSilentPeerIsKept(t *testing.T) {
	tests := map[string]struct {
		// phase is the time from the last byte to the beginning of the silence, which may lose any of
		// the probes.
		phase, silence time.Duration
		// sends reports that a request is sent when the silence begins.
		sends bool
		lost  bool
	}{
		"from the last byte on":      {silence: testSilence},
		"0.3 s after the last byte":  {phase: 300 * time.Millisecond, silence: testSilence},
		"0.6 s after the last byte":  {phase: 600 * time.Millisecond, silence: testSilence},
		"0.9 s after the last byte":  {phase: 900 * time.Millisecond, silence: testSilence},
		"1.9 s after the last byte":  {phase: 1900 * time.Millisecond, silence: testSilence},
		"when a request is sent":     {silence: testSilence, sends: true},
		"for good":                   {silence: 2 * testAnswer, lost: true},
		"for good, when one is sent": {silence: 2 * testAnswer, sends: true, lost: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conn, peer := resettingPipe(t)
			exchange(t, conn, peer)
			timer.Sleep(t.Context(), test.phase)
			dropPackets(t, peer, true)
			if test.sends {
				if _, err := conn.Write([]byte("x")); err != nil {
					t.Fatal(err)
				}
			}
			go func() {
				if timer.Sleep(t.Context(), test.silence) {
					dropPackets(t, peer, false)
				}
			}()
			answered := time.AfterFunc(testAnswer, func() { _, _ = peer.Write([]byte("x")) })
			defer answered.Stop()
			_, err := conn.Read(make([]byte, 1))
			if lost := errors.Is(err, syscall.ETIMEDOUT); lost != test.lost || !lost && err != nil {
				t.Errorf("error %v, want lost: %t", err, test.lost)
			}
		})
	}
}

// resettingPipe returns both ends of a connection of Resetting.
func resettingPipe(t *testing.T) (net.Conn, *net.TCPConn) {
	t.Helper()
	var config net.ListenConfig
	// Sockets of multipath TCP take no filter.
	config.SetMultipathTCP(false)
	l, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	conn, err := Resetting(awaitTimeout, nil)(t.Context(), "tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	peer, _ := accepted.(*net.TCPConn)
	t.Cleanup(func() { _, _ = conn.Close(), peer.Close() })
	return conn, peer
}

// exchange sends a byte in each direction.
func exchange(t *testing.T, a, b net.Conn) {
	t.Helper()
	for _, pair := range [][2]net.Conn{{a, b}, {b, a}} {
		if _, err := pair[0].Write([]byte("x")); err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadFull(pair[1], make([]byte, 1)); err != nil {
			t.Fatal(err)
		}
	}
}

// dropPackets makes the kernel drop all packets that arrive for a connection, or ends that.
func dropPackets(t *testing.T, conn *net.TCPConn, drop bool) {
	raw, err := conn.SyscallConn()
	if err != nil {
		t.Error(err)
		return
	}
	nothing := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K}
	program := &unix.SockFprog{Len: 1, Filter: &nothing}
	if controlErr := raw.Control(func(fd uintptr) {
		if drop {
			err = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, program)
		} else {
			err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0)
		}
	}); controlErr != nil || err != nil {
		t.Error(controlErr, err)
	}
}
