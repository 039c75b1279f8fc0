package assembler

import (
	"fmt"
	"testing"

	"github.com/comfreybend/comfreybend/schema/wire"
)

// TestAdd guards against parts of two contents that are put together, and against contents that
// never end.
func TestAdd(t *testing.T) {
	part := func(digest uint64, offset, size int64, data string) *wire.FetchReply {
		return &wire.FetchReply{Digest: digest, Offset: offset, Size: size, Data: []byte(data)}
	}
	tests := map[string]struct {
		parts []*wire.FetchReply
		// want is the content, failed whether the last part is rejected.
		want     string
		complete bool
		failed   bool
	}{
		"one part":                        {parts: []*wire.FetchReply{part(1, 0, 3, "abc")}, want: "abc", complete: true},
		"two parts":                       {parts: []*wire.FetchReply{part(1, 0, 3, "ab"), part(1, 2, 3, "c")}, want: "abc", complete: true},
		"another content begins":          {parts: []*wire.FetchReply{part(1, 0, 3, "ab"), part(2, 0, 2, "x")}, want: "x"},
		"another content in its middle":   {parts: []*wire.FetchReply{part(1, 0, 3, "ab"), part(2, 2, 3, "x")}, failed: true},
		"a gap":                           {parts: []*wire.FetchReply{part(1, 0, 4, "a"), part(1, 2, 4, "c")}, want: "a", failed: true},
		"more than the content":           {parts: []*wire.FetchReply{part(1, 0, 2, "abc")}, failed: true},
		"an empty part":                   {parts: []*wire.FetchReply{part(1, 0, 2, "")}, failed: true},
		"a content that is far too large": {parts: []*wire.FetchReply{part(1, 0, maxBytes+1, "a")}, failed: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			transfer := &Transfer{}
			var err error
			for _, p := range test.parts {
				err = transfer.Add(p)
			}
			if string(transfer.Data) != test.want || transfer.Complete() != test.complete || (err != nil) != test.failed {
				t.Errorf("content %q, complete %t, error %v; want %q, %t, failed %t", transfer.Data, transfer.Complete(), err, test.want, test.complete, test.failed)
			}
		})
	}
}

func ExampleTransfer() {
	t := &Transfer{}
	for _, p := range []*wire.FetchReply{{Digest: 1, Size: 4, Data: []byte("ab")}, {Digest: 1, Size: 4, Offset: 2, Data: []byte("cd")}} {
		if err := t.Add(p); err != nil {
			fmt.Println(err)
		}
	}
	fmt.Println(string(t.Data), t.Complete())
	// Output: abcd true
}
