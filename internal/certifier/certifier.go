// Package certifier loads TLS certificates from files and loads them again
// when the files change.
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

// checkInterval is the least time between two looks at the files.
const checkInterval = time.Second

type (
	// Pair is a certificate with its key, and the authority that the other side must be signed by.
	Pair struct {
		certificateFile string
		keyFile         string
		authorityFile   string

		mu        sync.Mutex
		checked   time.Time
		modified  time.Time
		current   *tls.Certificate
		authority *x509.CertPool
	}

	// FileError names a certificate file that cannot be used.
	FileError struct {
		File  string
		Cause error
	}
)

// Error implements error.
func (e *FileError) Error() string {
	return "certificate file " + e.File + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Cause }

// Load reads the files; authorityFile may be empty.
func Load(certificateFile, keyFile, authorityFile string) (*Pair, error) {
	p := &Pair{certificateFile: certificateFile, keyFile: keyFile, authorityFile: authorityFile}
	if err := p.reload(); err != nil {
		return nil, err
	}
	return p, nil
}

// PeerSecurity returns the security of connections between the system's processes:
// both ends must show a certificate of the authority.
func PeerSecurity(s *settings.Tls) (messenger.Security, error) {
	if s.GetPeerCertificateFile() == "" {
		return messenger.Security{}, nil
	}
	p, err := Load(s.GetPeerCertificateFile(), s.GetPeerKeyFile(), s.GetPeerAuthorityFile())
	if err != nil {
		return messenger.Security{}, err
	}
	return messenger.Security{Server: p.serverConfig, Client: p.clientConfig}, nil
}

// PublicConfig returns the TLS configuration towards callers, upstreams and operators, or nil for none.
func PublicConfig(s *settings.Tls) (*tls.Config, error) {
	if s.GetPublicCertificateFile() == "" {
		return nil, nil
	}
	p, err := Load(s.GetPublicCertificateFile(), s.GetPublicKeyFile(), "")
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			certificate, _ := p.latest()
			return certificate, nil
		},
	}, nil
}

func (p *Pair) serverConfig() *tls.Config {
	certificate, authority := p.latest()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{*certificate},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    authority,
	}
}

// clientConfig verifies the authority but no name, since processes are reached by IP number.
func (p *Pair) clientConfig() *tls.Config {
	certificate, authority := p.latest()
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		Certificates:       []tls.Certificate{*certificate},
		InsecureSkipVerify: true, //nolint:gosec // VerifyConnection checks the chain.
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

// latest returns the certificate and authority, reading the files again if
// they changed. Files that cannot be used leave the earlier ones in force.
func (p *Pair) latest() (*tls.Certificate, *x509.CertPool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Since(p.checked) >= checkInterval {
		p.checked = time.Now()
		if p.changed() {
			_ = p.reloadLocked()
		}
	}
	return p.current, p.authority
}

func (p *Pair) changed() bool {
	return p.latestModification().After(p.modified)
}

func (p *Pair) latestModification() time.Time {
	var latest time.Time
	for _, name := range []string{p.certificateFile, p.keyFile, p.authorityFile} {
		info, err := os.Stat(name)
		if err == nil && info.ModTime().After(latest) {
			latest = info.ModTime()
		}
	}
	return latest
}

func (p *Pair) reload() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.checked = time.Now()
	return p.reloadLocked()
}

func (p *Pair) reloadLocked() error {
	modified := p.latestModification()
	certificate, err := tls.LoadX509KeyPair(p.certificateFile, p.keyFile)
	if err != nil {
		return &FileError{File: p.certificateFile, Cause: err}
	}
	authority, err := p.loadAuthority()
	if err != nil {
		return &FileError{File: p.authorityFile, Cause: err}
	}
	p.current = &certificate
	p.authority = authority
	p.modified = modified
	return nil
}

func (p *Pair) loadAuthority() (*x509.CertPool, error) {
	if p.authorityFile == "" {
		return nil, nil
	}
	data, err := os.ReadFile(p.authorityFile)
	if err != nil {
		return nil, errors.Wrap(err, "reading")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, errors.New("no certificate found")
	}
	return pool, nil
}

// WrapListener wraps a listener with TLS; a nil configuration leaves it as it is.
func WrapListener(l net.Listener, config *tls.Config) net.Listener {
	if config == nil {
		return l
	}
	return tls.NewListener(l, config)
}
