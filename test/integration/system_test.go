package integration

import (
	"cmp"
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
	freshness         = 5 * time.Second
	syncInterval      = 200 * time.Millisecond
	electionTimeout   = 500 * time.Millisecond
	heartbeatInterval = 50 * time.Millisecond

	// waitTimeout bounds each wait for a condition, including the start of a system on a busy machine.
	waitTimeout  = 60 * time.Second
	pollInterval = 20 * time.Millisecond
)

type (
	// layout describes the processes of a system.
	layout struct {
		controls int
		// entries lists the failure domain of each entry process.
		entries []string
		// program is the one that the processes run, the one under test if it is empty.
		program string
		// adjustEntry and adjustControl change settings before the start.
		adjustEntry   func(*settings.Settings)
		adjustControl func(*settings.Settings)
	}

	controlProcess struct {
		*process
		id              string
		peerAddress     string
		operatorAddress string
		dataFolder      string
		settingsFile    string
	}

	entryProcess struct {
		*process
		id              string
		domain          string
		clientAddress   string
		upstreamAddress string
		statusAddress   string
		peerAddress     string
		settingsFile    string
	}

	upstreamProcess struct {
		*process
		id  string
		url string
	}

	// system is a deployment of separate processes that are connected through fault-injecting proxies.
	system struct {
		t        testing.TB
		network  *network
		folder   string
		token    string
		controls []*controlProcess
		entries  []*entryProcess
	}
)

// portOffset is the offset of the port that freeAddress tried last within its range.
var portOffset atomic.Int64

// freeAddress returns a loopback address whose port is free. Ports are below the
// ephemeral range, so that no outgoing connection and no listener on port 0 takes
// one before it is used.
func freeAddress(t testing.TB) string {
	t.Helper()
	const (
		firstPort = 12_000
		portCount = 18_000
	)
	portOffset.CompareAndSwap(0, int64(os.Getpid()*97%portCount))
	for range portCount {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+portOffset.Add(1)%portCount)
		l, err := net.Listen("tcp", address)
		if err == nil {
			_ = l.Close()
			return address
		}
	}
	t.Fatal("no free port")
	return ""
}

// eventually polls until check returns nil, and fails the test after the timeout.
func eventually(t testing.TB, timeout time.Duration, check func() error) {
	t.Helper()
	deadline := time.Now().Add(timeout)
	for {
		err := check()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("condition not met within %v: %v", timeout, err)
		}
		time.Sleep(pollInterval)
	}
}

// startSystem starts the processes of a layout and waits until they are ready.
func startSystem(t testing.TB, l layout) *system {
	t.Helper()
	s := &system{t: t, network: newNetwork(t), folder: t.TempDir()}
	s.token = s.writeOperatorTokens()
	for i := range l.controls {
		s.controls = append(s.controls, &controlProcess{
			id:              fmt.Sprintf("control-%d", i+1),
			peerAddress:     freeAddress(t),
			operatorAddress: freeAddress(t),
			dataFolder:      filepath.Join(s.folder, fmt.Sprintf("data-%d", i+1)),
		})
	}
	for i, domain := range l.entries {
		s.entries = append(s.entries, &entryProcess{
			id:              fmt.Sprintf("entry-%d", i+1),
			domain:          domain,
			clientAddress:   freeAddress(t),
			upstreamAddress: freeAddress(t),
			statusAddress:   freeAddress(t),
			peerAddress:     freeAddress(t),
		})
	}
	for _, c := range s.controls {
		c.settingsFile = s.writeSettings(c.id, s.controlSettings(c), l.adjustControl)
		c.process = newProcess(t, cmp.Or(l.program, binary), c.id, "control", "--settings", c.settingsFile)
		c.start()
	}
	for _, e := range s.entries {
		e.settingsFile = s.writeSettings(e.id, s.entrySettings(e), l.adjustEntry)
		e.process = newProcess(t, cmp.Or(l.program, binary), e.id, "entry", "--settings", e.settingsFile)
		e.start()
	}
	s.leader()
	for _, e := range s.entries {
		eventually(t, waitTimeout, e.ready)
	}
	return s
}

