package assembler

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/comfreybend/comfreybend/internal/announcer"
	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/schema/wire"
)

// FuzzDecodeUpstreams checks that no table of another process, whatever its bytes, stops this one or
// makes an upstream known for longer than its lease.
func FuzzDecodeUpstreams(f *testing.F) {
	valid, err := proto.Marshal(&wire.Upstreams{Upstreams: []*wire.Upstream{{Id: "a", Incarnation: 7, Sequence: 1, Url: "http://10.0.0.1:8000", Kind: "service", Serves: []string{"s"}, State: "serving"}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid, int64(0))
	f.Add(valid, int64(-1<<62))
	f.Add([]byte{10, 0}, int64(1<<62))
	f.Fuzz(func(t *testing.T, data []byte, age int64) {
		const (
			now   = time.Hour
			lease = 10 * time.Second
		)
		reply := &wire.FollowReply{EncodedUpstreams: data, EncodedAgeMillis: age}
		if DecodeUpstreams(reply) != nil {
			return
		}
		registry := registrar.NewExclusive(lease)
		for _, u := range reply.GetUpstreams() {
			registry.Announce(now, announcer.FromWire(u, now))
		}
		registry.Expire(now + lease)
		if n := registry.Len(); n > 0 {
			t.Errorf("%d upstreams are known after the lease: %+v", n, registry.All()[0])
		}
	})
}
