package gateway_test

import (
	"context"
	"crypto/tls"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"merlinhitch/internal/control/gateway"
	"merlinhitch/internal/control/keys"
	"merlinhitch/internal/control/settings"
	"merlinhitch/internal/protocol/initiator"
	"merlinhitch/internal/protocol/scsi"
)

// testAuthority is a certificate authority with the folders of its holders. All use its clock,
// which a test can advance.
type testAuthority struct {
	t           *testing.T
	dir         string
	clockOffset atomic.Int64
	ca          *keys.Authority
}

func newTestAuthority(t *testing.T) *testAuthority {
	authority := &testAuthority{t: t, dir: t.TempDir()}
	var err error
	if authority.ca, err = keys.Init(filepath.Join(authority.dir, "authority"), authority.now); err != nil {
		t.Fatal(err)
	}
	return authority
}

func (a *testAuthority) now() time.Time { return time.Now().Add(time.Duration(a.clockOffset.Load())) }

func (a *testAuthority) holderDir(name string) string { return filepath.Join(a.dir, name) }

// issue writes a new certificate for a name to the holder's folder.
func (a *testAuthority) issue(name string, role keys.Role, lifetime time.Duration) {
	a.t.Helper()
	if _, err := a.ca.Issue(name, role, lifetime, []string{"127.0.0.1"}, a.holderDir(name)); err != nil {
		a.t.Fatal(err)
	}
}

// newHolder issues a certificate and reads the holder's folder.
func (a *testAuthority) newHolder(name string, role keys.Role, lifetime time.Duration) *keys.Credentials {
	a.t.Helper()
	a.issue(name, role, lifetime)
	holder, err := keys.LoadCredentials(a.holderDir(name), a.now)
	if err != nil {
		a.t.Fatal(err)
	}
	return holder
}

// newAPI returns a TLS client of the admin API at addr, with a certificate of role.
func (a *testAuthority) newAPI(addr, name string, role keys.Role, lifetime time.Duration) *settings.API {
	api := settings.NewTLSAPI(addr, a.newHolder(name, role, lifetime).ClientConfig("127.0.0.1"))
	a.t.Cleanup(api.Close)
	return api
}

// No command may be refused or lost when the keys of the host, the disk servers and the authority
// are rotated under load.
func TestKeyRotationUnderLoad(t *testing.T) {
	authority := newTestAuthority(t)
	hostKeys, diskServerKeys := authority.newHolder("host", keys.RoleMachine, 24*time.Hour), authority.newHolder("disks", keys.RoleMachine, 24*time.Hour)
	h := newHarnessWithConfig(t, nil, func(config *gateway.Config) { config.Keys, config.Admin = hostKeys, "127.0.0.1:0" }, diskServerKeys)
	admin := authority.newAPI(h.gateway.Admin().String(), "rui", keys.RoleAdminister, time.Hour)
	var done atomic.Bool
	var servedCount atomic.Int64
	var tasks sync.WaitGroup
	for i := range 4 {
		client := h.connect(4, byte(1+i))
		tasks.Go(func() {
			for n := uint64(0); !done.Load(); n++ {
				cdb, data := initiator.ReadCDB(n%512, 1), []byte(nil)
				if n%4 == 0 {
					cdb, data = initiator.WriteCDB(n%512, 1), make([]byte, 4096)
				}
				result, err := client.Do(context.Background(), cdb, data, 4096)
				if err != nil || result.Status != scsi.Good {
					t.Errorf("command during the rotation: got status %02x, error %v, want GOOD", result.Status, err)
					return
				}
				servedCount.Add(1)
			}
		})
	}
	waitForCommands := func() { // until 100 more commands were served
		target := servedCount.Load() + 100
		h.waitFor("100 more commands are served", func() bool { return servedCount.Load() > target || t.Failed() })
	}
	reload := func() {
		t.Helper()
		if err := diskServerKeys.Reload(); err != nil {
			t.Error(err)
		}
		if err := admin.Call(context.Background(), "/keys/reload"); err != nil {
			t.Error(err)
		}
		waitForCommands()
	}
	waitForCommands()
	authority.issue("host", keys.RoleMachine, 12*time.Hour)
	reload()
	if err := authority.ca.Rotate(); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"host", "disks"} {
		if err := authority.ca.Distribute(authority.holderDir(name)); err != nil {
			t.Fatal(err)
		}
	}
	reload()
	authority.issue("host", keys.RoleMachine, 12*time.Hour)
	authority.issue("disks", keys.RoleMachine, 12*time.Hour)
	reload()
	done.Store(true)
	tasks.Wait()
	t.Logf("%d commands served while keys were reloaded three times and the authority's rotated once", servedCount.Load())
}

