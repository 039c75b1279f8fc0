package integration

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/comfreybend/comfreybend/internal/emulator"
	"github.com/comfreybend/comfreybend/internal/operator"
	"github.com/comfreybend/comfreybend/schema/settings"
	"github.com/comfreybend/comfreybend/schema/state"
)

const (
	freshness    = 5 * time.Second
	syncInterval = 200 * time.Millisecond
	election     = 500 * time.Millisecond
	heartbeat    = 50 * time.Millisecond

	// startWithin bounds the start of a system on a busy machine.
	startWithin = 60 * time.Second
	pollPause   = 20 * time.Millisecond
)

type (
	// layout describes the processes of a system.
	layout struct {
		controls int
		// entries lists the failure domain of each entry process.
		entries []string
		// adjustEntry and adjustControl change settings before the start.
		adjustEntry   func(*settings.Settings)
		adjustControl func(*settings.Settings)
	}

	controlProcess struct {
		*process
		id       string
		peer     string
		operator string
		folder   string
		settings string
	}

	entryProcess struct {
		*process
		id       string
		domain   string
		caller   string
		upstream string
		status   string
		peer     string
		settings string
	}

	upstreamProcess struct {
		*process
		id  string
		url string
	}

	// system is a whole deployment of separate processes whose links can be cut.
	system struct {
		t        testing.TB
		network  *network
		folder   string
		token    string
		controls []*controlProcess
		entries  []*entryProcess
	}
)

// nextPort is the port that freeAddress tries next.
var nextPort atomic.Int64

// freeAddress returns a loopback address whose port is free. Ports come from
// below the range from which the system takes ports for outgoing connections
// and for listeners without a port, so that nothing else takes them before use.
func freeAddress(t testing.TB) string {
	t.Helper()
	const (
		lowest = 12_000
		ports  = 18_000
	)
	nextPort.CompareAndSwap(0, int64(os.Getpid()*97%ports))
	for range ports {
		address := fmt.Sprintf("127.0.0.1:%d", lowest+nextPort.Add(1)%ports)
		l, err := net.Listen("tcp", address)
		if err == nil {
			_ = l.Close()
			return address
		}
	}
	t.Fatal("no port is free")
	return ""
}

// eventually polls until check returns nil, at most for within.
func eventually(t testing.TB, within time.Duration, check func() error) {
	t.Helper()
	end := time.Now().Add(within)
	for {
		err := check()
		if err == nil {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("not within %v: %v", within, err)
		}
		time.Sleep(pollPause)
	}
}

// startSystem starts the processes of a layout and waits until they are ready.
func startSystem(t testing.TB, l layout) *system {
	t.Helper()
	s := &system{t: t, network: newNetwork(t), folder: t.TempDir()}
	s.token = s.writeOperators()
	for i := range l.controls {
		s.controls = append(s.controls, &controlProcess{
			id:       fmt.Sprintf("control-%d", i+1),
			peer:     freeAddress(t),
			operator: freeAddress(t),
			folder:   filepath.Join(s.folder, fmt.Sprintf("data-%d", i+1)),
		})
	}
	for i, domain := range l.entries {
		s.entries = append(s.entries, &entryProcess{
			id:       fmt.Sprintf("entry-%d", i+1),
			domain:   domain,
			caller:   freeAddress(t),
			upstream: freeAddress(t),
			status:   freeAddress(t),
			peer:     freeAddress(t),
		})
	}
	for _, c := range s.controls {
		c.settings = s.writeSettings(c.id, s.controlSettings(c), l.adjustControl)
		c.process = startProcess(t, c.id, "control", "--settings", c.settings)
	}
	for _, e := range s.entries {
		e.settings = s.writeSettings(e.id, s.entrySettings(e), l.adjustEntry)
		e.process = startProcess(t, e.id, "entry", "--settings", e.settings)
	}
	s.leader()
	for _, e := range s.entries {
		eventually(t, startWithin, e.ready)
	}
	return s
}

// writeOperators writes the operator token file and returns the token.
func (s *system) writeOperators() string {
	s.t.Helper()
	token, hash := operator.NewToken()
	s.writeFile("operators.json", []byte(fmt.Sprintf("{%q: %q}", "tester", hash)))
	return token
}

func (s *system) writeFile(name string, data []byte) string {
	s.t.Helper()
	path := filepath.Join(s.folder, name)
	if err := os.WriteFile(path, data, 0o600); err != nil {
		s.t.Fatal(err)
	}
	return path
}

func (s *system) writeSettings(id string, file *settings.Settings, adjust func(*settings.Settings)) string {
	s.t.Helper()
	if adjust != nil {
		adjust(file)
	}
	data, err := protojson.Marshal(file)
	if err != nil {
		s.t.Fatal(err)
	}
	return s.writeFile(id+".json", data)
}

func (s *system) controlSettings(c *controlProcess) *settings.Settings {
	file := &settings.Settings{
		Host:    &settings.Host{Id: c.id, FailureDomain: "control"},
		Logging: &settings.Logging{Level: "debug"},
		Control: &settings.Control{
			PeerListen:        c.peer,
			OperatorListen:    c.operator,
			StatusListen:      freeAddress(s.t),
			DataFolder:        c.folder,
			OperatorTokenFile: filepath.Join(s.folder, "operators.json"),
			HeartbeatInterval: durationpb.New(heartbeat),
			ElectionTimeout:   durationpb.New(election),
			Ordering:          &settings.Ordering{Timeout: durationpb.New(election / 2)},
		},
	}
	for _, other := range s.controls {
		address := other.peer
		if other != c {
			address = s.network.link(c.id, other.id, other.peer)
		}
		file.Control.Peers = append(file.Control.Peers, &settings.ControlPeer{Id: other.id, Address: address})
	}
	return file
}

