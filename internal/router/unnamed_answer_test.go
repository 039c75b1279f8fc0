package router

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/comfreybend/comfreybend/internal/scanner"
	"github.com/comfreybend/comfreybend/internal/translator"
	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/schema/state"
)

// TestRefusalWithoutIDIsNotBelieved guards against a refusal that names no request, on a connection on which
// an answer too many may be due, that is taken for the answer to the latest request while that runs, or
// whose other headers are believed.
func TestRefusalWithoutIDIsNotBelieved(t *testing.T) {
	const (
		refusal = "HTTP/1.1 503 Service Unavailable\r\n" + headerNotRun + ": 1\r\nContent-Length: 0\r\n\r\n"
		another = "HTTP/1.1 421 Misdirected Request\r\n" + translator.HeaderIncarnation + ": 9\r\nContent-Length: 0\r\n\r\n"
	)
	tests := map[string]struct {
		answer string
		// before is the number of requests that the connection has carried.
		before int
		notRun bool
	}{
		"a refusal on a new connection":  {answer: refusal, notRun: true},
		"a refusal on a used connection": {answer: refusal, before: 1},
		"421 on a new connection":        {answer: another, notRun: true},
		"421 on a used connection":       {answer: another, before: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = l.Close() }()
			go func() {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				for n := 0; ; n++ {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, request.Body)
					answer := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", headerCallID, request.Header.Get(translator.HeaderAttempt))
					if n == test.before {
						answer = test.answer
					}
					_, _ = io.WriteString(conn, answer)
				}
			}()
			r, _ := newCopierRouter(t, true)
			believed := 0
			r.upstreamClient.onResponse = func(*attempt, translator.ResponseInfo) { believed++ }
			g := &grant{
				upstream: &registrar.Upstream{ID: "u", Incarnation: 1, URL: "http://" + l.Addr().String()},
				state:    newUpstreamState(r.settings.GetEntry().GetUpstreamLimits(), 0),
			}
			for n := range test.before + 1 {
				c := &call{
					method: http.MethodPost, path: "/", escapedPath: "/", requestURI: "/", header: http.Header{}, class: &state.Class{Name: "c"},
					deadline: r.dispatcher.now() + time.Minute, RequestInfo: translator.RequestInfo{Attempt: translator.AttemptID(fmt.Sprint("call-", n))},
				}
				at, err := r.upstreamClient.send(context.Background(), c, g, scanner.NoEventID)
				if n < test.before {
					if err != nil {
						t.Fatal(err)
					}
					at.awaitBodyEnd()
					at.close(nil)
					continue
				}
				failure, ok := err.(*attemptError) //nolint:errorlint // send returns the type itself.
				if !ok || failure.NotRun != test.notRun || failure.Refused != test.notRun {
					t.Errorf("error %v, want a failure that is known not to have run: %t", err, test.notRun)
				}
				if want := 1; believed != want {
					t.Errorf("the headers of %d answers were believed, want %d", believed, want)
				}
			}
		})
	}
}
