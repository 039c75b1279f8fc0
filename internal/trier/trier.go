// Package trier runs a demonstration system in one process: a control process, an entry
// process and emulated upstreams.
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
	"strings"
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
	"github.com/comfreybend/comfreybend/internal/translator"
	"github.com/comfreybend/comfreybend/internal/validator"
	"github.com/comfreybend/comfreybend/schema/settings"
	"github.com/comfreybend/comfreybend/schema/state"
)

const (
	failureDomain     = "local"
	organisation      = "demo"
	model             = "demo-model"
	service           = "orders"
	retryInterval     = 50 * time.Millisecond
	electionTimeout   = 300 * time.Millisecond
	heartbeatInterval = 50 * time.Millisecond
	syncInterval      = 100 * time.Millisecond
	completionsPath   = "/v1/chat/completions"
	tokenFile         = "operators.json"
	folderPrefix      = "comfreybend-try-"
	// internalListeners is the number of listeners besides the one for clients.
	internalListeners = 6

	engineSlots         = 8
	engineFirstToken    = 50 * time.Millisecond
	engineTokenInterval = 20 * time.Millisecond
	engineTokens        = 24
	announceInterval    = time.Second
)

// Demo is a demonstration system.
type Demo struct {
	listen   string
	token    string
	folder   string
	settings *settings.Settings
}

// New returns a demonstration system that serves clients on the address listen.
func New(listen string) *Demo {
	return &Demo{listen: listen}
}

// Run serves until ctx is done. Once requests are served, it prints a line that starts
// with "curl ": a command that sends one.
func (d *Demo) Run(ctx context.Context) error {
	folder, err := os.MkdirTemp("", folderPrefix)
	if err != nil {
		return errors.Wrap(err, "making a temporary folder")
	}
	defer func() { _ = os.RemoveAll(folder) }()
	d.folder = folder
	if err = d.prepare(ctx); err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return d.runControl(ctx) })
	group.Go(func() error { return d.runEntry(ctx) })
	for _, config := range d.upstreamConfigs() {
		group.Go(func() error { return emulator.New(config).Run(ctx) })
	}
	group.Go(func() error { return d.configure(ctx) })
	return group.Wait()
}

// prepare creates the settings and the operator token.
func (d *Demo) prepare(ctx context.Context) error {
	token, hash := operator.NewToken()
	d.token = token
	data, err := json.Marshal(map[string]string{"try": hash})
	if err != nil {
		return errors.Wrap(err, "encoding the operator token file")
	}
	path := filepath.Join(d.folder, tokenFile)
	const mode = 0o600
	if err = os.WriteFile(path, data, mode); err != nil {
		return errors.Wrap(err, "writing the operator token file")
	}
	addresses, err := freeAddresses(ctx, d.listen, internalListeners)
	if err != nil {
		return err
	}
	d.settings = &settings.Settings{
		Host: &settings.Host{Id: "try", FailureDomain: failureDomain},
		Entry: &settings.Entry{
			CallerListen:     d.listen,
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
			DataFolder:        filepath.Join(d.folder, "data"),
			OperatorTokenFile: path,
			Peers:             []*settings.ControlPeer{{Id: "try", Address: addresses[3]}},
			ElectionTimeout:   durationpb.New(electionTimeout),
			HeartbeatInterval: durationpb.New(heartbeatInterval),
			Ordering:          &settings.Ordering{Timeout: durationpb.New(electionTimeout / 2)},
		},
	}
	validator.FillDefaults(d.settings)
	return nil
}

// freeAddresses returns n addresses with the next free ports after the given address.
func freeAddresses(ctx context.Context, start string, n int) ([]string, error) {
	address, err := netip.ParseAddrPort(start)
	if err != nil {
		return nil, errors.Wrap(err, "parsing the address for clients")
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
		return nil, errors.Errorf("not enough free ports after %s", start)
	}
	return out, nil
}

