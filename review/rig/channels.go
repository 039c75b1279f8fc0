//go:build review

package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { scenarios["channels"] = playChannels }

// Figures of the case channels. The usual rate is that of the site, spread over its entry machines.
const (
	channelRate   = 13.9
	burstFactor   = 2.2
	burstTime     = 9 * time.Second
	burstPause    = time.Second
	channelTime   = 88 * time.Second
	tryingClients = 10
)

// playChannels: many users come, in bursts. Each opens a channel, sends one request, and keeps the
// channel for more. A machine that says it is ready must take new channels.
func playChannels(rec *record, trouble bool) (bool, error) {
	s, _, err := deploy(rec, deployment{entries: 1, replicas: 3, slots: 6, serve: serveWhole(15 * time.Millisecond), service: plainService("wuno96b"), route: plainRoute("wuno96b")})
	if err != nil {
		return false, err
	}
	defer s.close()
	entry := s.of("entry")[0]
	var (
		wait             sync.WaitGroup
		answered, failed atomic.Int64
		mu               sync.Mutex
		open             []net.Conn
	)
	defer func() {
		for _, c := range open {
			_ = c.Close()
		}
	}()
	begin := time.Now()
	for time.Since(begin) < channelTime && failed.Load() < 50 {
		rate := channelRate
		if trouble && time.Since(begin)%(burstTime+burstPause) < burstTime {
			rate *= burstFactor
		}
		wait.Go(func() {
			conn, status, err := s.requestOnChannel(entry)
			if err != nil {
				failed.Add(1)
				rec.add("requester: no answer: %v", err)
				return
			}
			answered.Add(1)
			rec.add("requester: %d on a new channel", status)
			mu.Lock()
			open = append(open, conn)
			mu.Unlock()
		})
		time.Sleep(every(rate))
	}
	wait.Wait()
	rec.say("after %.0f s: %d requests answered, each on a channel that its requester keeps, %d without an answer", time.Since(begin).Seconds(), answered.Load(), failed.Load())
	// tryingClients requesters try again and again for longer than contact_ms.
	var taken, notReady atomic.Int64
	end := time.Now().Add(contactTime + time.Second)
	for range tryingClients {
		wait.Go(func() {
			for time.Now().Before(end) {
				if !s.isReady(entry) {
					notReady.Add(1)
				}
				if conn, _, err := s.requestOnChannel(entry); err == nil {
					taken.Add(1)
					_ = conn.Close()
				}
			}
		})
	}
	wait.Wait()
	rec.say("%d requesters tried for %v: %d new channels were taken; the machine said %d times that it is not ready", tryingClients, contactTime+time.Second, taken.Load(), notReady.Load())
	return taken.Load() == 0 && notReady.Load() == 0, nil
}

// requestOnChannel opens a channel to an entry process, sends a request, and returns the channel once it
// was answered. A requester gives up after a second.
func (s *system) requestOnChannel(m *machine) (net.Conn, int, error) {
	conn, err := net.DialTimeout("tcp", s.address(m.ip, offsetFrontend), time.Second)
	if err != nil {
		return nil, 0, err
	}
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	_, err = fmt.Fprintf(conn, "GET /pufi791/2f HTTP/1.1\r\nHost: %s\r\nX-Comfreybend-Attempt-Id: %s\r\nX-Comfreybend-Deadline-Ms: 1000\r\nAuthorization: Bearer %s\r\n\r\n", host, newID(), apiKey)
	if err != nil {
		_ = conn.Close()
		return nil, 0, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		_ = conn.Close()
		return nil, 0, err
	}
	_ = response.Body.Close()
	_ = conn.SetDeadline(time.Time{})
	return conn, response.StatusCode, nil
}
