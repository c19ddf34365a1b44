package keys

import (
	"crypto/tls"
	"errors"
	"io"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// fixture is an authority with a settable clock.
type fixture struct {
	t         *testing.T
	dir       string
	time      time.Time
	authority *Authority
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{t: t, dir: filepath.Join(t.TempDir(), "authority"), time: time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)}
	var err error
	if f.authority, err = Init(f.dir, f.now); err != nil {
		t.Fatal(err)
	}
	return f
}

func (f *fixture) now() time.Time { return f.time }

func (f *fixture) issue(name string, role Role, lifetime time.Duration) *Credentials {
	f.t.Helper()
	dir := filepath.Join(f.t.TempDir(), name)
	if _, err := f.authority.Issue(name, role, lifetime, []string{"127.0.0.1"}, dir); err != nil {
		f.t.Fatal(err)
	}
	h, err := LoadCredentials(dir, f.now)
	if err != nil {
		f.t.Fatal(err)
	}
	return h
}

// handshake runs a TLS handshake over a pipe and returns the errors of server and client.
func handshake(server, client *tls.Config) (s, c error) {
	a, b := net.Pipe()
	serverErr := make(chan error, 1)
	go func() {
		conn := tls.Server(a, server)
		err := conn.Handshake()
		if err == nil {
			_, err = conn.Write([]byte{1})
		}
		a.Close()
		serverErr <- err
	}()
	conn := tls.Client(b, client)
	err := conn.Handshake()
	if err == nil {
		_, err = io.ReadFull(conn, make([]byte, 1))
	}
	b.Close()
	return <-serverErr, err
}

func TestMachineHandshakes(t *testing.T) {
	f := newFixture(t)
	host, disk := f.issue("h0", RoleMachine, time.Hour), f.issue("d0", RoleMachine, time.Hour)
	if s, c := handshake(disk.ServerConfig(true), host.ClientConfig("")); s != nil || c != nil {
		t.Fatal(s, c)
	}
	other := newFixture(t)
	ines := f.issue("ines", RoleAdminister, time.Hour)
	for name, pair := range map[string]struct{ server, client *Credentials }{
		"operator certificate as a host":        {disk, ines},
		"operator certificate as a disk server": {ines, host},
		"host of another authority":             {disk, other.issue("h0", RoleMachine, time.Hour)},
		"disk server of another authority":      {other.issue("d0", RoleMachine, time.Hour), host},
	} {
		if s, c := handshake(pair.server.ServerConfig(true), pair.client.ClientConfig("")); s == nil && c == nil {
			t.Errorf("%s: handshake succeeded", name)
		}
	}
	plain := &tls.Config{InsecureSkipVerify: true}
	if s, _ := handshake(disk.ServerConfig(true), plain); s == nil {
		t.Error("handshake succeeded without a client certificate")
	}
	tls12 := host.ClientConfig("")
	tls12.MinVersion, tls12.MaxVersion = tls.VersionTLS12, tls.VersionTLS12
	if s, _ := handshake(disk.ServerConfig(true), tls12); s == nil {
		t.Error("handshake succeeded with TLS 1.2")
	}
}

// An expired or revoked certificate is refused in the handshake and, during a session, by
// CheckPeer.
func TestExpiryAndRevocation(t *testing.T) {
	f := newFixture(t)
	host, disk := f.issue("h0", RoleMachine, time.Hour), f.issue("d0", RoleMachine, 24*time.Hour)
	cert, err := ReadCertificate(host.dir)
	if err != nil {
		t.Fatal(err)
	}
	if err := disk.CheckPeer(cert); err != nil {
		t.Error(err)
	}
	f.time = f.time.Add(61 * time.Minute)
	if err := disk.CheckPeer(cert); !errors.Is(err, ErrExpired) {
		t.Error(err)
	}
	if s, _ := handshake(disk.ServerConfig(true), host.ClientConfig("")); s == nil {
		t.Error("handshake succeeded with an expired certificate")
	}
	f.time = f.time.Add(-2 * time.Hour) // before the certificate's validity
	if err := disk.CheckPeer(cert); !errors.Is(err, ErrExpired) {
		t.Error(err)
	}
	f.time = f.time.Add(time.Hour)
	if err := f.authority.Revoke(cert.SerialNumber); err != nil {
		t.Fatal(err)
	}
	if err := f.authority.Distribute(disk.dir); err != nil {
		t.Fatal(err)
	}
	if err := disk.CheckPeer(cert); err != nil {
		t.Error("revoked before the reload:", err)
	}
	if err := disk.Reload(); err != nil {
		t.Fatal(err)
	}
	if err := disk.CheckPeer(cert); !errors.Is(err, ErrRevoked) {
		t.Error(err)
	}
	if s, _ := handshake(disk.ServerConfig(true), host.ClientConfig("")); s == nil {
		t.Error("handshake succeeded with a revoked certificate")
	}
}

