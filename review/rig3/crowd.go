//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// In the case of the crowd, requesters hold kept channels to one entry process, as many as its descriptors allow, and then
// each asks for one stream, all within two seconds. With the trouble each body has 32,000 bytes, without 1,500.
const (
	crowdChannels = 2040
	crowdBody     = 32_000
	calmBody      = 1_500
	// crowdMemoryMB and crowdFDs are those of the edge machines in grown/ and large/.
	crowdMemoryMB = 284
	crowdFDs      = 4100
	crowdReplicas = 36
	// crowdEvents events come each crowdPause, the first one at once.
	crowdEvents = 9
	crowdPause  = 500 * time.Millisecond
	crowdSpread = 2 * time.Second
)

func init() { cases["crowd"] = playCrowd }

type crowd struct {
	system *system
	record *record
	// arrived holds the ids of the requests that a replica has begun to run.
	arrived sync.Map

	warm, whole, refused, failed, lost atomic.Int64
}

func playCrowd(r *record, trouble bool) (bool, error) {
	s, err := newSystem(r, crowdMemoryMB)
	if err != nil {
		return false, err
	}
	s.maxFDs = crowdFDs
	if err = s.start(3, 1); err != nil {
		return false, err
	}
	defer s.close()
	c := &crowd{system: s, record: r}
	status, _, err := s.call(http.MethodPost, "/api/Config.Replace", prefixConfig(), 30*time.Second)
	if err != nil || status != http.StatusOK {
		return false, fmt.Errorf("the config got %d: %w", status, err)
	}
	for i := range crowdReplicas {
		replica := &replica{id: fmt.Sprintf("i-%d", i), service: "pool", zone: string(rune('a' + i%2)), serve: c.answer}
		if err = s.startReplica(replica, 31+i); err != nil {
			return false, err
		}
		defer replica.close()
	}
	if err = s.awaitReady(30 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	bytes := calmBody
	if trouble {
		bytes = crowdBody
	}
	c.play(bytes)
	m := s.entries[0]
	m.mu.Lock()
	defer m.mu.Unlock()
	r.line("%d channels carried a first request; of %d requests with bodies of %d bytes %d were answered whole, %d refused as not run, %d failed otherwise",
		c.warm.Load(), crowdChannels, bytes, c.whole.Load(), c.refused.Load(), c.failed.Load())
	r.line("%d requests on kept channels were passed on to a sound replica, and their channel ended without a complete answer", c.lost.Load())
	r.line("the entry process took %d MB at the most of %d MB; it was over that %d times", m.peakMB, crowdMemoryMB, m.overMemory)
	if c.warm.Load() < crowdChannels {
		return false, fmt.Errorf("only %d channels carried a first request", c.warm.Load())
	}
	return c.lost.Load() > 3, nil
}

// answer reads the body and streams events.
func (c *crowd) answer(w http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("X-Comfreybend-Attempt-Id")
	c.arrived.Store(id, true)
	n, _ := io.Copy(io.Discard, request.Body)
	c.record.line("a replica runs %s, whose body has %d bytes", id, n)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Comfreybend-Weight-Versions", "1")
	w.WriteHeader(http.StatusOK)
	events := crowdEvents
	if n < 10 {
		// The first request of a channel.
		events = 1
	}
	for i := range events {
		if i > 0 {
			time.Sleep(crowdPause)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: event %d\n\n", i+1, i+1)
		_ = http.NewResponseController(w).Flush()
	}
}

func (c *crowd) play(bytes int) {
	var group, ready sync.WaitGroup
	begin := make(chan struct{})
	ready.Add(crowdChannels)
	for i := range crowdChannels {
		group.Go(func() {
			time.Sleep(5 * time.Second / crowdChannels * time.Duration(i))
			conn, reader, err := c.open()
			ready.Done()
			if err != nil {
				return
			}
			defer conn.Close()
			<-begin
			time.Sleep(crowdSpread / crowdChannels * time.Duration(i))
			c.ask(conn, reader, bytes)
		})
	}
	ready.Wait()
	c.record.line("%d channels are kept; now each sends a request with a body of %d bytes, within %v", c.warm.Load(), bytes, crowdSpread)
	close(begin)
	group.Wait()
}

// open opens a channel and sends a first small request on it.
func (c *crowd) open() (net.Conn, *bufio.Reader, error) {
	conn, err := net.DialTimeout("tcp", c.system.address(11, portFrontend), time.Second)
	if err != nil {
		return nil, nil, err
	}
	reader := bufio.NewReaderSize(conn, 1<<10)
	_ = conn.SetDeadline(time.Now().Add(12 * time.Second))
	if _, err = io.WriteString(conn, crowdRequest(newID(), 2)); err != nil {
		return nil, nil, err
	}
	if status, err := readAnswer(reader); err != nil || status != http.StatusOK {
		_ = conn.Close()
		return nil, nil, fmt.Errorf("status %d: %w", status, err)
	}
	c.warm.Add(1)
	return conn, reader, nil
}

func (c *crowd) ask(conn net.Conn, reader *bufio.Reader, bytes int) {
	id := newID()
	_ = conn.SetDeadline(time.Now().Add(12 * time.Second))
	_, err := io.WriteString(conn, crowdRequest(id, bytes))
	status := 0
	if err == nil {
		status, err = readAnswer(reader)
	}
	switch {
	case err != nil:
		c.failed.Add(1)
		_, ran := c.arrived.Load(id)
		if ran {
			c.lost.Add(1)
		}
		c.record.line("the channel of request %s, which had carried another one, ends without a complete answer (run by a replica: %t): %v", id, ran, err)
		return
	case status == http.StatusOK:
		c.whole.Add(1)
	case status == http.StatusServiceUnavailable, status == http.StatusTooManyRequests:
		c.refused.Add(1)
	default:
		c.failed.Add(1)
	}
	c.record.line("request %s gets %d and a complete answer", id, status)
}

// promptOf returns the list of the parts of a prompt: a long one with a large body, three parts otherwise.
func promptOf(bytes int) string {
	if bytes < crowdBody {
		return "5c1e07a2:800,91bd3f06:410,e4402b7d:250"
	}
	return strings.Repeat("91bd3f06:10,", prefixParts-1) + "e4402b7d:250"
}

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

func crowdRequest(id string, bytes int) string {
	return "POST /lohu930/2f HTTP/1.1\r\nHost: " + prefixHost + "\r\nX-Comfreybend-Attempt-Id: " + id +
		"\r\nX-Comfreybend-Model: m\r\nX-Comfreybend-Token-Usage: 1460,80\r\nX-Comfreybend-Prompt-Prefix: " + promptOf(bytes) +
		"\r\nX-Comfreybend-Deadline-Ms: 8000\r\nAuthorization: Bearer " + prefixKey + "\r\nContent-Length: " + fmt.Sprint(bytes) +
		"\r\n\r\n" + strings.Repeat("x", bytes)
}
