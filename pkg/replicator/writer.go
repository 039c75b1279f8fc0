package replicator

import (
	"context"
	"slices"
	"time"

	"github.com/comfreybend/comfreybend/schema/replication"
)

type (
	// journalWrite is a write to the journal and what follows once it is done.
	journalWrite struct {
		// record is to be appended; nil if there is nothing to append.
		record *replication.Record
		// snapshot is to be saved, with the hard state and entries in record; nil if none is.
		snapshot *replication.Snapshot
		// persisted is passed to the core, and messages are sent, when the write is done.
		persisted *Persisted
		messages  []*replication.Message
	}

	// journalWriter performs the writes to the journal one after the other in a goroutine of
	// its own. Its methods are called by the node's goroutine only, except for write and retry.
	journalWriter struct {
		appendRecord func(*replication.Record) error
		saveSnapshot func(*replication.Snapshot, *replication.HardState, []*replication.Entry) error
		isRetryable  func(error) bool
		// waiting holds the writes that have not been started, and started those in progress.
		waiting, started []journalWrite
		// unwrittenBytes is the size of the entries in all of these.
		unwrittenBytes int
		// done receives the result of the started writes.
		done chan error
	}
)

func newJournalWriter(
	appendRecord func(*replication.Record) error,
	saveSnapshot func(*replication.Snapshot, *replication.HardState, []*replication.Entry) error,
	isRetryable func(error) bool,
) *journalWriter {
	return &journalWriter{appendRecord: appendRecord, saveSnapshot: saveSnapshot, isRetryable: isRetryable, done: make(chan error, 1)}
}

// add adds a write.
func (w *journalWriter) add(write journalWrite) {
	w.waiting = append(w.waiting, write)
	w.unwrittenBytes += entryBytes(write.record.GetEntries())
}

// entryBytes returns the size of the data of entries.
func entryBytes(entries []*replication.Entry) int {
	size := 0
	for _, e := range entries {
		size += len(e.GetData())
	}
	return size
}

// isIdle reports whether all writes are done.
func (w *journalWriter) isIdle() bool { return len(w.waiting) == 0 && len(w.started) == 0 }

// start starts the writes that wait, up to the next snapshot, unless others are in progress.
// The records among them become one, so that they share one synced write.
func (w *journalWriter) start(ctx context.Context) {
	if len(w.started) > 0 || len(w.waiting) == 0 {
		return
	}
	n := 1
	for w.waiting[0].snapshot == nil && n < len(w.waiting) && w.waiting[n].snapshot == nil {
		n++
	}
	w.started, w.waiting = w.waiting[:n:n], slices.Clone(w.waiting[n:])
	write := w.started[0]
	if n > 1 {
		write.record = mergeRecords(w.started)
	}
	go func() { w.done <- w.write(ctx, write) }()
}

// mergeRecords returns one record with the same effect as those of the writes.
func mergeRecords(writes []journalWrite) *replication.Record {
	var merged *replication.Record
	for _, write := range writes {
		if write.record == nil {
			continue
		}
		if merged == nil {
			merged = &replication.Record{}
		}
		merged.HardState = write.record.GetHardState()
		merged.Entries = append(merged.Entries, write.record.GetEntries()...)
	}
	return merged
}

// write performs one write. An append is repeated until it succeeds, fails with an error that
// is not retryable, or ctx ends. A snapshot is not: it is taken again later.
func (w *journalWriter) write(ctx context.Context, write journalWrite) error {
	switch {
	case write.snapshot != nil:
		return w.saveSnapshot(write.snapshot, write.record.GetHardState(), write.record.GetEntries())
	case write.record == nil:
		return nil
	default:
		return w.retry(ctx, func() error { return w.appendRecord(write.record) })
	}
}

// retry calls write until it succeeds, fails with an error that is not retryable, or ctx ends.
func (w *journalWriter) retry(ctx context.Context, write func() error) error {
	for {
		err := write()
		if err == nil || !w.isRetryable(err) {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(diskRetryInterval):
		}
	}
}

// takeStarted returns the started writes, after done has received their result.
func (w *journalWriter) takeStarted() []journalWrite {
	finished := w.started
	w.started = nil
	for _, write := range finished {
		w.unwrittenBytes -= entryBytes(write.record.GetEntries())
	}
	return finished
}

// wait waits until no write is in progress, and returns the result of the last one. Waiting
// ones are not started any more.
func (w *journalWriter) wait() error {
	if len(w.takeStarted()) == 0 {
		return nil
	}
	return <-w.done
}
