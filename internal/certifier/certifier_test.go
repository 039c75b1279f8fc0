package certifier

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/comfreybend/comfreybend/internal/messenger"
	"github.com/comfreybend/comfreybend/schema/settings"
)

// authority signs certificates for a test.
type authority struct {
	t           *testing.T
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	file        string
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{t: t, file: filepath.Join(t.TempDir(), "authority.pem")}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true,
		BasicConstraintsValid: true, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		KeyUsage: x509.KeyUsageCertSign,
	}
	a.certificate, a.key = a.sign(template, a.file, "", nil, nil)
	return a
}

// sign makes a certificate and writes it and its key to files.
func (a *authority) sign(
	template *x509.Certificate, file, keyFile string, parent *x509.Certificate, signer *ecdsa.PrivateKey,
) (*x509.Certificate, *ecdsa.PrivateKey) {
	a.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	if parent == nil {
		parent, signer = template, key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	if err != nil {
		a.t.Fatal(err)
	}
	a.write(file, "CERTIFICATE", der)
	if keyFile != "" {
		encoded, keyErr := x509.MarshalECPrivateKey(key)
		if keyErr != nil {
			a.t.Fatal(keyErr)
		}
		a.write(keyFile, "EC PRIVATE KEY", encoded)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		a.t.Fatal(err)
	}
	return certificate, key
}

func (a *authority) write(file, kind string, der []byte) {
	a.t.Helper()
	if err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		a.t.Fatal(err)
	}
}

// issue makes a certificate that is valid until a time, and the settings that name it.
func (a *authority) issue(serial int64, until time.Time) *settings.Tls {
	a.t.Helper()
	folder := a.t.TempDir()
	s := &settings.Tls{
		PeerCertificateFile: filepath.Join(folder, "peer.pem"),
		PeerKeyFile:         filepath.Join(folder, "peer-key.pem"),
		PeerAuthorityFile:   a.file,
	}
	a.renew(s, serial, until)
	return s
}

func (a *authority) renew(s *settings.Tls, serial int64, until time.Time) {
	a.t.Helper()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "process"},
		NotBefore: time.Now().Add(-2 * time.Hour), NotAfter: until, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	a.sign(template, s.GetPeerCertificateFile(), s.GetPeerKeyFile(), a.certificate, a.key)
}

// handshake connects two processes and returns the errors of both sides.
func handshake(t *testing.T, server, client messenger.Security) (serverErr, clientErr error) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	b, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = b.Close() }()
	a, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = a.Close() }()
	config := &tls.Config{InsecureSkipVerify: true, MinVersion: tls.VersionTLS13} //nolint:gosec // A stranger.
	if client.Client != nil {
		config = client.Client()
	}
	done := make(chan error, 1)
	go func() {
		conn := tls.Server(a, server.Server())
		handshakeErr := conn.Handshake()
		if handshakeErr == nil {
			_, handshakeErr = conn.Write([]byte{1})
		}
		_ = a.Close()
		done <- handshakeErr
	}()
	conn := tls.Client(b, config)
	clientErr = conn.Handshake()
	if clientErr == nil {
		_, clientErr = conn.Read(make([]byte, 1))
	}
	_ = b.Close()
	return <-done, clientErr
}

func TestPeers(t *testing.T) {
	own, other := newAuthority(t), newAuthority(t)
	later := time.Now().Add(time.Hour)
	load := func(s *settings.Tls) messenger.Security {
		security, err := PeerSecurity(s)
		if err != nil {
			t.Fatal(err)
		}
		return security
	}
	sound := load(own.issue(2, later))
	expired := load(own.issue(3, time.Now().Add(-time.Hour)))
	foreign := load(other.issue(4, later))
	tests := map[string]struct {
		server, client messenger.Security
		sound          bool
	}{
		"same authority":        {server: sound, client: load(own.issue(5, later)), sound: true},
		"client expired":        {server: sound, client: expired},
		"server expired":        {server: expired, client: sound},
		"client of another one": {server: sound, client: foreign},
		"server of another one": {server: foreign, client: sound},
		"client without any":    {server: sound},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			serverErr, clientErr := handshake(t, test.server, test.client)
			if connected := serverErr == nil && clientErr == nil; connected != test.sound {
				t.Errorf("server: %v, client: %v", serverErr, clientErr)
			}
		})
	}
}

// TestReload renews a certificate in place: the next look takes it, and broken files leave it in force.
func TestReload(t *testing.T) {
	a := newAuthority(t)
	s := a.issue(2, time.Now().Add(time.Hour))
	p, err := Load(s.GetPeerCertificateFile(), s.GetPeerKeyFile(), s.GetPeerAuthorityFile())
	if err != nil {
		t.Fatal(err)
	}
	serial := func() int64 {
		p.checked = time.Time{}
		p.modified = time.Time{}
		certificate, _ := p.latest()
		return certificate.Leaf.SerialNumber.Int64()
	}
	a.renew(s, 3, time.Now().Add(time.Hour))
	if got := serial(); got != 3 {
		t.Errorf("certificate %d is in force after the renewal", got)
	}
	if err = os.WriteFile(s.GetPeerCertificateFile(), []byte("broken"), 0o600); err != nil {
		t.Fatal(err)
	}
	if got := serial(); got != 3 {
		t.Errorf("certificate %d is in force after a broken file", got)
	}
	var fault *FileError
	if _, err = Load(s.GetPeerCertificateFile(), s.GetPeerKeyFile(), s.GetPeerAuthorityFile()); !errors.As(err, &fault) {
		t.Errorf("a broken file at the start: %v", err)
	}
}
