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

// testAuthority is a certificate authority.
type testAuthority struct {
	t           *testing.T
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	file        string
}

func newAuthority(t *testing.T) *testAuthority {
	t.Helper()
	a := &testAuthority{t: t, file: filepath.Join(t.TempDir(), "authority.pem")}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true,
		BasicConstraintsValid: true, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		KeyUsage: x509.KeyUsageCertSign,
	}
	a.certificate, a.key = a.sign(template, a.file, "", nil, nil)
	return a
}

// sign creates a certificate and writes it and its key to files. The certificate is
// self-signed if parent is nil. An empty keyFile omits the key.
func (a *testAuthority) sign(
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

func (a *testAuthority) write(file, kind string, der []byte) {
	a.t.Helper()
	if err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		a.t.Fatal(err)
	}
}

// issue creates a certificate that is valid until a time and returns the settings that
// refer to it.
func (a *testAuthority) issue(serial int64, until time.Time) *settings.Tls {
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

// renew replaces the certificate and the key of the settings.
func (a *testAuthority) renew(s *settings.Tls, serial int64, until time.Time) {
	a.t.Helper()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "process"},
		NotBefore: time.Now().Add(-2 * time.Hour), NotAfter: until, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	a.sign(template, s.GetPeerCertificateFile(), s.GetPeerKeyFile(), a.certificate, a.key)
}

// handshake connects a client to a server and returns the errors of both sides. Without
// a client configuration, the client presents no certificate.
func handshake(t *testing.T, server, client messenger.Security) (serverErr, clientErr error) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	clientConn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = clientConn.Close() }()
	serverConn, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = serverConn.Close() }()
	config := &tls.Config{InsecureSkipVerify: true, MinVersion: tls.VersionTLS13} //nolint:gosec // The client need not trust the server.
	if client.Client != nil {
		config = client.Client()
	}
	done := make(chan error, 1)
	go func() {
		serverTLS := tls.Server(serverConn, server.Server())
		handshakeErr := serverTLS.Handshake()
		if handshakeErr == nil {
			_, handshakeErr = serverTLS.Write([]byte{1})
		}
		_ = serverConn.Close()
		done <- handshakeErr
	}()
	clientTLS := tls.Client(clientConn, config)
	clientErr = clientTLS.Handshake()
	if clientErr == nil {
		_, clientErr = clientTLS.Read(make([]byte, 1))
	}
	_ = clientConn.Close()
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
	valid := load(own.issue(2, later))
	expired := load(own.issue(3, time.Now().Add(-time.Hour)))
	foreign := load(other.issue(4, later))
	tests := map[string]struct {
		server, client messenger.Security
		valid          bool
	}{
		"same authority":              {server: valid, client: load(own.issue(5, later)), valid: true},
		"client expired":              {server: valid, client: expired},
		"server expired":              {server: expired, client: valid},
		"client of another authority": {server: valid, client: foreign},
		"server of another authority": {server: foreign, client: valid},
		"client without certificate":  {server: valid},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			serverErr, clientErr := handshake(t, test.server, test.client)
			if connected := serverErr == nil && clientErr == nil; connected != test.valid {
				t.Errorf("server: %v, client: %v", serverErr, clientErr)
			}
		})
	}
}

// TestReload checks that a renewed certificate is loaded without a restart, and that it
// stays in use if a file becomes invalid.
func TestReload(t *testing.T) {
	a := newAuthority(t)
	s := a.issue(2, time.Now().Add(time.Hour))
	r, err := Load(s.GetPeerCertificateFile(), s.GetPeerKeyFile(), s.GetPeerAuthorityFile())
	if err != nil {
		t.Fatal(err)
	}
	serial := func() int64 {
		// Forces a reload: the files may have the modification time of the loaded ones.
		r.checkedAt = time.Time{}
		r.modifiedAt = time.Time{}
		certificate, _ := r.latest()
		return certificate.Leaf.SerialNumber.Int64()
	}
	a.renew(s, 3, time.Now().Add(time.Hour))
	if got := serial(); got != 3 {
		t.Errorf("certificate %d is in use after the renewal", got)
	}
	if err = os.WriteFile(s.GetPeerCertificateFile(), []byte("broken"), 0o600); err != nil {
		t.Fatal(err)
	}
	if got := serial(); got != 3 {
		t.Errorf("certificate %d is in use after a file became invalid", got)
	}
	var invalid *FileError
	if _, err = Load(s.GetPeerCertificateFile(), s.GetPeerKeyFile(), s.GetPeerAuthorityFile()); !errors.As(err, &invalid) {
		t.Errorf("loading an invalid file: %v", err)
	}
}
