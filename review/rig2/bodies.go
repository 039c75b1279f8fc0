//go:build review

package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	bodyReplicas = 24
	bodySlots    = 128
	// crowdConns is the number of channels that the requesters of a crowd open to each edge machine, and crowdBytes the size
	// of their bodies.
	crowdConns = 2700
	crowdBytes = 60500
	// crowdTime is the time over which they are opened: the link carries 1,000 Mbit/s.
	crowdTime    = 1500 * time.Millisecond
	crowdLimit   = 10 * time.Second
	crowdPause   = 2 * time.Second
	crowdEvents  = 24
	crowdGap     = 250 * time.Millisecond
	memoryPoll   = 20 * time.Millisecond
	maxOwnEnds   = 2
	minMachines  = 2
	crowdRounds  = 3
	ordinaryRate = 10
)

// memory returns the anonymous memory of a process and all that is resident, in bytes.
func (h *host) memory() (anonymous, resident int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.command == nil {
		return 0, 0
	}
	content, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.command.Process.Pid))
	read := func(name string) int {
		_, rest, _ := strings.Cut(string(content), name)
		var kb int
		_, _ = fmt.Sscan(rest, &kb)
		return kb << 10
	}
	return read("RssAnon:"), read("VmRSS:")
}

// unread returns the bytes that have arrived for an IP address and have not been read, also on connections that are
// not accepted yet.
func unread(ip string) int {
	own := ""
	for _, part := range strings.Split(ip, ".") {
		k, _ := strconv.Atoi(part)
		own = fmt.Sprintf("%02X", k) + own
	}
	table, _ := os.ReadFile("/proc/self/net/tcp")
	total := 0
	const listening = "0A"
	for _, line := range lines(string(table)) {
		// The fields are number, local, remote, state, queues.
		f := strings.Fields(line)
		if len(f) < 5 || f[3] == listening || !strings.HasPrefix(f[1], own+":") {
			continue
		}
		_, received, _ := strings.Cut(f[4], ":")
		n, _ := strconv.ParseInt(received, 16, 64)
		total += int(n)
	}
	return total
}

// watchMemory ends a process that takes more than its machine has, as the platform does, until ctx ends. It counts the
// anonymous memory and the bytes that are not read, and not the pages of the program's file.
func (h *host) watchMemory(ctx context.Context) (peak int) {
	for ctx.Err() == nil {
		anonymous, resident := h.memory()
		waiting := unread(h.ip)
		peak = max(peak, anonymous+waiting)
		if anonymous+waiting > memoryMB<<20 {
			h.s.record.add("%s takes %d MB and has %d MB unread (%d MB resident): the platform ends the process", h.name, anonymous>>20, waiting>>20, resident>>20)
			h.mu.Lock()
			ended := h.ended
			h.mu.Unlock()
			h.signal(syscall.SIGKILL)
			<-ended
			time.Sleep(2 * restartDelay)
		}
		time.Sleep(memoryPoll)
	}
	return peak
}

// crowd sends requests with large bodies to an edge machine, and reads the answers. It tells ended, if that is not nil, of
// each request that was sent and got no answer, when its channel has ended.
func (s *system) crowd(h *host, size int, ended func(id string, after time.Duration)) map[string]int {
	var (
		sending sync.WaitGroup
		mu      sync.Mutex
	)
	results := map[string]int{}
	body := strings.Repeat("b", size)
	for range crowdConns {
		time.Sleep(crowdTime / crowdConns)
		sending.Go(func() {
			result := "no channel"
			defer func() {
				mu.Lock()
				defer mu.Unlock()
				results[result]++
			}()
			conn, err := net.DialTimeout("tcp", s.address(h.ip, offsetFrontend), time.Second)
			if err != nil {
				return
			}
			defer func() { _ = conn.Close() }()
			began := time.Now()
			id := fmt.Sprintf("%016x", 0x5c41d07be2a30000+attempts.Add(1))
			_ = conn.SetDeadline(began.Add(crowdLimit))
			_, err = fmt.Fprintf(conn, "POST /lohu930/2f HTTP/1.1\r\nHost: %s\r\nX-Comfreybend-Attempt-Id: %s\r\nX-Comfreybend-Deadline-Ms: %d\r\nX-Comfreybend-Model: m\r\n"+
				"X-Comfreybend-Token-Usage: 3720,96\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
				serverName, id, crowdLimit.Milliseconds(), apiKey, len(body), body)
			result = "no answer"
			if err != nil {
				return
			}
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				if ended != nil {
					ended(id, time.Since(began))
				}
				return
			}
			defer func() { _ = response.Body.Close() }()
			result = strconv.Itoa(response.StatusCode)
			if _, err = io.Copy(io.Discard, response.Body); err != nil {
				result += ", cut off"
			}
		})
	}
	sending.Wait()
	return results
}

func init() { cases["bodies"] = playBodies }

// playBodies has requesters send many large bodies at once to two edge machines, a few times.
func playBodies(r *record, binary string, trouble bool) (int, error) {
	s, err := newSystem(binary, r, 2, 3)
	if err != nil {
		return failed, err
	}
	defer s.close()
	if err = s.configure(config(7)); err != nil {
		return failed, err
	}
	var runs atomic.Int64
	for n := range bodyReplicas {
		p := s.newReplica(n, pool, bodySlots)
		p.work, p.events, p.silent = crowdGap, crowdEvents, true
		p.begun = func(string) { runs.Add(1) }
		if err = p.start("v1"); err != nil {
			return failed, err
		}
		if err = p.awaitKnown(); err != nil {
			return failed, err
		}
	}
	if err = s.awaitReady(); err != nil {
		return failed, err
	}
	time.Sleep(2 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var watching sync.WaitGroup
	for _, h := range s.of("entry") {
		watching.Go(func() {
			peak := h.watchMemory(ctx)
			r.add("%s: %d MB at the most, of %d; the process ended by itself %d times", h.name, peak>>20, memoryMB, h.ends)
			fmt.Printf("%s: %d MB at the most, of %d; the process ended by itself %d times\n", h.name, peak>>20, memoryMB, h.ends)
		})
	}
	size := crowdBytes
	if !trouble {
		size = 500
	}
	for range crowdRounds {
		for _, h := range s.of("entry") {
			before := runs.Load()
			results := s.crowd(h, size, nil)
			r.add("%s: %d requests with %d bytes each, answers by status: %v; replicas began to run %d", h.name, crowdConns, size, results, runs.Load()-before)
			time.Sleep(crowdPause)
		}
	}
	cancel()
	watching.Wait()
	machines := 0
	for _, h := range s.of("entry") {
		if h.ends > maxOwnEnds {
			machines++
		}
	}
	if machines >= minMachines {
		return broken, nil
	}
	return held, nil
}
