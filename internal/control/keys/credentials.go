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

// machineName is a DNS name in every machine's certificate. Machines are found by addresses,
// which change, so that the name only identifies them as machines.
const machineName = "machine.merlinhitch.internal"

// Credentials holds a program's certificate and key, the trusted authorities and the
// revocation list. Reload renews them in place for new connections; open ones stay open.
type Credentials struct {
	dir     string
	now     func() time.Time
	current atomic.Pointer[credentialSet]
}

type credentialSet struct {
	cert        tls.Certificate
	trustPool   *x509.CertPool
	authorities []*x509.Certificate
	revoked     map[string]bool // by decimal serial number
}

// Errors of CheckPeer and of TLS handshakes with a peer.
var (
	ErrRevoked = errors.New("keys: the certificate is revoked")
	ErrExpired = errors.New("keys: the certificate has expired or is not valid yet")
	ErrRole    = errors.New("keys: the certificate is not of a machine")
)

// LoadCredentials reads the credentials of a holder's folder.
func LoadCredentials(dir string, now func() time.Time) (*Credentials, error) {
	h := &Credentials{dir: dir, now: now}
	return h, h.Reload()
}

// Reload reads the folder again. After an error the old credentials stay in use.
func (h *Credentials) Reload() error {
	cert, err := tls.LoadX509KeyPair(filepath.Join(h.dir, CertFile), filepath.Join(h.dir, KeyFile))
	if err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	set := &credentialSet{cert: cert, trustPool: x509.NewCertPool(), revoked: map[string]bool{}}
	if set.authorities, err = readCerts(filepath.Join(h.dir, TrustFile)); err != nil {
		return err
	}
	for _, c := range set.authorities {
		set.trustPool.AddCert(c)
	}
	list, err := readRevocationList(filepath.Join(h.dir, RevokedFile))
	if err != nil {
		return err
	}
	if err := set.signedByTrusted(list); err != nil {
		return err
	}
	for _, r := range list.RevokedCertificateEntries {
		set.revoked[r.SerialNumber.String()] = true
	}
	h.current.Store(set)
	return nil
}

// signedByTrusted returns an error if no trusted authority has signed a revocation list.
func (s *credentialSet) signedByTrusted(list *x509.RevocationList) error {
	for _, c := range s.authorities {
		if list.CheckSignatureFrom(c) == nil {
			return nil
		}
	}
	return errors.New("keys: the list of revoked certificates is not signed by a trusted authority")
}

// Expires returns the time at which the holder's own certificate expires.
func (h *Credentials) Expires() time.Time { return h.current.Load().cert.Leaf.NotAfter }

// CheckPeer returns an error if a peer's certificate is not valid now or is revoked. It can
// also be called during a session.
func (h *Credentials) CheckPeer(cert *x509.Certificate) error {
	switch now := h.now(); {
	case now.After(cert.NotAfter) || now.Before(cert.NotBefore):
		return ErrExpired
	case h.current.Load().revoked[cert.SerialNumber.String()]:
		return ErrRevoked
	}
	return nil
}

// Identity returns the common name and the role of a certificate.
func Identity(cert *x509.Certificate) (string, Role) {
	if len(cert.Subject.OrganizationalUnit) != 1 {
		return cert.Subject.CommonName, ""
	}
	return cert.Subject.CommonName, Role(cert.Subject.OrganizationalUnit[0])
}

// verifyPeer checks revocation and, if machine is set, the role of a peer whose certificate
// chain has been verified.
func (h *Credentials) verifyPeer(state tls.ConnectionState, machine bool) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("keys: peer sent no certificate")
	}
	cert := state.PeerCertificates[0]
	if _, role := Identity(cert); machine && role != RoleMachine {
		return ErrRole
	}
	return h.CheckPeer(cert)
}

// ServerConfig returns the configuration of listeners: TLS 1.3 (RFC 8446) with client
// certificates, which must be of machines if machine is set. Each connection uses the
// credentials of the last Reload.
func (h *Credentials) ServerConfig(machine bool) *tls.Config {
	base := &tls.Config{MinVersion: tls.VersionTLS13, Time: h.now, ClientAuth: tls.RequireAndVerifyClientCert}
	base.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		set := h.current.Load()
		return &tls.Config{MinVersion: tls.VersionTLS13, Time: h.now, Certificates: []tls.Certificate{set.cert}, ClientAuth: tls.RequireAndVerifyClientCert,
			ClientCAs: set.trustPool, SessionTicketsDisabled: true, // a ticket would stay valid after a revocation
			VerifyConnection: func(c tls.ConnectionState) error { return h.verifyPeer(c, machine) }}, nil
	}
	return base
}

// ClientConfig returns the configuration of outgoing connections: to any machine if name is
// "", otherwise to the server with that name or address. It uses the present credentials.
func (h *Credentials) ClientConfig(name string) *tls.Config {
	set := h.current.Load()
	machine := name == ""
	if machine {
		name = machineName
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, Time: h.now, Certificates: []tls.Certificate{set.cert}, RootCAs: set.trustPool, ServerName: name,
		VerifyConnection: func(c tls.ConnectionState) error { return h.verifyPeer(c, machine) }}
}
