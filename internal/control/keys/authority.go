// Package keys is the service's certificate authority (X.509, RFC 5280). It issues and
// revokes certificates of hosts, disk servers and operators, which carry the role of their
// holder, and makes TLS configurations whose certificates can be renewed in place.
package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"io/fs"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"merlinhitch/internal/storage/durable"
)

// Role is the role of a certificate's holder. It is encoded as its only organizational unit.
type Role string

// The roles. Each of the first three includes those before it.
const (
	RoleRead       Role = "read"       // read everything but secrets at the admin API
	RoleOperate    Role = "operate"    // also change settings other than keys and secrets
	RoleAdminister Role = "administer" // also change keys and secrets
	RoleMachine    Role = "machine"    // host or disk server; has no access to the admin API
)

var roleOrder = []Role{RoleRead, RoleOperate, RoleAdminister}

// Includes reports whether r includes the role need.
func (r Role) Includes(required Role) bool {
	i, j := slices.Index(roleOrder, r), slices.Index(roleOrder, required)
	return i >= 0 && j >= 0 && i >= j
}

// Valid reports whether r is one of the roles.
func (r Role) Valid() bool { return r == RoleMachine || slices.Contains(roleOrder, r) }

// Names of the files in the folders of an authority and of certificate holders.
const (
	authorityCert = "authority.crt"
	authorityKey  = "authority.key"
	// TrustFile has the certificates of the trusted authorities: several during a rotation.
	TrustFile   = "trusted.crt"
	RevokedFile = "revoked.crl"
	CertFile    = "own.crt"
	KeyFile     = "own.key"
)

const (
	authorityLifetime = 10 * 365 * 24 * time.Hour
	// ClockSkew is how far in the past a new certificate's validity begins, since clocks differ.
	ClockSkew = 5 * time.Minute
	// crlLifetime sets NextUpdate of the revocation list, which this package does not check.
	crlLifetime = 10 * 365 * 24 * time.Hour
)

// Authority is a certificate authority with its key, stored in a folder.
type Authority struct {
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	now  func() time.Time
}

// ErrExists is returned by Init if the folder already has an authority.
var ErrExists = errors.New("keys: the folder already has an authority")

// Init creates an authority in a folder.
func Init(dir string, now func() time.Time) (*Authority, error) {
	if _, err := os.Stat(filepath.Join(dir, authorityKey)); err == nil {
		return nil, ErrExists
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	a := &Authority{dir: dir, now: now}
	if err := a.newKey(); err != nil {
		return nil, err
	}
	if err := writeFile(filepath.Join(dir, TrustFile), 0o644, encodeCert(a.cert)); err != nil {
		return nil, err
	}
	return a, a.writeRevocationList(nil)
}

// newKey generates and stores a key and a self-signed certificate of the authority.
func (a *Authority) newKey() error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	template := &x509.Certificate{SerialNumber: newSerial(), Subject: pkix.Name{CommonName: "merlinhitch authority"},
		NotBefore: a.now().Add(-ClockSkew), NotAfter: a.now().Add(authorityLifetime), IsCA: true, BasicConstraintsValid: true, MaxPathLenZero: true,
		KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageCRLSign}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return err
	}
	if a.cert, err = x509.ParseCertificate(der); err != nil {
		return err
	}
	a.key = key
	encoded, err := encodeKey(key)
	if err != nil {
		return err
	}
	if err := writeFile(filepath.Join(a.dir, authorityKey), 0o600, encoded); err != nil {
		return err
	}
	return writeFile(filepath.Join(a.dir, authorityCert), 0o644, encodeCert(a.cert))
}

// Open reads the authority of a folder.
func Open(dir string, now func() time.Time) (*Authority, error) {
	certs, err := readCerts(filepath.Join(dir, authorityCert))
	if err != nil {
		return nil, err
	}
	b, err := os.ReadFile(filepath.Join(dir, authorityKey))
	if err != nil {
		return nil, err
	}
	block, _ := pem.Decode(b)
	if block == nil {
		return nil, fmt.Errorf("keys: %s contains no PEM block", authorityKey)
	}
	parsed, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return nil, err
	}
	key, ok := parsed.(*ecdsa.PrivateKey)
	if !ok || !key.PublicKey.Equal(certs[0].PublicKey) {
		return nil, fmt.Errorf("keys: key in %s does not match the certificate in %s", authorityKey, authorityCert)
	}
	return &Authority{dir, certs[0], key, now}, nil
}

