package ingester

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/comfreybend/comfreybend/internal/bufferer"
	"github.com/comfreybend/comfreybend/pkg/timer"
	"github.com/comfreybend/comfreybend/schema/settings"
)

// TestKeptBodies guards against bodies of requests in progress that take memory which is not counted, and against
// large ones that leave none for small ones.
func TestKeptBodies(t *testing.T) {
	const limit, memory = 1 << 20, 8 << 20
	tests := map[string]struct {
		size int
		// most is the largest number of such bodies that may be kept at the same time.
		most int
		// small is whether a small body finds memory beside them.
		small bool
	}{
		"tiny":    {size: 1 << 10, most: 1000, small: true},
		"small":   {size: 30 << 10, most: memory / (26 << 10)},
		"medium":  {size: 60 << 10, most: memory * 3 / 4 / (56 << 10), small: true},
		"largest": {size: limit, most: 6, small: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			i := New(&settings.CallerLimits{BodyBytes: limit, BodyMemoryBytes: memory}, timer.Now)
			read := func(size int) (*Body, error) {
				return i.Read(httptest.NewRequest(http.MethodPost, "/", strings.NewReader(strings.Repeat("x", size))))
			}
			var kept []*Body
			for len(kept) < 1000 {
				body, err := read(test.size)
				if errors.As(err, new(*NoMemoryError)) {
					break
				}
				if err != nil {
					t.Fatal(err)
				}
				kept = append(kept, body)
			}
			if len(kept) > test.most || len(kept) < test.most*9/10 {
				t.Errorf("%d bodies of %d bytes are kept, want %d at most and nine in ten of that", len(kept), test.size, test.most)
			}
			if _, err := read(bufferer.FreeBytes / 2); (err == nil) != test.small {
				t.Errorf("a small body beside %d bodies of %d bytes: error %v, want none: %t", len(kept), test.size, err, test.small)
			}
			for _, body := range kept {
				body.Release()
			}
		})
	}
}
