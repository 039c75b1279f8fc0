// Package trier runs a whole system in one process for first steps: a control
// process, an entry process and stand-in upstreams on loopback.
package trier

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/comfreybend/comfreybend/internal/controller"
	"github.com/comfreybend/comfreybend/internal/emulator"
	"github.com/comfreybend/comfreybend/internal/instrumenter"
	"github.com/comfreybend/comfreybend/internal/logger"
	"github.com/comfreybend/comfreybend/internal/operator"
	"github.com/comfreybend/comfreybend/internal/router"
	"github.com/comfreybend/comfreybend/internal/validator"
	"github.com/comfreybend/comfreybend/schema/settings"
	"github.com/comfreybend/comfreybend/schema/state"
)

const (
	domain       = "local"
	organisation = "demo"
	model        = "demo-model"
	service      = "orders"
	readyPause   = 50 * time.Millisecond
	election     = 300 * time.Millisecond
	heartbeat    = 50 * time.Millisecond
	syncInterval = 100 * time.Millisecond
	tokenFile    = "operators.json"
	folderPrefix = "comfreybend-try-"
	// addressCount is the number of listeners besides the callers'.
	addressCount = 6

	engineSlots    = 8
	engineFirst    = 50 * time.Millisecond
	engineInterval = 20 * time.Millisecond
	engineTokens   = 24
	announcing     = time.Second
)

// Trier is one whole system.
type Trier struct {
	listen   string
	token    string
	folder   string
	settings *settings.Settings
}

// New returns a system whose callers connect to listen.
func New(listen string) *Trier {
	return &Trier{listen: listen}
}

// Run serves until ctx ends. It prints one line that begins with "curl " once a request can be served.
func (t *Trier) Run(ctx context.Context) error {
	folder, err := os.MkdirTemp("", folderPrefix)
	if err != nil {
		return errors.Wrap(err, "making a temporary folder")
	}
	defer func() { _ = os.RemoveAll(folder) }()
	t.folder = folder
	if err = t.prepare(ctx); err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return t.runControl(ctx) })
	group.Go(func() error { return t.runEntry(ctx) })
	for _, config := range t.upstreams() {
		group.Go(func() error { return emulator.New(config).Run(ctx) })
	}
	group.Go(func() error { return t.introduce(ctx) })
	return group.Wait()
}

// prepare makes the settings and the operator's token.
func (t *Trier) prepare(ctx context.Context) error {
	token, hash := operator.NewToken()
	t.token = token
	data, err := json.Marshal(map[string]string{"try": hash})
	if err != nil {
		return errors.Wrap(err, "encoding the operator token file")
	}
	path := filepath.Join(t.folder, tokenFile)
	const mode = 0o600
	if err = os.WriteFile(path, data, mode); err != nil {
		return errors.Wrap(err, "writing the operator token file")
	}
	addresses, err := freeAddresses(ctx, t.listen, addressCount)
	if err != nil {
		return err
	}
	t.settings = &settings.Settings{
		Host: &settings.Host{Id: "try", FailureDomain: domain},
		Entry: &settings.Entry{
			CallerListen:     t.listen,
			UpstreamListen:   addresses[0],
			StatusListen:     addresses[1],
			PeerListen:       addresses[2],
			ControlAddresses: []string{addresses[3]},
			SyncInterval:     durationpb.New(syncInterval),
			ShutdownDelay:    durationpb.New(0),
		},
		Control: &settings.Control{
			PeerListen:        addresses[3],
			OperatorListen:    addresses[4],
			StatusListen:      addresses[5],
			DataFolder:        filepath.Join(t.folder, "data"),
			OperatorTokenFile: path,
			Peers:             []*settings.ControlPeer{{Id: "try", Address: addresses[3]}},
			ElectionTimeout:   durationpb.New(election),
			HeartbeatInterval: durationpb.New(heartbeat),
			Ordering:          &settings.Ordering{Timeout: durationpb.New(election / 2)},
		},
	}
	validator.FillDefaults(t.settings)
	return nil
}

// freeAddresses returns addresses with the next free ports after that of an address.
func freeAddresses(ctx context.Context, after string, n int) ([]string, error) {
	address, err := netip.ParseAddrPort(after)
	if err != nil {
		return nil, errors.Wrap(err, "address for callers")
	}
	var out []string
	for port := int(address.Port()) + 1; len(out) < n && port <= math.MaxUint16; port++ {
		candidate := netip.AddrPortFrom(address.Addr(), uint16(port)).String()
		l, listenErr := (&net.ListenConfig{}).Listen(ctx, "tcp", candidate)
		if listenErr == nil {
			_ = l.Close()
			out = append(out, candidate)
		}
	}
	if len(out) < n {
		return nil, errors.Errorf("no free ports after %s", after)
	}
	return out, nil
}