func (s *system) entrySettings(e *entryProcess) *settings.Settings {
	file := &settings.Settings{
		Host:    &settings.Host{Id: e.id, FailureDomain: e.domain},
		Logging: &settings.Logging{Level: "debug"},
		Entry: &settings.Entry{
			CallerListen:   e.caller,
			UpstreamListen: e.upstream,
			StatusListen:   e.status,
			PeerListen:     e.peer,
			Freshness:      durationpb.New(freshness),
			SyncInterval:   durationpb.New(syncInterval),
			ShutdownDelay:  durationpb.New(100 * time.Millisecond),
		},
	}
	for _, c := range s.controls {
		file.Entry.ControlAddresses = append(file.Entry.ControlAddresses, s.network.link(e.id, c.id, c.peer))
	}
	for _, other := range s.entries {
		if other != e {
			file.Entry.PeerAddresses = append(file.Entry.PeerAddresses, s.network.link(e.id, other.id, other.peer))
		}
	}
	return file
}

// ready returns nil once the process takes work.
func (e *entryProcess) ready() error {
	response, err := http.Get("http://" + e.status + "/readyz")
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("readiness of %s: %s", e.id, response.Status)
	}
	return nil
}

// operator returns a client of all control processes, or of the named ones.
func (s *system) operator(ids ...string) *operator.Client {
	var urls []string
	for _, c := range s.controls {
		wanted := len(ids) == 0
		for _, id := range ids {
			wanted = wanted || id == c.id
		}
		if wanted {
			urls = append(urls, "http://"+c.operator)
		}
	}
	return operator.New(urls, s.token)
}

// configure applies the configuration that the tests share.
func (s *system) configure() {
	s.t.Helper()
	op := &state.Operation{Kind: &state.Operation_ApplyConfiguration{ApplyConfiguration: sharedConfiguration()}}
	if _, err := s.operator().Change(s.t.Context(), op, -1, ""); err != nil {
		s.t.Fatal(err)
	}
}

func sharedConfiguration() *state.Configuration {
	whole := func(d time.Duration) *state.Target { return &state.Target{WholeAnswer: durationpb.New(d)} }
	return &state.Configuration{
		Classes: []*state.Class{
			{Name: "chat", Tier: 1, Target: whole(60 * time.Second)},
			{Name: "batch", Tier: 3, Target: whole(60 * time.Second)},
			{Name: "order", Tier: 1, Target: whole(20 * time.Second)},
		},
		Routes: []*state.Route{
			{Name: "completions", PathPrefix: "/v1/", Kind: "model", Classes: []string{"chat", "batch"}},
			{Name: "public", PathPrefix: "/public", Kind: "service", Service: "orders", Classes: []string{"order"}, OpenToAll: true},
			{
				Name: "orders", PathPrefix: "/orders", Kind: "service", Service: "orders",
				Classes: []string{"order"}, NonIdempotentMethods: []string{http.MethodPost},
			},
		},
		Organisations: []*state.Organisation{{Id: "one"}, {Id: "two"}},
	}
}

// grant returns a new key of an organisation.
func (s *system) grant(organisation string) *operator.GrantedKey {
	s.t.Helper()
	granted, err := s.operator().GrantKey(s.t.Context(), organisation, -1, "")
	if err != nil {
		s.t.Fatal(err)
	}
	return granted
}

// inForce waits until every given entry process answers with a key.
func (s *system) inForce(key string, entries ...*entryProcess) {
	s.t.Helper()
	for _, e := range entries {
		eventually(s.t, startWithin, func() error {
			a := e.get("/orders/none", key)
			if a.status != http.StatusOK {
				return fmt.Errorf("%s answers %d: %s", e.id, a.status, a.body)
			}
			return nil
		})
	}
}

// served waits until a model request is answered by an entry process.
func (s *system) served(e *entryProcess, key string) {
	s.t.Helper()
	eventually(s.t, startWithin, func() error {
		if a := e.complete(key, 1); a.status != http.StatusOK || a.err != nil {
			return fmt.Errorf("%s answers %d: %s, %w", e.id, a.status, a.body, errors.Join(a.err))
		}
		return nil
	})
}

// startUpstream starts a stand-in that announces itself to the given entry processes.
func (s *system) startUpstream(id, domain, kind, serves string, entries []*entryProcess, flags ...string) *upstreamProcess {
	s.t.Helper()
	listen := freeAddress(s.t)
	args := []string{
		"emulate", "--id", id, "--failure-domain", domain, "--kind", kind, "--serves", serves,
		"--listen", listen, "--announce-interval", "200ms",
	}
	for _, e := range entries {
		args = append(args, "--announce", "http://"+e.upstream)
	}
	p := startProcess(s.t, id, append(args, flags...)...)
	u := &upstreamProcess{process: p, id: id, url: "http://" + listen}
	eventually(s.t, startWithin, func() error {
		response, err := http.Get(u.url + "/emulator/v1/stats")
		if err == nil {
			_ = response.Body.Close()
		}
		return err
	})
	return u
}

// stats returns what a stand-in has seen.
func (u *upstreamProcess) stats(t testing.TB) emulator.Stats {
	t.Helper()
	response, err := http.Get(u.url + "/emulator/v1/stats")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	var stats emulator.Stats
	if err = json.NewDecoder(response.Body).Decode(&stats); err != nil {
		t.Fatal(err)
	}
	return stats
}
