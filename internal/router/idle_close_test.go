package router

import (
	"bufio"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/comfreybend/comfreybend/internal/configurer"
	"github.com/comfreybend/comfreybend/schema/wire"
)

// TestIdleClosesCostNothing guards against requests that fail since their upstream closes idle
// connections while requests come.
func TestIdleClosesCostNothing(t *testing.T) {
	const (
		seed      = 7
		senders   = 16
		perSender = 50
		// longestIdle is the longest time after an answer at which the upstream closes.
		longestIdle = 20 * time.Millisecond
	)
	tests := map[string]struct {
		method   string
		attempts int32
		// most is the largest number of requests that fail. The close and the request may cross.
		most int64
	}{
		"GET":               {method: http.MethodGet, attempts: 3},
		"POST":              {method: http.MethodPost, attempts: 3},
		"GET, one attempt":  {method: http.MethodGet, attempts: 1, most: senders * perSender / 10},
		"POST, one attempt": {method: http.MethodPost, attempts: 1, most: senders * perSender / 10},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r, server, _ := newNoticeRouter(t)
			document := engineDocument()
			route := document.GetConfiguration().GetRoutes()[0]
			route.Service, route.Kind, route.EventStream, route.Resumable = noticeService, configurer.KindService, false, false
			route.Attempts = test.attempts
			if err := r.controlPlane.applyConfiguration(&wire.SyncReply{Revision: 2, Whole: true, Configuration: document.GetConfiguration()}, delivery{}); err != nil {
				t.Fatal(err)
			}
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = l.Close() })
			var connections atomic.Uint64
			go func() {
				for {
					conn, err := l.Accept()
					if err != nil {
						return
					}
					random := rand.New(rand.NewPCG(seed, connections.Add(1)))
					go func() {
						defer func() { _ = conn.Close() }()
						reader := bufio.NewReader(conn)
						for {
							request, err := http.ReadRequest(reader)
							if err != nil {
								return
							}
							_, _ = io.Copy(io.Discard, request.Body)
							if _, err = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"); err != nil {
								return
							}
							_ = conn.SetReadDeadline(time.Now().Add(time.Duration(random.Int64N(int64(longestIdle)))))
						}
					}()
				}
			}()
			r.dispatcher.applyAnnouncement(noticeAnnouncement("u", "http://"+l.Addr().String(), 1, 1, r.dispatcher.now()))
			now := r.dispatcher.now
			r.dispatcher.now = func() time.Duration { return now() + slowStart }
			r.dispatcher.applyAnnouncement(noticeAnnouncement("u", "http://"+l.Addr().String(), 1, 2, r.dispatcher.now()+time.Minute))
			go func() { _ = r.dispatcher.run(t.Context()) }()
			var failed atomic.Int64
			var running sync.WaitGroup
			for sender := range senders {
				random := rand.New(rand.NewPCG(seed, uint64(1000+sender)))
				running.Go(func() {
					for range perSender {
						time.Sleep(time.Duration(random.Int64N(int64(longestIdle))))
						request, err := http.NewRequestWithContext(t.Context(), test.method, server.URL+"/x", http.NoBody)
						if err != nil {
							t.Error(err)
							return
						}
						response, err := http.DefaultClient.Do(request)
						if err != nil {
							t.Error(err)
							return
						}
						_, _ = io.Copy(io.Discard, response.Body)
						_ = response.Body.Close()
						if response.StatusCode != http.StatusOK {
							failed.Add(1)
						}
					}
				})
			}
			running.Wait()
			t.Logf("%d of %d requests failed, %d connections", failed.Load(), senders*perSender, connections.Load())
			if failed.Load() > test.most {
				t.Errorf("%d requests failed, want at most %d", failed.Load(), test.most)
			}
		})
	}
}