func (t *Trier) runControl(ctx context.Context) error {
	log, lines, err := logger.New(os.Stderr, t.settings.GetLogging().GetLevel(), "control", t.settings.GetHost().GetId())
	if err != nil {
		return err
	}
	defer lines.Close()
	instruments := instrumenter.New("control")
	defer instruments.Close()
	c, err := controller.New(t.settings, controller.Dialect{}, log, instruments)
	if err != nil {
		return err
	}
	return c.Run(ctx)
}

func (t *Trier) runEntry(ctx context.Context) error {
	log, lines, err := logger.New(os.Stderr, t.settings.GetLogging().GetLevel(), "entry", t.settings.GetHost().GetId())
	if err != nil {
		return err
	}
	defer lines.Close()
	instruments := instrumenter.New("entry")
	defer instruments.Close()
	r, err := router.New(t.settings, router.NativeDialect(), log, instruments)
	if err != nil {
		return err
	}
	return r.Run(ctx)
}

func (t *Trier) upstreams() []emulator.Config {
	base := emulator.Config{
		FailureDomain:    domain,
		Listen:           "127.0.0.1:0",
		Announce:         []string{"http://" + t.settings.GetEntry().GetUpstreamListen()},
		AnnounceInterval: announcing,
		Slots:            engineSlots,
		FirstToken:       engineFirst,
		TokenInterval:    engineInterval,
		Tokens:           engineTokens,
	}
	first, second, orders := base, base, base
	first.ID, first.Kind, first.Serves = "engine-1", "model", []string{model}
	second.ID, second.Kind, second.Serves = "engine-2", "model", []string{model}
	orders.ID, orders.Kind, orders.Serves = "orders-1", "service", []string{service}
	return []emulator.Config{first, second, orders}
}

// introduce declares classes and routes, grants a key and prints the request.
func (t *Trier) introduce(ctx context.Context) error {
	client := operator.New([]string{"http://" + t.settings.GetControl().GetOperatorListen()}, t.token)
	op := &state.Operation{Kind: &state.Operation_ApplyConfiguration{ApplyConfiguration: configuration()}}
	if err := untilDone(ctx, func() error {
		_, err := client.Change(ctx, op, -1, "")
		return err
	}); err != nil {
		return err
	}
	granted, err := client.GrantKey(ctx, organisation, -1, "")
	if err != nil {
		return err
	}
	if err = untilDone(ctx, func() error { return t.served(ctx, granted.Key) }); err != nil {
		return err
	}
	fmt.Printf("curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' "+
		"-H 'Content-Type: application/json' "+
		"-d '{\"model\":\"%s\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"Hello\"}]}'\n",
		t.listen, granted.Key, model)
	return nil
}

// served reports whether a request is answered.
func (t *Trier) served(ctx context.Context, key string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+t.listen+"/orders/none", http.NoBody)
	if err != nil {
		return errors.Wrap(err, "making a request")
	}
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "sending a request")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("request answered with status %d", response.StatusCode)
	}
	return nil
}

// untilDone repeats an action until it succeeds or ctx ends.
func untilDone(ctx context.Context, do func() error) error {
	for {
		err := do()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(err, "gave up")
		case <-time.After(readyPause):
		}
	}
}

func configuration() *state.Configuration {
	return &state.Configuration{
		Classes: []*state.Class{
			{Name: "interactive", Tier: 1, Target: &state.Target{
				FirstToken:    durationpb.New(time.Second),
				BetweenTokens: durationpb.New(100 * time.Millisecond),
				WholeAnswer:   durationpb.New(time.Minute),
			}},
			{Name: "orders", Tier: 1, Target: &state.Target{WholeAnswer: durationpb.New(5 * time.Second)}},
		},
		Routes: []*state.Route{
			{Name: "completions", PathPrefix: "/v1/", Kind: "model", Classes: []string{"interactive"}},
			{
				Name:                 "orders",
				PathPrefix:           "/orders",
				Kind:                 "service",
				Service:              service,
				Classes:              []string{"orders"},
				NonIdempotentMethods: []string{"POST"},
			},
		},
		Organisations: []*state.Organisation{{Id: organisation, Name: "Demonstration"}},
	}
}