// writeOperatorTokens writes the operator token file and returns the token.
func (s *system) writeOperatorTokens() string {
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
			PeerListen:        c.peerAddress,
			OperatorListen:    c.operatorAddress,
			StatusListen:      freeAddress(s.t),
			DataFolder:        c.dataFolder,
			OperatorTokenFile: filepath.Join(s.folder, "operators.json"),
			HeartbeatInterval: durationpb.New(heartbeatInterval),
			ElectionTimeout:   durationpb.New(electionTimeout),
			Ordering:          &settings.Ordering{Timeout: durationpb.New(electionTimeout / 2)},
		},
	}
	for _, other := range s.controls {
		address := other.peerAddress
		if other != c {
			address = s.network.link(c.id, other.id, other.peerAddress)
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
			CallerListen:   e.clientAddress,
			UpstreamListen: e.upstreamAddress,
			StatusListen:   e.statusAddress,
			PeerListen:     e.peerAddress,
			Freshness:      durationpb.New(freshness),
			SyncInterval:   durationpb.New(syncInterval),
			ShutdownDelay:  durationpb.New(100 * time.Millisecond),
		},
	}
	for _, c := range s.controls {
		file.Entry.ControlAddresses = append(file.Entry.ControlAddresses, s.network.link(e.id, c.id, c.peerAddress))
	}
	for _, other := range s.entries {
		if other != e {
			file.Entry.PeerAddresses = append(file.Entry.PeerAddresses, s.network.link(e.id, other.id, other.peerAddress))
		}
	}
	return file
}

// ready returns an error unless the process reports that it is ready.
func (e *entryProcess) ready() error {
	response, err := http.Get("http://" + e.statusAddress + "/readyz")
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("readiness of %s: %s", e.id, response.Status)
	}
	return nil
}

// operator returns an operator API client of the named control processes, or of all if none is named.
func (s *system) operator(ids ...string) *operator.Client {
	var urls []string
	for _, c := range s.controls {
		wanted := len(ids) == 0
		for _, id := range ids {
			wanted = wanted || id == c.id
		}
		if wanted {
			urls = append(urls, "http://"+c.operatorAddress)
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
	wholeAnswer := func(d time.Duration) *state.Target { return &state.Target{WholeAnswer: durationpb.New(d)} }
	return &state.Configuration{
		Classes: []*state.Class{
			{Name: "chat", Tier: 1, Target: wholeAnswer(60 * time.Second)},
			{Name: "batch", Tier: 3, Target: wholeAnswer(60 * time.Second)},
			{Name: "order", Tier: 1, Target: wholeAnswer(20 * time.Second)},
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

// grant creates an API key of an organisation.
func (s *system) grant(organisation string) *operator.GrantedKey {
	s.t.Helper()
	granted, err := s.operator().GrantKey(s.t.Context(), organisation, -1, "")
	if err != nil {
		s.t.Fatal(err)
	}
	return granted
}

// awaitKey waits until each of the entry processes accepts a key.
func (s *system) awaitKey(key string, entries ...*entryProcess) {
	s.t.Helper()
	for _, e := range entries {
		eventually(s.t, waitTimeout, func() error {
			a := e.get("/orders/none", key)
			if a.status != http.StatusOK {
				return fmt.Errorf("%s responded with %d: %s", e.id, a.status, a.body)
			}
			return nil
		})
	}
}

// awaitCompletion waits until an entry process completes a model request.
func (s *system) awaitCompletion(e *entryProcess, key string) {
	s.t.Helper()
	eventually(s.t, waitTimeout, func() error {
		if a := e.complete(key, 1); a.status != http.StatusOK || a.err != nil {
			return fmt.Errorf("%s responded with %d: %s, %w", e.id, a.status, a.body, errors.Join(a.err))
		}
		return nil
	})
}

// startUpstream starts an emulated upstream that announces itself to the given entry processes.
func (s *system) startUpstream(id, domain, kind, serves string, entries []*entryProcess, flags ...string) *upstreamProcess {
	s.t.Helper()
	listen := freeAddress(s.t)
	args := []string{
		"emulate", "--id", id, "--failure-domain", domain, "--kind", kind, "--serves", serves,
		"--listen", listen, "--announce-interval", "200ms",
	}
	for _, e := range entries {
		args = append(args, "--announce", "http://"+e.upstreamAddress)
	}
	p := startProcess(s.t, id, append(args, flags...)...)
	u := &upstreamProcess{process: p, id: id, url: "http://" + listen}
	u.awaitStart()
	return u
}

// awaitStart waits until an emulated upstream listens.
func (u *upstreamProcess) awaitStart() {
	u.t.Helper()
	eventually(u.t, waitTimeout, func() error {
		response, err := http.Get(u.url + "/emulator/v1/stats")
		if err == nil {
			_ = response.Body.Close()
		}
		return err
	})
}

// stats returns the statistics of an emulated upstream.
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