func (d *Demo) runControl(ctx context.Context) error {
	log, logWriter, err := logger.New(os.Stderr, d.settings.GetLogging().GetLevel(), "control", d.settings.GetHost().GetId())
	if err != nil {
		return err
	}
	defer logWriter.Close()
	instruments := instrumenter.New("control")
	defer instruments.Close()
	c, err := controller.New(d.settings, controller.Dialect{}, log, instruments)
	if err != nil {
		return err
	}
	return c.Run(ctx)
}

func (d *Demo) runEntry(ctx context.Context) error {
	log, logWriter, err := logger.New(os.Stderr, d.settings.GetLogging().GetLevel(), "entry", d.settings.GetHost().GetId())
	if err != nil {
		return err
	}
	defer logWriter.Close()
	instruments := instrumenter.New("entry")
	defer instruments.Close()
	r, err := router.New(d.settings, translator.NativeDialect(), log, instruments)
	if err != nil {
		return err
	}
	return r.Run(ctx)
}

func (d *Demo) upstreamConfigs() []emulator.Config {
	base := emulator.Config{
		FailureDomain:    failureDomain,
		Listen:           "127.0.0.1:0",
		Announce:         []string{"http://" + d.settings.GetEntry().GetUpstreamListen()},
		AnnounceInterval: announceInterval,
		Slots:            engineSlots,
		FirstToken:       engineFirstToken,
		TokenInterval:    engineTokenInterval,
		Tokens:           engineTokens,
	}
	engine1, engine2, orders := base, base, base
	engine1.ID, engine1.Kind, engine1.Serves = "engine-1", "model", []string{model}
	engine2.ID, engine2.Kind, engine2.Serves = "engine-2", "model", []string{model}
	orders.ID, orders.Kind, orders.Serves = "orders-1", "service", []string{service}
	return []emulator.Config{engine1, engine2, orders}
}

// configure applies the demonstration configuration, creates a key and prints a command
// that sends a request.
func (d *Demo) configure(ctx context.Context) error {
	client := operator.New([]string{"http://" + d.settings.GetControl().GetOperatorListen()}, d.token)
	op := &state.Operation{Kind: &state.Operation_ApplyConfiguration{ApplyConfiguration: demoConfiguration()}}
	if err := retry(ctx, func() error {
		_, err := client.Change(ctx, op, -1, "")
		return err
	}); err != nil {
		return err
	}
	granted, err := client.GrantKey(ctx, organisation, -1, "")
	if err != nil {
		return err
	}
	if err = retry(ctx, func() error { return d.checkServing(ctx, granted.Key) }); err != nil {
		return err
	}
	fmt.Printf("curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' "+
		"-H 'Content-Type: application/json' "+
		"-d '{\"model\":\"%s\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"Hello\"}]}'\n",
		d.listen, granted.Key, model)
	return nil
}

// checkServing returns an error unless the service and the engine answer: their upstreams announce themselves apart. It asks
// for an unknown order, which the emulated service answers with 0 runs, and ends the response of the engine at once.
func (d *Demo) checkServing(ctx context.Context, key string) error {
	if err := d.checkRequest(ctx, key, http.MethodGet, "/orders/none", ""); err != nil {
		return err
	}
	return d.checkRequest(ctx, key, http.MethodPost, completionsPath, fmt.Sprintf(`{"model":%q,"stream":true,"messages":[]}`, model))
}

func (d *Demo) checkRequest(ctx context.Context, key, method, path, body string) error {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+d.listen+path, strings.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "creating a request")
	}
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "sending a request")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("request to %s answered with status %d", path, response.StatusCode)
	}
	return nil
}

// retry calls do until it succeeds or ctx is done.
func retry(ctx context.Context, do func() error) error {
	for {
		err := do()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(err, "stopped before the system was ready")
		case <-time.After(retryInterval):
		}
	}
}

func demoConfiguration() *state.Configuration {
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
