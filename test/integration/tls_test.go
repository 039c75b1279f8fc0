package integration

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/comfreybend/comfreybend/internal/messenger"
	"github.com/comfreybend/comfreybend/schema/settings"
	"github.com/comfreybend/comfreybend/schema/wire"
)

// peerCertificates is an authority with one certificate for every process.
type peerCertificates struct {
	t         *testing.T
	files     *settings.Tls
	authority *x509.Certificate
	signer    *ecdsa.PrivateKey
}

func newPeerCertificates(t *testing.T) *peerCertificates {
	t.Helper()
	folder := t.TempDir()
	p := &peerCertificates{t: t, files: &settings.Tls{
		PeerCertificateFile: filepath.Join(folder, "peer.pem"),
		PeerKeyFile:         filepath.Join(folder, "peer-key.pem"),
		PeerAuthorityFile:   filepath.Join(folder, "authority.pem"),
	}}
	p.signer = p.newKey()
	p.authority = &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	p.write(p.files.GetPeerAuthorityFile(), "CERTIFICATE", p.sign(p.authority, p.signer))
	p.issue(time.Now().Add(time.Hour))
	return p
}

func (p *peerCertificates) newKey() *ecdsa.PrivateKey {
	p.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		p.t.Fatal(err)
	}
	return key
}

func (p *peerCertificates) sign(template *x509.Certificate, key *ecdsa.PrivateKey) []byte {
	p.t.Helper()
	der, err := x509.CreateCertificate(rand.Reader, template, p.authority, &key.PublicKey, p.signer)
	if err != nil {
		p.t.Fatal(err)
	}
	return der
}

func (p *peerCertificates) write(file, kind string, der []byte) {
	p.t.Helper()
	if err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		p.t.Fatal(err)
	}
}

// issue replaces the processes' certificate by one that is valid until a time.
func (p *peerCertificates) issue(until time.Time) {
	p.t.Helper()
	key := p.newKey()
	encoded, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		p.t.Fatal(err)
	}
	p.write(p.files.GetPeerKeyFile(), "EC PRIVATE KEY", encoded)
	p.write(p.files.GetPeerCertificateFile(), "CERTIFICATE", p.sign(&x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: "process"},
		NotBefore: time.Now().Add(-2 * time.Hour), NotAfter: until, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}, key))
}

func (p *peerCertificates) adjust(s *settings.Settings) { s.Tls = p.files }

// TestPeerTLS runs a system with mutual TLS between its processes: a stranger
// is refused; an entry process with an expired certificate gets nothing and says
// why; a renewed certificate is taken without a restart.
func TestPeerTLS(t *testing.T) {
	p := newPeerCertificates(t)
	s := startSystem(t, layout{controls: 3, entries: []string{"a"}, adjustEntry: p.adjust, adjustControl: p.adjust})
	s.configure()
	e := s.entries[0]
	s.startUpstream("orders-1", "a", "service", "orders", s.entries)
	key := s.grant("one")
	s.inForce(key.Key, e)

	stranger := messenger.NewClient(s.controls[0].peer, messenger.Security{}, time.Second)
	defer stranger.Close()
	var unreachable *messenger.UnreachableError
	request := &wire.Request{Kind: &wire.Request_Read{Read: &wire.Read{What: "keys"}}}
	if reply, err := stranger.Call(t.Context(), request); !errors.As(err, &unreachable) {
		t.Errorf("a process without a certificate got %v, %v", reply, err)
	}

	e.terminate()
	p.issue(time.Now().Add(-time.Hour))
	e.start()
	eventually(t, startWithin, func() error {
		if !strings.Contains(string(e.log()), "expired") {
			return errors.New("the log does not say that the certificate has expired")
		}
		return nil
	})
	if e.ready() == nil {
		t.Error("an entry process with an expired certificate got a configuration")
	}
	p.issue(time.Now().Add(time.Hour))
	s.inForce(key.Key, e)
	if reply, err := s.operator().Read(t.Context(), "status"); err != nil || reply.GetStatus().GetLeaderHost() == "" {
		t.Error(fmt.Errorf("status after the renewal: %v, %w", reply.GetStatus(), errors.Join(err)))
	}
}
