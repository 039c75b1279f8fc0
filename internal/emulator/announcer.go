package emulator

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"github.com/comfreybend/comfreybend/schema/wire"
)

const announceTimeout = time.Second

// announceLoop sends announcements and cache events until ctx is done. Successive
// announcements start with different entry processes, cache events always with the first.
func (u *Upstream) announceLoop(ctx context.Context) error {
	ticker := time.NewTicker(u.config.AnnounceInterval)
	defer ticker.Stop()
	for {
		u.announce(ctx)
		u.publishCacheEvent(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// announce tries the entry processes in turn until one accepts the announcement.
func (u *Upstream) announce(ctx context.Context) {
	body, first := u.announcement()
	for i := range u.config.Announce {
		target := u.config.Announce[(first+i)%len(u.config.Announce)]
		if post(ctx, target+"/upstream/v1/announcements", body) {
			return
		}
	}
}

// publishCacheEvent publishes the prefixes cached since the previous event. If no entry
// process accepts the event, its prefixes are not published again.
func (u *Upstream) publishCacheEvent(ctx context.Context) {
	u.mu.Lock()
	stored := u.unpublishedPrefixes
	u.unpublishedPrefixes = nil
	if len(stored) > 0 {
		u.cacheSequence++
	}
	event := &wire.CacheEvent{
		Upstream: u.config.ID, Incarnation: u.incarnation, Sequence: u.cacheSequence, Stored: stored,
	}
	u.mu.Unlock()
	if len(stored) == 0 {
		return
	}
	body, err := protojson.Marshal(event)
	if err != nil {
		panic(err)
	}
	for _, target := range u.config.Announce {
		if post(ctx, target+"/upstream/v1/cacheEvents", body) {
			return
		}
	}
}

// announcement returns the next announcement and its sequence number, which also
// selects the entry process to try first.
func (u *Upstream) announcement() ([]byte, int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sequence++
	state := "serving"
	if u.leaving {
		state = "leaving"
	}
	load := u.batch.delayedLoad(u.config.ReportLag)
	body, err := protojson.Marshal(&wire.Upstream{
		Id:            u.config.ID,
		Incarnation:   u.incarnation,
		Sequence:      u.sequence,
		Url:           u.url,
		FailureDomain: u.config.FailureDomain,
		Kind:          u.config.Kind,
		Serves:        u.config.Serves,
		State:         state,
		Version:       u.config.Version,
		Preemptible:   u.config.Preemptible,
		Load: &wire.Load{
			Running:   int32(load.running),
			Waiting:   int32(load.waiting),
			Slots:     int32(u.config.Slots),
			AgeMillis: u.config.ReportLag.Milliseconds(),
		},
	})
	if err != nil {
		panic(err)
	}
	return body, int(u.sequence)
}

// post sends a document to an entry process and reports whether it was accepted.
func post(ctx context.Context, url string, body []byte) bool {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost,
		url, bytes.NewReader(body))
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode/100 == 2
}
