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
	at        time.Time
	authority *Authority
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{t: t, dir: filepath.Join(t.TempDir(), "authority"), at: time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)}
	var err error
	if f.authority, err = Init(f.dir, f.now); err != nil {
		t.Fatal(err)
	}
	return f
}

func (f *fixture) now() time.Time { return f.at }

func (f *fixture) issue(name string, role Role, life time.Duration) *Credentials {
	f.t.Helper()
	dir := filepath.Join(f.t.TempDir(), name)
	if _, err := f.authority.Issue(name, role, life, []string{"127.0.0.1"}, dir); err != nil {
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
	end := make(chan error, 1)
	go func() {
		x := tls.Server(a, server)
		err := x.Handshake()
		if err == nil {
			_, err = x.Write([]byte{1})
		}
		a.Close()
		end <- err
	}()
	x := tls.Client(b, client)
	err := x.Handshake()
	if err == nil {
		_, err = io.ReadFull(x, make([]byte, 1))
	}
	b.Close()
	return <-end, err
}

func TestMachineHandshakes(t *testing.T) {
	f := newFixture(t)
	host, disk := f.issue("h0", RoleMachine, time.Hour), f.issue("d0", RoleMachine, time.Hour)
	if s, c := handshake(disk.ServerConfig(true), host.ClientConfig("")); s != nil || c != nil {
		t.Fatal(s, c)
	}
	other := newFixture(t)
	ines := f.issue("ines", RoleAdminister, time.Hour)
	for name, x := range map[string]struct{ server, client *Credentials }{
		"operator certificate as a host":        {disk, ines},
		"operator certificate as a disk server": {ines, host},
		"host of another authority":             {disk, other.issue("h0", RoleMachine, time.Hour)},
		"disk server of another authority":      {other.issue("d0", RoleMachine, time.Hour), host},
	} {
		if s, c := handshake(x.server.ServerConfig(true), x.client.ClientConfig("")); s == nil && c == nil {
			t.Errorf("%s: handshake succeeded", name)
		}
	}
	plain := &tls.Config{InsecureSkipVerify: true}
	if s, _ := handshake(disk.ServerConfig(true), plain); s == nil {
		t.Error("handshake succeeded without a client certificate")
	}
	old := host.ClientConfig("")
	old.MinVersion, old.MaxVersion = tls.VersionTLS12, tls.VersionTLS12
	if s, _ := handshake(disk.ServerConfig(true), old); s == nil {
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
	f.at = f.at.Add(61 * time.Minute)
	if err := disk.CheckPeer(cert); !errors.Is(err, ErrExpired) {
		t.Error(err)
	}
	if s, _ := handshake(disk.ServerConfig(true), host.ClientConfig("")); s == nil {
		t.Error("handshake succeeded with an expired certificate")
	}
	f.at = f.at.Add(-2 * time.Hour) // before the certificate's validity
	if err := disk.CheckPeer(cert); !errors.Is(err, ErrExpired) {
		t.Error(err)
	}
	f.at = f.at.Add(time.Hour)
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
	ok := func(when string) {
		t.Helper()
		if s, c := handshake(disk.ServerConfig(true), host.ClientConfig("")); s != nil || c != nil {
			t.Errorf("%s: %v, %v", when, s, c)
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
		ok("new list distributed")
	}
	for _, h := range []*Credentials{host, disk} {
		if _, err := f.authority.Issue("anew", RoleMachine, time.Hour, nil, h.dir); err != nil {
			t.Fatal(err)
		}
		if err := h.Reload(); err != nil {
			t.Fatal(err)
		}
		ok("new certificate on one side or both")
	}
	if err := f.authority.DropOldTrust(); err != nil {
		t.Fatal(err)
	}
	for _, h := range []*Credentials{host, disk} {
		f.authority.Distribute(h.dir)
		if err := h.Reload(); err != nil {
			t.Fatal(err)
		}
		ok("old authority no longer trusted")
	}
	if err := disk.CheckPeer(cert); !errors.Is(err, ErrRevoked) {
		t.Errorf("certificate is no longer revoked after the rotation: %v", err)
	}
	if again, err := Open(f.dir, f.now); err != nil || !again.key.Equal(f.authority.key) {
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
		sound, err := os.ReadFile(filepath.Join(host.dir, file))
		if err != nil {
			t.Fatal(err)
		}
		strange, err := os.ReadFile(filepath.Join(other.dir, file))
		if err != nil {
			t.Fatal(err)
		}
		for name, b := range map[string][]byte{"truncated": sound[:len(sound)/2], "empty": nil, "of another authority": strange} {
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
		if err := os.WriteFile(filepath.Join(host.dir, file), sound, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if err := host.Reload(); err != nil {
		t.Error(err)
	}
}

func TestRoles(t *testing.T) {
	for _, x := range []struct {
		has, need Role
		may       bool
	}{{RoleRead, RoleRead, true}, {RoleRead, RoleOperate, false}, {RoleOperate, RoleRead, true}, {RoleOperate, RoleAdminister, false}, {RoleAdminister, RoleOperate, true}, {RoleMachine, RoleRead, false}, {"", RoleRead, false}} {
		if x.has.Includes(x.need) != x.may {
			t.Errorf("role %q includes %q: got %v", x.has, x.need, !x.may)
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
