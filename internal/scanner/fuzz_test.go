package scanner

import (
	"bytes"
	"errors"
	"io"
	"testing"

	"github.com/comfreybend/comfreybend/internal/bufferer"
)

// FuzzNext checks that the events of any stream are its bytes from the start, none twice and none
// missing, and that no buffer grows beyond its limit.
func FuzzNext(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: comment\n\n"))
	f.Add([]byte("id: 1\ndata: [DONE]\n\nid: 2\nevent: error\ndata: {\"usage\":{}}\ndata: [DONE]\r\n\r\nid: 3\ndata: 0\r\n\n"))
	f.Add([]byte("id: 18446744073709551616\ndata\n\n\n\ndata: unfinished"))
	f.Fuzz(func(t *testing.T, stream []byte) {
		const limit = 4 << 10
		pool := bufferer.New(limit)
		raw := pool.NewBuffer(limit)
		s := New(bytes.NewReader(stream), raw)
		read := 0
		for {
			e, err := s.Next()
			if err != nil {
				if !errors.Is(err, io.EOF) && read+limit > len(stream) {
					t.Fatalf("%d of %d bytes read: %v", read, len(stream), err)
				}
				break
			}
			if len(e.Raw) > limit || !bytes.HasPrefix(stream[read:], e.Raw) || len(e.Raw) == 0 {
				t.Fatalf("the event %q does not follow the first %d bytes of %q", e.Raw, read, stream)
			}
			read += len(e.Raw)
		}
		raw.Release()
		if pool.Left() != limit {
			t.Errorf("%d bytes of the buffer are left, want %d", pool.Left(), limit)
		}
	})
}
