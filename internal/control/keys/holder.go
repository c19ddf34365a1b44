package keys

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"path/filepath"
	"sync/atomic"
	"time"
)

// machineName is in every machine's certificate: disk servers are found by the inventory's
// addresses, which change, so that a name tells only that it is one.
const machineName = "machine.merlinhitch.internal"

// Credentials is what a program has of keys, renewed in place by Reload. Connections that are
// up stay up; new ones use the new keys.
type Credentials struct {
	dir     string
	now     func() time.Time
	current atomic.Pointer[credentialSet]
}

type credentialSet struct {
	cert        tls.Certificate
	trustPool   *x509.CertPool
	authorities []*x509.Certificate
	revoked     map[string]bool // by number
}

// Errors of a peer's certificate.
var (
	ErrRevoked = errors.New("keys: the certificate is revoked")
	ErrExpired = errors.New("keys: the certificate has run out")
	ErrRole    = errors.New("keys: the certificate is of another role")
)

// LoadCredentials reads a holder's folder.
func LoadCredentials(dir string, now func() time.Time) (*Credentials, error) {
	h := &Credentials{dir: dir, now: now}
	return h, h.Reload()
}

// Reload reads the folder again. If anything in it does not fit, the old keys stay.
func (h *Credentials) Reload() error {
	cert, err := tls.LoadX509KeyPair(filepath.Join(h.dir, CertFile), filepath.Join(h.dir, KeyFile))
	if err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	s := &credentialSet{cert: cert, trustPool: x509.NewCertPool(), revoked: map[string]bool{}}
	if s.authorities, err = readCerts(filepath.Join(h.dir, TrustFile)); err != nil {
		return err
	}
	for _, c := range s.authorities {
		s.trustPool.AddCert(c)
	}
	list, err := readRevocationList(filepath.Join(h.dir, RevokedFile))
	if err != nil {
		return err
	}
	if err := s.signedByTrusted(list); err != nil {
		return err
	}
	for _, r := range list.RevokedCertificateEntries {
		s.revoked[r.SerialNumber.String()] = true
	}
	h.current.Store(s)
	return nil
}

// signedByTrusted refuses a list of revoked certificates that no trusted authority made.
func (s *credentialSet) signedByTrusted(l *x509.RevocationList) error {
	for _, c := range s.authorities {
		if l.CheckSignatureFrom(c) == nil {
			return nil
		}
	}
	return errors.New("keys: the list of revoked certificates is not signed by a trusted authority")
}

// Expires is when the holder's own certificate runs out.
func (h *Credentials) Expires() time.Time { return h.current.Load().cert.Leaf.NotAfter }

// CheckPeer judges a peer's certificate as of now, also in the midst of a session.
func (h *Credentials) CheckPeer(c *x509.Certificate) error {
	switch now := h.now(); {
	case now.After(c.NotAfter) || now.Before(c.NotBefore):
		return ErrExpired
	case h.current.Load().revoked[c.SerialNumber.String()]:
		return ErrRevoked
	}
	return nil
}

// Identity and role of a certificate.
func Identity(c *x509.Certificate) (string, Role) {
	if len(c.Subject.OrganizationalUnit) != 1 {
		return c.Subject.CommonName, ""
	}
	return c.Subject.CommonName, Role(c.Subject.OrganizationalUnit[0])
}

// verifyPeer verifies what a verifyPeer shows: the chain was verified, what is left is the list of
// revoked ones and the role.
func (h *Credentials) verifyPeer(s tls.ConnectionState, machine bool) error {
	if len(s.PeerCertificates) == 0 {
		return errors.New("keys: no certificate was shown")
	}
	c := s.PeerCertificates[0]
	if _, role := Identity(c); machine && role != RoleMachine {
		return ErrRole
	}
	return h.CheckPeer(c)
}

// ServerConfig is for listeners: TLS 1.3 (RFC 8446) and a certificate of every client. Where
// machine is set the client must be one.
func (h *Credentials) ServerConfig(machine bool) *tls.Config {
	base := &tls.Config{MinVersion: tls.VersionTLS13, Time: h.now, ClientAuth: tls.RequireAndVerifyClientCert}
	base.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		s := h.current.Load()
		return &tls.Config{MinVersion: tls.VersionTLS13, Time: h.now, Certificates: []tls.Certificate{s.cert}, ClientAuth: tls.RequireAndVerifyClientCert,
			ClientCAs: s.trustPool, SessionTicketsDisabled: true, // a ticket would outlive a revocation
			VerifyConnection: func(c tls.ConnectionState) error { return h.verifyPeer(c, machine) }}, nil
	}
	return base
}

// ClientConfig is for connections that are dialled: to machines by their common name, where
// name is "", or to a server of a name or address.
func (h *Credentials) ClientConfig(name string) *tls.Config {
	s := h.current.Load()
	machine := name == ""
	if machine {
		name = machineName
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, Time: h.now, Certificates: []tls.Certificate{s.cert}, RootCAs: s.trustPool, ServerName: name,
		VerifyConnection: func(c tls.ConnectionState) error { return h.verifyPeer(c, machine) }}
}
