// Package certifier loads TLS certificates from files and reloads them when the files
// change.
package certifier

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/comfreybend/comfreybend/internal/messenger"
	"github.com/comfreybend/comfreybend/schema/settings"
)

// checkInterval is the minimum time between two checks whether the files changed.
const checkInterval = time.Second

type (
	// Reloader holds a certificate with its key, and optionally the certificate authority
	// that must have signed the certificate of the other side.
	Reloader struct {
		certificateFile string
		keyFile         string
		authorityFile   string

		mu         sync.Mutex
		checkedAt  time.Time
		modifiedAt time.Time
		current    *tls.Certificate
		authority  *x509.CertPool
	}

	// FileError reports that certificates cannot be loaded. For an invalid key, File is
	// the file of its certificate.
	FileError struct {
		File  string
		Cause error
	}
)

// Error implements error.
func (e *FileError) Error() string {
	return "certificate file " + e.File + ": " + e.Cause.Error()
}

// Unwrap returns the underlying error.
func (e *FileError) Unwrap() error { return e.Cause }

// Load loads the files. The authorityFile may be empty.
func Load(certificateFile, keyFile, authorityFile string) (*Reloader, error) {
	r := &Reloader{certificateFile: certificateFile, keyFile: keyFile, authorityFile: authorityFile}
	if err := r.reload(); err != nil {
		return nil, err
	}
	return r, nil
}

// PeerSecurity returns the TLS configurations for connections between entry and control
// processes. Both sides must present a certificate signed by the authority. Connections
// are not encrypted if no peer certificate is set.
func PeerSecurity(s *settings.Tls) (messenger.Security, error) {
	if s.GetPeerCertificateFile() == "" {
		return messenger.Security{}, nil
	}
	r, err := Load(s.GetPeerCertificateFile(), s.GetPeerKeyFile(), s.GetPeerAuthorityFile())
	if err != nil {
		return messenger.Security{}, err
	}
	return messenger.Security{Server: r.serverConfig, Client: r.clientConfig}, nil
}

// PublicConfig returns the TLS configuration for connections from clients, upstreams and
// operators, or nil if these are not encrypted.
func PublicConfig(s *settings.Tls) (*tls.Config, error) {
	if s.GetPublicCertificateFile() == "" {
		return nil, nil
	}
	r, err := Load(s.GetPublicCertificateFile(), s.GetPublicKeyFile(), "")
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			certificate, _ := r.latest()
			return certificate, nil
		},
	}, nil
}

func (r *Reloader) serverConfig() *tls.Config {
	certificate, authority := r.latest()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{*certificate},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    authority,
	}
}

// clientConfig returns a configuration that verifies the certificate chain of the server
// but not its name, since processes connect to IP addresses.
func (r *Reloader) clientConfig() *tls.Config {
	certificate, authority := r.latest()
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		Certificates:       []tls.Certificate{*certificate},
		InsecureSkipVerify: true, //nolint:gosec // VerifyConnection verifies the chain.
		VerifyConnection: func(state tls.ConnectionState) error {
			return verifyChain(state, authority)
		},
	}
}

func verifyChain(state tls.ConnectionState, authority *x509.CertPool) error {
	intermediates := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         authority,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	return err
}

// latest returns the certificate and the authority. It reloads the files first if they
// changed, and keeps the loaded ones if that fails.
func (r *Reloader) latest() (*tls.Certificate, *x509.CertPool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(r.checkedAt) >= checkInterval {
		r.checkedAt = time.Now()
		if r.filesChanged() {
			_ = r.reloadLocked()
		}
	}
	return r.current, r.authority
}

func (r *Reloader) filesChanged() bool {
	return r.latestModification().After(r.modifiedAt)
}

func (r *Reloader) latestModification() time.Time {
	var latest time.Time
	for _, name := range []string{r.certificateFile, r.keyFile, r.authorityFile} {
		info, err := os.Stat(name)
		if err == nil && info.ModTime().After(latest) {
			latest = info.ModTime()
		}
	}
	return latest
}

func (r *Reloader) reload() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.checkedAt = time.Now()
	return r.reloadLocked()
}

func (r *Reloader) reloadLocked() error {
	modified := r.latestModification()
	certificate, err := tls.LoadX509KeyPair(r.certificateFile, r.keyFile)
	if err != nil {
		return &FileError{File: r.certificateFile, Cause: err}
	}
	authority, err := r.loadAuthority()
	if err != nil {
		return &FileError{File: r.authorityFile, Cause: err}
	}
	r.current = &certificate
	r.authority = authority
	r.modifiedAt = modified
	return nil
}

func (r *Reloader) loadAuthority() (*x509.CertPool, error) {
	if r.authorityFile == "" {
		return nil, nil
	}
	data, err := os.ReadFile(r.authorityFile)
	if err != nil {
		return nil, errors.Wrap(err, "reading")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, errors.New("no certificate found")
	}
	return pool, nil
}

// WrapListener returns a TLS listener on top of l, or l itself if config is nil.
func WrapListener(l net.Listener, config *tls.Config) net.Listener {
	if config == nil {
		return l
	}
	return tls.NewListener(l, config)
}
