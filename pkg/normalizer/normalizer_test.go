package normalizer_test

import (
	"fmt"
	"testing"

	"github.com/comfreybend/comfreybend/pkg/normalizer"
)

func ExamplePath() {
	fmt.Println(normalizer.Path("/%66iles%2forder-17/café"))
	// Output: /files%2Forder-17/caf%C3%A9
}

// TestPath guards against equivalent paths that differ, and different ones that do not.
func TestPath(t *testing.T) {
	tests := map[string]struct{ path, want string }{
		"plain":                 {path: "/files/a-b_c.d~e", want: "/files/a-b_c.d~e"},
		"encoded slash":         {path: "/files%2Forder-17", want: "/files%2Forder-17"},
		"encoded question mark": {path: "/a%3fb", want: "/a%3Fb"},
		"unreserved, encoded":   {path: "/%66%69les/%7E", want: "/files/~"},
		"space":                 {path: "/a%20b/", want: "/a%20b/"},
		"bytes":                 {path: "/caf\xc3\xa9/", want: "/caf%C3%A9/"},
		"encoded bytes":         {path: "/caf%c3%A9/", want: "/caf%C3%A9/"},
		"encoded percent sign":  {path: "/%2566", want: "/%2566"},
		"no encoding":           {path: "/100%/%zz%4", want: "/100%/%zz%4"},
		"empty":                 {},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := normalizer.Path(test.path); got != test.want {
				t.Errorf("path %q, want %q", got, test.want)
			}
		})
	}
}

func FuzzPath(f *testing.F) {
	f.Add("/%66iles%2forder-17/caf\xc3\xa9%")
	f.Fuzz(func(t *testing.T, path string) {
		if once := normalizer.Path(path); normalizer.Path(once) != once {
			t.Errorf("%q becomes %q and then %q", path, once, normalizer.Path(once))
		}
	})
}
