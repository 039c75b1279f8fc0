package scrubber

import (
	"net/http"
	"reflect"
	"testing"
)

func TestRequest(t *testing.T) {
	from := http.Header{
		"Authorization": {"Bearer secret"}, "Cookie": {"a=b"}, "Connection": {"Own, close"}, "Own": {"1"}, "Te": {"trailers"},
		"Content-Length": {"3"}, "Accept-Encoding": {"gzip"}, "Copy": {"x secret x", "kept"}, "Dropped": {"1"}, "Kept": {"1", "2"},
	}
	got := Request(from, "secret", func(name string) bool { return name == "Dropped" })
	if want := (http.Header{"Copy": {"kept"}, "Kept": {"1", "2"}}); !reflect.DeepEqual(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}