// Issue makes a key and a certificate for a name and writes them to the holder's folder out,
// together with the trusted and revoked certificates. Addresses are the IP addresses and
// DNS names at which a server is reached.
func (a *Authority) Issue(name string, role Role, lifetime time.Duration, addresses []string, out string) (*x509.Certificate, error) {
	if !role.Valid() || name == "" || len(name) > 64 || strings.ContainsAny(name, "/\\\x00") {
		return nil, fmt.Errorf("keys: can't issue a certificate for name %q with role %q", name, role)
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template := &x509.Certificate{SerialNumber: newSerial(), Subject: pkix.Name{CommonName: name, OrganizationalUnit: []string{string(role)}},
		NotBefore: a.now().Add(-ClockSkew), NotAfter: a.now().Add(lifetime), KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}}
	if role == RoleMachine {
		template.ExtKeyUsage = append(template.ExtKeyUsage, x509.ExtKeyUsageServerAuth)
		template.DNSNames = []string{machineName}
	}
	for _, address := range addresses {
		if ip := net.ParseIP(address); ip != nil {
			template.IPAddresses = append(template.IPAddresses, ip)
		} else {
			template.DNSNames = append(template.DNSNames, address)
		}
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return nil, err
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, err
	}
	encoded, err := encodeKey(key)
	if err != nil {
		return nil, err
	}
	if err := os.MkdirAll(out, 0o700); err != nil {
		return nil, err
	}
	// The certificate is written last. If credentials are loaded in between, the new key does
	// not match the old certificate, and the old credentials stay in use.
	if err := writeFile(filepath.Join(out, KeyFile), 0o600, encoded); err != nil {
		return nil, err
	}
	if err := writeFile(filepath.Join(out, CertFile), 0o644, encodeCert(cert)); err != nil {
		return nil, err
	}
	return cert, a.Distribute(out)
}

// Distribute copies the trusted certificates and the revocation list to a holder's folder.
func (a *Authority) Distribute(out string) error {
	for _, name := range []string{TrustFile, RevokedFile} {
		b, err := os.ReadFile(filepath.Join(a.dir, name))
		if err != nil {
			return err
		}
		if err := writeFile(filepath.Join(out, name), 0o644, b); err != nil {
			return err
		}
	}
	return nil
}

// Rotate replaces the authority's key. Certificates signed with the old key stay trusted
// until DropOldTrust. Every holder needs the new list of trusted certificates, by Distribute,
// before it meets certificates signed with the new key.
func (a *Authority) Rotate() error {
	oldTrust, err := os.ReadFile(filepath.Join(a.dir, TrustFile))
	if err != nil {
		return err
	}
	revoked, err := readRevoked(filepath.Join(a.dir, RevokedFile))
	if err != nil {
		return err
	}
	if err := a.newKey(); err != nil {
		return err
	}
	if err := writeFile(filepath.Join(a.dir, TrustFile), 0o644, append(encodeCert(a.cert), oldTrust...)); err != nil {
		return err
	}
	return a.writeRevocationList(revoked)
}

// DropOldTrust trusts the present certificate of the authority only.
func (a *Authority) DropOldTrust() error {
	return writeFile(filepath.Join(a.dir, TrustFile), 0o644, encodeCert(a.cert))
}

// Revoke adds the serial number of a certificate to the revocation list.
func (a *Authority) Revoke(serial *big.Int) error {
	revoked, err := readRevoked(filepath.Join(a.dir, RevokedFile))
	if err != nil {
		return err
	}
	for _, r := range revoked {
		if r.SerialNumber.Cmp(serial) == 0 {
			return nil
		}
	}
	return a.writeRevocationList(append(revoked, x509.RevocationListEntry{SerialNumber: serial, RevocationTime: a.now()}))
}

// writeRevocationList signs and stores the list of revoked certificates.
func (a *Authority) writeRevocationList(revoked []x509.RevocationListEntry) error {
	template := &x509.RevocationList{Number: big.NewInt(a.now().UnixNano()), ThisUpdate: a.now().Add(-ClockSkew), NextUpdate: a.now().Add(crlLifetime),
		RevokedCertificateEntries: revoked}
	der, err := x509.CreateRevocationList(rand.Reader, template, a.cert, a.key)
	if err != nil {
		return err
	}
	return writeFile(filepath.Join(a.dir, RevokedFile), 0o644, pem.EncodeToMemory(&pem.Block{Type: "X509 CRL", Bytes: der}))
}

// ReadCertificate reads the certificate in a holder's folder.
func ReadCertificate(dir string) (*x509.Certificate, error) {
	c, err := readCerts(filepath.Join(dir, CertFile))
	if err != nil {
		return nil, err
	}
	return c[0], nil
}

func newSerial() *big.Int {
	serial := make([]byte, 16)
	rand.Read(serial) // never fails
	serial[0] &= 0x7f
	return new(big.Int).SetBytes(serial)
}

func encodeCert(c *x509.Certificate) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: c.Raw})
}

func encodeKey(key *ecdsa.PrivateKey) ([]byte, error) {
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, err
	}
	return pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: der}), nil
}

// writeFile replaces a file atomically.
func writeFile(file string, mode fs.FileMode, b []byte) error {
	return durable.Replace(file, mode, func(f *os.File) error {
		_, err := f.Write(b)
		return err
	})
}

func readCerts(file string) (out []*x509.Certificate, err error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	for block, rest := pem.Decode(b); block != nil; block, rest = pem.Decode(rest) {
		c, err := x509.ParseCertificate(block.Bytes)
		if err != nil {
			return nil, fmt.Errorf("keys: %s: %w", file, err)
		}
		out = append(out, c)
	}
	if len(out) == 0 {
		return nil, fmt.Errorf("keys: %s contains no certificate", file)
	}
	return out, nil
}

func readRevoked(file string) ([]x509.RevocationListEntry, error) {
	list, err := readRevocationList(file)
	if err != nil {
		return nil, err
	}
	return list.RevokedCertificateEntries, nil
}

func readRevocationList(file string) (*x509.RevocationList, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	block, _ := pem.Decode(b)
	if block == nil {
		return nil, fmt.Errorf("keys: %s contains no revocation list", file)
	}
	return x509.ParseRevocationList(block.Bytes)
}