// At every step of a rotation, holders with old and new certificates can connect, and
// revoked certificates stay revoked.
func TestRotation(t *testing.T) {
	f := newFixture(t)
	host, disk := f.issue("h0", RoleMachine, time.Hour), f.issue("d0", RoleMachine, time.Hour)
	mustConnect := func(step string) {
		t.Helper()
		if s, c := handshake(disk.ServerConfig(true), host.ClientConfig("")); s != nil || c != nil {
			t.Errorf("%s: %v, %v", step, s, c)
		}
	}
	revoked := f.issue("ines", RoleOperate, time.Hour)
	cert, _ := ReadCertificate(revoked.dir)
	if err := f.authority.Revoke(cert.SerialNumber); err != nil {
		t.Fatal(err)
	}
	if err := f.authority.Rotate(); err != nil {
		t.Fatal(err)
	}
	for _, h := range []*Credentials{host, disk} {
		if err := f.authority.Distribute(h.dir); err != nil {
			t.Fatal(err)
		}
		if err := h.Reload(); err != nil {
			t.Fatal(err)
		}
		mustConnect("new list distributed")
	}
	for _, h := range []*Credentials{host, disk} {
		if _, err := f.authority.Issue("anew", RoleMachine, time.Hour, nil, h.dir); err != nil {
			t.Fatal(err)
		}
		if err := h.Reload(); err != nil {
			t.Fatal(err)
		}
		mustConnect("new certificate on one side or both")
	}
	if err := f.authority.DropOldTrust(); err != nil {
		t.Fatal(err)
	}
	for _, h := range []*Credentials{host, disk} {
		f.authority.Distribute(h.dir)
		if err := h.Reload(); err != nil {
			t.Fatal(err)
		}
		mustConnect("old authority no longer trusted")
	}
	if err := disk.CheckPeer(cert); !errors.Is(err, ErrRevoked) {
		t.Errorf("certificate is no longer revoked after the rotation: %v", err)
	}
	if reopened, err := Open(f.dir, f.now); err != nil || !reopened.key.Equal(f.authority.key) {
		t.Error(err)
	}
	if _, err := Init(f.dir, f.now); !errors.Is(err, ErrExists) {
		t.Error(err)
	}
}

// A failed reload leaves the old credentials in use.
func TestReloadOfBadFiles(t *testing.T) {
	f := newFixture(t)
	host, disk := f.issue("h0", RoleMachine, time.Hour), f.issue("d0", RoleMachine, time.Hour)
	other := newFixture(t).issue("x", RoleMachine, time.Hour)
	for _, file := range []string{CertFile, KeyFile, TrustFile, RevokedFile} {
		valid, err := os.ReadFile(filepath.Join(host.dir, file))
		if err != nil {
			t.Fatal(err)
		}
		foreign, err := os.ReadFile(filepath.Join(other.dir, file))
		if err != nil {
			t.Fatal(err)
		}
		for name, b := range map[string][]byte{"truncated": valid[:len(valid)/2], "empty": nil, "of another authority": foreign} {
			if err := os.WriteFile(filepath.Join(host.dir, file), b, 0o600); err != nil {
				t.Fatal(err)
			}
			if err := host.Reload(); err == nil {
				t.Errorf("%s %s was accepted", file, name)
			}
			if s, c := handshake(disk.ServerConfig(true), host.ClientConfig("")); s != nil || c != nil {
				t.Errorf("%s %s: %v, %v", file, name, s, c)
			}
		}
		if err := os.WriteFile(filepath.Join(host.dir, file), valid, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if err := host.Reload(); err != nil {
		t.Error(err)
	}
}

func TestRoles(t *testing.T) {
	for _, test := range []struct {
		role, required Role
		includes       bool
	}{{RoleRead, RoleRead, true}, {RoleRead, RoleOperate, false}, {RoleOperate, RoleRead, true}, {RoleOperate, RoleAdminister, false}, {RoleAdminister, RoleOperate, true}, {RoleMachine, RoleRead, false}, {"", RoleRead, false}} {
		if test.role.Includes(test.required) != test.includes {
			t.Errorf("role %q includes %q: got %v", test.role, test.required, !test.includes)
		}
	}
	f := newFixture(t)
	for _, name := range []string{"", "a/b", string(make([]byte, 80))} {
		if _, err := f.authority.Issue(name, RoleRead, time.Hour, nil, t.TempDir()); err == nil {
			t.Errorf("a certificate was issued for name %q", name)
		}
	}
	if _, err := f.authority.Issue("x", "root", time.Hour, nil, t.TempDir()); err == nil {
		t.Error("a certificate was issued for an unknown role")
	}
}
