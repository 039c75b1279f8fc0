package validator

import (
	"path/filepath"
	"strings"
	"testing"

	"github.com/comfreybend/comfreybend/schema/state"
)

const validSettings = `{
  "host": {"id": "entry-1", "failureDomain": "a"},
  "entry": {
    "callerListen": "127.0.0.1:1", "upstreamListen": "127.0.0.1:2", "statusListen": "127.0.0.1:3",
    "peerListen": "127.0.0.1:4", "controlAddresses": ["127.0.0.1:5"]
  }
}`

func TestParse(t *testing.T) {
	tests := map[string]struct {
		document string
		// paths lists the fields of which each must have a fault; other faults are allowed.
		paths []string
	}{
		"valid":          {document: validSettings},
		"truncated JSON": {document: "{", paths: []string{"$"}},
		"not an object":  {document: "[]", paths: []string{"$"}},
		"several unknown fields": {
			document: `{"hots": {}, "entry": {"freshnes": "5s", "queue": {"x": 1}}}`,
			paths:    []string{"$.hots", "$.entry.freshnes", "$.entry.queue.x"},
		},
		"several wrong types": {
			document: `{"host": {"id": 5}, "entry": {"freshness": "soon", "peerAddresses": "x", "controlAddresses": [1]}}`,
			paths:    []string{"$.host.id", "$.entry.freshness", "$.entry.peerAddresses", "$.entry.controlAddresses[0]"},
		},
		"duplicate field": {document: `{"host": {"id": "a", "id": "b"}}`, paths: []string{"$.host.id"}},
		"several values out of range": {
			document: strings.Replace(validSettings, `"peerListen"`,
				`"freshness": "90s", "queue": {"guaranteedPercent": 50}, "policy": "best", "peerListen"`, 1),
			paths: []string{"$.entry.freshness", "$.entry.queue.guaranteedPercent", "$.entry.policy"},
		},
		"malformed local address": {
			document: strings.Replace(validSettings, `"peerListen"`, `"upstreamLocalAddress": "127.0.0.1:1", "peerListen"`, 1),
			paths:    []string{"$.entry.upstreamLocalAddress"},
		},
		"hedging out of range": {
			document: strings.Replace(validSettings, `"peerListen"`,
				`"hedging": {"ratio": 1.5, "quantile": 0.4, "minimumDelay": "0.0001s"}, "peerListen"`, 1),
			paths: []string{"$.entry.hedging.ratio", "$.entry.hedging.quantile", "$.entry.hedging.minimumDelay"},
		},
		"hedging without numbers": {
			document: strings.Replace(validSettings, `"peerListen"`, `"hedging": {"ratio": "NaN", "quantile": "NaN"}, "peerListen"`, 1),
			paths:    []string{"$.entry.hedging.ratio", "$.entry.hedging.quantile"},
		},
		"hedging with defaults": {document: strings.Replace(validSettings, `"peerListen"`, `"hedging": {"ratio": 0.05}, "peerListen"`, 1)},
		"missing addresses": {
			document: `{"host": {"id": "x", "failureDomain": "a"}, "entry": {}}`,
			paths:    []string{"$.entry.callerListen", "$.entry.upstreamListen", "$.entry.controlAddresses"},
		},
		"neither entry nor control": {document: `{"host": {"id": "x", "failureDomain": "a"}}`, paths: []string{"$"}},
		"control peers without this host": {
			document: `{"host": {"id": "x", "failureDomain": "a"}, "control": {"peers": [{"id": "y", "address": "127.0.0.1:1"}]}}`,
			paths:    []string{"$.control.peers", "$.control.dataFolder", "$.control.operatorTokenFile"},
		},
		"incomplete peer certificates": {
			document: strings.Replace(validSettings, `"entry":`, `"tls": {"peerKeyFile": "k"}, "entry":`, 1),
			paths:    []string{"$.tls.peerCertificateFile", "$.tls.peerAuthorityFile"},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s, faults := Parse([]byte(test.document))
			if (s == nil) != (len(test.paths) > 0) {
				t.Fatalf("settings %v, faults %v", s, faults)
			}
			reported := map[string]bool{}
			for _, f := range faults {
				reported[f.Path] = true
				if f.Problem == "" || f.Allowed == "" {
					t.Errorf("fault without a problem or allowed values: %v", f)
				}
			}
			for _, path := range test.paths {
				if !reported[path] {
					t.Errorf("no fault at %s in %v", path, faults)
				}
			}
		})
	}
}

func TestDefaultsAreValid(t *testing.T) {
	s, faults := Parse([]byte(validSettings))
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	if s.GetEntry().GetFreshness().AsDuration() != defaultFreshness || s.GetEntry().GetPolicy() != defaultPolicy {
		t.Errorf("defaults are missing: %v", s)
	}
}

// TestExamples checks that the example settings are valid.
func TestExamples(t *testing.T) {
	files, err := filepath.Glob("../../examples/*/*.json")
	if err != nil || len(files) == 0 {
		t.Fatalf("examples: %v, %v", files, err)
	}
	for _, file := range files {
		if strings.HasPrefix(filepath.Base(file), "configuration") {
			continue
		}
		if _, err = Load(file); err != nil {
			t.Error(err)
		}
	}
}

// FuzzParse checks that every document yields either settings or faults.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte(`{"entry": [1, {"a": null}]}`))
	f.Fuzz(func(t *testing.T, document []byte) {
		s, faults := Parse(document)
		if s == nil && len(faults) == 0 {
			t.Fatal("neither settings nor faults")
		}
	})
}

// TestDecodeMaps guards against documents with maps, such as the prices of a pool by failure domain,
// that are rejected, and against wrong values in them that are not.
func TestDecodeMaps(t *testing.T) {
	tests := map[string]struct {
		document string
		// path is that of the only fault; empty if there is none.
		path string
	}{
		"prices":       {document: `{"prices": {"a": 1, "b": 0.8}}`},
		"empty":        {document: `{"prices": {}}`},
		"wrong value":  {document: `{"prices": {"a": 1, "b": "cheap"}}`, path: "$.prices.b"},
		"value absent": {document: `{"prices": {"a": null}}`, path: "$.prices.a"},
		"twice":        {document: `{"prices": {"a": 1, "a": 2}}`, path: "$.prices.a"},
		"no object":    {document: `{"prices": [1]}`, path: "$.prices"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			scaling := &state.Scaling{}
			faults := Decode([]byte(test.document), scaling)
			switch {
			case test.path == "" && (len(faults) > 0 || name == "prices" && scaling.GetPrices()["b"] != 0.8):
				t.Errorf("faults %v, prices %v", faults, scaling.GetPrices())
			case test.path != "" && (len(faults) != 1 || faults[0].Path != test.path):
				t.Errorf("faults %v, want one at %s", faults, test.path)
			}
		})
	}
}

// TestRequestsInProgress guards against more requests in progress than the memory has room for.
func TestRequestsInProgress(t *testing.T) {
	tests := map[string]struct {
		memory int64
		want   int32
	}{
		"no memory limit": {want: defaultRequestsInProgress},
		"tiny":            {memory: 1 << 20, want: minDefaultRequestsInProgress},
		"54 MiB":          {memory: 54 << 20, want: 256},
		"110 MiB":         {memory: 110 << 20, want: 521},
		"large":           {memory: 64 << 30, want: defaultRequestsInProgress},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := requestsInProgress(test.memory); got != test.want {
				t.Errorf("%d requests with %d bytes of memory, want %d", got, test.memory, test.want)
			}
		})
	}
}
