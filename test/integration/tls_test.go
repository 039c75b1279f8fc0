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

// peerCertificates is a certificate authority with one certificate that all processes share.
type peerCertificates struct {
	t            *testing.T
	files        *settings.Tls
	authority    *x509.Certificate
	authorityKey *ecdsa.PrivateKey
}

func newPeerCertificates(t *testing.T) *peerCertificates {
	t.Helper()
	folder := t.TempDir()
	p := &peerCertificates{t: t, files: &settings.Tls{
		PeerCertificateFile: filepath.Join(folder, "peer.pem"),
		PeerKeyFile:         filepath.Join(folder, "peer-key.pem"),
		PeerAuthorityFile:   filepath.Join(folder, "authority.pem"),
	}}
	p.authorityKey = p.newKey()
	p.authority = &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	p.write(p.files.GetPeerAuthorityFile(), "CERTIFICATE", p.sign(p.authority, p.authorityKey))
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
	der, err := x509.CreateCertificate(rand.Reader, template, p.authority, &key.PublicKey, p.authorityKey)
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

// issue replaces the processes' certificate by one that is valid until the given time.
func (p *peerCertificates) issue(notAfter time.Time) {
	p.t.Helper()
	key := p.newKey()
	encoded, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		p.t.Fatal(err)
	}
	p.write(p.files.GetPeerKeyFile(), "EC PRIVATE KEY", encoded)
	p.write(p.files.GetPeerCertificateFile(), "CERTIFICATE", p.sign(&x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: "process"},
		NotBefore: time.Now().Add(-2 * time.Hour), NotAfter: notAfter, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}, key))
}

func (p *peerCertificates) adjustSettings(s *settings.Settings) { s.Tls = p.files }

// TestPeerTLS guards against unauthenticated peers and missed renewals under mutual
// TLS. A client without a certificate must be refused; an entry process with an
// expired certificate must get no configuration and log the reason; a renewed
// certificate must be used without a restart.
func TestPeerTLS(t *testing.T) {
	p := newPeerCertificates(t)
	s := startSystem(t, layout{controls: 3, entries: []string{"a"}, adjustEntry: p.adjustSettings, adjustControl: p.adjustSettings})
	s.configure()
	e := s.entries[0]
	s.startUpstream("orders-1", "a", "service", "orders", s.entries)
	key := s.grant("one")
	s.awaitKey(key.Key, e)

	anonymous := messenger.NewClient(s.controls[0].peerAddress, messenger.Security{}, time.Second)
	defer anonymous.Close()
	var unreachable *messenger.UnreachableError
	request := &wire.Request{Kind: &wire.Request_Read{Read: &wire.Read{What: "keys"}}}
	if reply, err := anonymous.Call(t.Context(), request); !errors.As(err, &unreachable) {
		t.Errorf("a process without a certificate got %v, %v", reply, err)
	}

	e.terminate()
	p.issue(time.Now().Add(-time.Hour))
	e.start()
	eventually(t, waitTimeout, func() error {
		if !strings.Contains(string(e.log()), "expired") {
			return errors.New("the log does not say that the certificate has expired")
		}
		return nil
	})
	if e.ready() == nil {
		t.Error("an entry process with an expired certificate got a configuration")
	}
	p.issue(time.Now().Add(time.Hour))
	s.awaitKey(key.Key, e)
	if reply, err := s.operator().Read(t.Context(), "status"); err != nil || reply.GetStatus().GetLeaderHost() == "" {
		t.Error(fmt.Errorf("status after the renewal: %v, %w", reply.GetStatus(), errors.Join(err)))
	}
}