// When host and disk server have certificates of different authorities, nothing may reach the disk
// server, and clients get BUSY.
func TestOtherAuthorityIsRejected(t *testing.T) {
	hostAuthority, diskAuthority := newTestAuthority(t), newTestAuthority(t)
	h := newHarnessWithConfig(t, useOneShard, func(config *gateway.Config) {
		config.Keys = hostAuthority.newHolder("host", keys.RoleMachine, time.Hour)
	},
		diskAuthority.newHolder("disks", keys.RoleMachine, time.Hour))
	if result := h.execute(h.connect(normalVolume, 1), initiator.ReadCDB(0, 1), nil, 4096); result.Status != scsi.Busy {
		t.Errorf("read: got status %02x, want BUSY", result.Status)
	}
	if n := h.diskServers[0].Served(); n != 0 {
		t.Errorf("disk server served %d requests, want 0", n)
	}
}

// A disk server must serve nothing on open connections once the host's certificate has expired.
// With a new certificate the host must be served again.
func TestCertificateExpiresDuringConnections(t *testing.T) {
	authority := newTestAuthority(t)
	hostKeys := authority.newHolder("host", keys.RoleMachine, time.Hour)
	h := newHarnessWithConfig(t, useOneShard, func(config *gateway.Config) { config.Keys = hostKeys }, authority.newHolder("disks", keys.RoleMachine, 48*time.Hour))
	client := h.connect(normalVolume, 1)
	if result := h.execute(client, initiator.ReadCDB(0, 1), nil, 4096); result.Status != scsi.Good {
		t.Fatalf("read before the expiry: got status %02x, want GOOD", result.Status)
	}
	served := h.diskServers[0].Served()
	authority.clockOffset.Store(int64(2 * time.Hour))
	if result := h.execute(client, initiator.ReadCDB(0, 1), nil, 4096); result.Status == scsi.Good {
		t.Errorf("read after the expiry: got GOOD, want another status")
	}
	if n := h.diskServers[0].Served(); n != served {
		t.Errorf("disk server served %d requests after the expiry, want 0", n-served)
	}
	authority.issue("host", keys.RoleMachine, 12*time.Hour)
	if err := h.gateway.ReloadKeys(); err != nil {
		t.Fatal(err)
	}
	h.waitFor("a read is served with the new certificate", func() bool { return h.execute(client, initiator.ReadCDB(0, 1), nil, 4096).Status == scsi.Good })
}

// The admin API must enforce the permissions of each role and check the certificate on each call.
func TestAdminAPIRoles(t *testing.T) {
	authority := newTestAuthority(t)
	h := newHarnessWithConfig(t, func(s *settings.Settings) {
		s.Target.Chap = []settings.Chap{{User: "posto", Secret: "a secret that is long"}}
	}, func(config *gateway.Config) {
		config.Keys, config.Admin = authority.newHolder("host", keys.RoleMachine, time.Hour), "127.0.0.1:0"
	}, authority.newHolder("disks", keys.RoleMachine, time.Hour))
	addr, ctx := h.gateway.Admin().String(), context.Background()
	changeLimit := func(s *settings.Settings) { s.Plans[0].Limit++ }
	changeSecret := func(s *settings.Settings) { s.Target.Chap[0].Secret = "another that is long" }
	change := func(api *settings.API, edit func(s *settings.Settings)) error {
		s, err := api.Get(ctx)
		if err != nil {
			return err
		}
		edit(s)
		_, err = api.Put(ctx, s, settings.ChangeOptions{Why: "test", Who: "somebody else"})
		return err
	}
	for _, tt := range []struct {
		role                                   keys.Role
		mayRead, mayChangeLimit, mayAdminister bool
	}{{keys.RoleRead, true, false, false}, {keys.RoleOperate, true, true, false}, {keys.RoleAdminister, true, true, true}, {keys.RoleMachine, false, false, false}} {
		api := authority.newAPI(addr, "as-"+string(tt.role), tt.role, time.Hour)
		if _, err := api.Get(ctx); (err == nil) != tt.mayRead {
			t.Errorf("role %s reads settings: got error %v, want the opposite", tt.role, err)
		}
		if err := change(api, changeLimit); (err == nil) != tt.mayChangeLimit {
			t.Errorf("role %s changes a limit: got error %v, want the opposite", tt.role, err)
		}
		if err := change(api, changeSecret); (err == nil) != tt.mayAdminister {
			t.Errorf("role %s changes a secret: got error %v, want the opposite", tt.role, err)
		}
		if err := api.Call(ctx, "/keys/reload"); (err == nil) != tt.mayAdminister {
			t.Errorf("role %s reloads keys: got error %v, want the opposite", tt.role, err)
		}
	}
	entries, err := h.gateway.Settings().Log(1, 10)
	if err != nil || len(entries) != 4 || entries[1].Who != "as-operate" || entries[3].Who != "as-administer" {
		t.Errorf("settings log: got %v, error %v, want four entries with the names of the certificates", entries, err)
	}
	if _, err := settings.NewTLSAPI(addr, newTestAuthority(t).newHolder("x", keys.RoleAdminister, time.Hour).ClientConfig("127.0.0.1")).Get(ctx); err == nil {
		t.Error("call with a certificate of another authority: got no error")
	}
	if _, err := settings.NewTLSAPI(addr, &tls.Config{InsecureSkipVerify: true}).Get(ctx); err == nil {
		t.Error("call without a certificate: got no error")
	}
	if _, err := settings.NewAPI(addr).Get(ctx); err == nil {
		t.Error("call without TLS: got no error")
	}
	expiringAPI := authority.newAPI(addr, "short", keys.RoleOperate, time.Minute)
	if _, err := expiringAPI.Get(ctx); err != nil {
		t.Fatal(err)
	}
	authority.clockOffset.Store(int64(2 * time.Minute))
	if _, err := expiringAPI.Get(ctx); err == nil || !strings.Contains(err.Error(), "certificate has expired") {
		t.Errorf("call after the certificate expired: got error %v, want one that says so", err)
	}
}

// Changes over the Unix socket must be logged with the caller's user ID and the name it claims. An
// admin address that is not local must be rejected without keys.
func TestAdminUnixSocket(t *testing.T) {
	socket := "unix:" + filepath.Join(t.TempDir(), "admin.sock")
	h := newHarnessWithConfig(t, nil, func(config *gateway.Config) { config.Admin = socket }, nil)
	api := settings.NewAPI(socket)
	defer api.Close()
	s, err := api.Get(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	s.Plans[0].Limit++
	if _, err := api.Put(context.Background(), s, settings.ChangeOptions{Why: "more", Who: "ines"}); err != nil {
		t.Fatal(err)
	}
	entries, err := h.gateway.Settings().Log(2, 1)
	if err != nil || len(entries) != 1 || !strings.HasPrefix(entries[0].Who, "uid ") || !strings.HasSuffix(entries[0].Who, ", claimed ines") {
		t.Errorf("settings log: got %+v, error %v, want one entry by the caller's uid that claims ines", entries, err)
	}
	if gw, err := gateway.Start(gateway.Config{Environment: h.environment, Name: "h", Admin: "0.0.0.0:0", Inventory: h.inventory.Addr}); err == nil {
		gw.Kill()
		t.Error("gateway started with admin address 0.0.0.0 without keys, want an error")
	}
}
