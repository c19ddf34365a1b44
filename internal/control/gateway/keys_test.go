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

// testAuthority is an authority, the folders of its holders, and the clock of them all.
type testAuthority struct {
	t           *testing.T
	dir         string
	clockOffset atomic.Int64
	authority   *keys.Authority
}

func newTestAuthority(t *testing.T) *testAuthority {
	authority := &testAuthority{t: t, dir: t.TempDir()}
	var err error
	if authority.authority, err = keys.Init(filepath.Join(authority.dir, "authority"), authority.now); err != nil {
		t.Fatal(err)
	}
	return authority
}

func (a *testAuthority) now() time.Time { return time.Now().Add(time.Duration(a.clockOffset.Load())) }

func (a *testAuthority) holderDir(name string) string { return filepath.Join(a.dir, name) }

func (a *testAuthority) issue(name string, role keys.Role, lifetime time.Duration) {
	a.t.Helper()
	if _, err := a.authority.Issue(name, role, lifetime, []string{"127.0.0.1"}, a.holderDir(name)); err != nil {
		a.t.Fatal(err)
	}
}

func (a *testAuthority) newHolder(name string, role keys.Role, lifetime time.Duration) *keys.Holder {
	a.t.Helper()
	a.issue(name, role, lifetime)
	holder, err := keys.Hold(a.holderDir(name), a.now)
	if err != nil {
		a.t.Fatal(err)
	}
	return holder
}

func (a *testAuthority) newAPI(addr, name string, role keys.Role, lifetime time.Duration) *settings.API {
	api := settings.NewTLSAPI(addr, a.newHolder(name, role, lifetime).Client("127.0.0.1"))
	a.t.Cleanup(api.Close)
	return api
}

// Host and disk servers speak TLS with certificates of both; keys are renewed, and the
// authority's as well, while clients read and write: every connection is made anew and no
// command is refused or lost.
func TestKeyRotationUnderLoad(t *testing.T) {
	authority := newTestAuthority(t)
	hostKeys, diskServerKeys := authority.newHolder("host", keys.Machine, 24*time.Hour), authority.newHolder("disks", keys.Machine, 24*time.Hour)
	h := newHarnessWithConfig(t, nil, func(config *gateway.Config) { config.Keys, config.Admin = hostKeys, "127.0.0.1:0" }, diskServerKeys)
	admin := authority.newAPI(h.gateway.Admin().String(), "rui", keys.Administer, time.Hour)
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
					t.Errorf("status %02x, %v", result.Status, err)
					return
				}
				servedCount.Add(1)
			}
		})
	}
	waitForCommands := func() { // commands go on under what was just done
		target := servedCount.Load() + 100
		h.waitFor("commands", func() bool { return servedCount.Load() > target || t.Failed() })
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
	authority.issue("host", keys.Machine, 12*time.Hour)
	reload()
	if err := authority.authority.Rotate(); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"host", "disks"} {
		if err := authority.authority.Hand(authority.holderDir(name)); err != nil {
			t.Fatal(err)
		}
	}
	reload()
	authority.issue("host", keys.Machine, 12*time.Hour)
	authority.issue("disks", keys.Machine, 12*time.Hour)
	reload()
	done.Store(true)
	tasks.Wait()
	t.Logf("%d commands while the host's keys were renewed three times and the authority's once: none refused or lost", servedCount.Load())
}

// A disk server of another authority is never spoken to, and a host of another is not let
// in: clients are refused, and nothing runs.
func TestOtherAuthorityIsRejected(t *testing.T) {
	hostAuthority, diskAuthority := newTestAuthority(t), newTestAuthority(t)
	h := newHarnessWithConfig(t, useOneShard, func(config *gateway.Config) { config.Keys = hostAuthority.newHolder("host", keys.Machine, time.Hour) },
		diskAuthority.newHolder("disks", keys.Machine, time.Hour))
	if result := h.execute(h.connect(normalVolume, 1), initiator.ReadCDB(0, 1), nil, 4096); result.Status != scsi.Busy {
		t.Errorf("status %02x", result.Status)
	}
	if n := h.diskServers[0].Served(); n != 0 {
		t.Errorf("%d served", n)
	}
}

// A host's certificate that runs out in the midst of its connections: the disk server
// takes nothing more by them, and with a new one the host goes on.
func TestCertificateExpiresDuringConnections(t *testing.T) {
	authority := newTestAuthority(t)
	hostKeys := authority.newHolder("host", keys.Machine, time.Hour)
	h := newHarnessWithConfig(t, useOneShard, func(config *gateway.Config) { config.Keys = hostKeys }, authority.newHolder("disks", keys.Machine, 48*time.Hour))
	client := h.connect(normalVolume, 1)
	if result := h.execute(client, initiator.ReadCDB(0, 1), nil, 4096); result.Status != scsi.Good {
		t.Fatalf("status %02x", result.Status)
	}
	served := h.diskServers[0].Served()
	authority.clockOffset.Store(int64(2 * time.Hour))
	if result := h.execute(client, initiator.ReadCDB(0, 1), nil, 4096); result.Status == scsi.Good {
		t.Errorf("served under a certificate that had run out")
	}
	if n := h.diskServers[0].Served(); n != served {
		t.Errorf("%d served", n-served)
	}
	authority.issue("host", keys.Machine, 12*time.Hour)
	if err := h.gateway.ReloadKeys(); err != nil {
		t.Fatal(err)
	}
	h.waitFor("service", func() bool { return h.execute(client, initiator.ReadCDB(0, 1), nil, 4096).Status == scsi.Good })
}

// What each role may do at the admin API, and that a certificate counts as of each call.
func TestAdminAPIRoles(t *testing.T) {
	authority := newTestAuthority(t)
	h := newHarnessWithConfig(t, func(s *settings.Settings) {
		s.Target.Chap = []settings.Chap{{User: "posto", Secret: "a secret that is long"}}
	}, func(config *gateway.Config) {
		config.Keys, config.Admin = authority.newHolder("host", keys.Machine, time.Hour), "127.0.0.1:0"
	}, authority.newHolder("disks", keys.Machine, time.Hour))
	addr, ctx := h.gateway.Admin().String(), context.Background()
	changeLimit := func(s *settings.Settings) { s.Plans[0].Limit++ }
	changeSecret := func(s *settings.Settings) { s.Target.Chap[0].Secret = "another that is long" }
	change := func(api *settings.API, edit func(s *settings.Settings)) error {
		s, err := api.Get(ctx)
		if err != nil {
			return err
		}
		edit(s)
		_, err = api.Put(ctx, s, settings.Ask{Why: "test", Who: "somebody else"})
		return err
	}
	for _, tt := range []struct {
		role                                   keys.Role
		mayRead, mayChangeLimit, mayAdminister bool
	}{{keys.Read, true, false, false}, {keys.Operate, true, true, false}, {keys.Administer, true, true, true}, {keys.Machine, false, false, false}} {
		api := authority.newAPI(addr, "as-"+string(tt.role), tt.role, time.Hour)
		if _, err := api.Get(ctx); (err == nil) != tt.mayRead {
			t.Errorf("%s reads: %v", tt.role, err)
		}
		if err := change(api, changeLimit); (err == nil) != tt.mayChangeLimit {
			t.Errorf("%s changes a limit: %v", tt.role, err)
		}
		if err := change(api, changeSecret); (err == nil) != tt.mayAdminister {
			t.Errorf("%s changes a secret: %v", tt.role, err)
		}
		if err := api.Call(ctx, "/keys/reload"); (err == nil) != tt.mayAdminister {
			t.Errorf("%s reloads keys: %v", tt.role, err)
		}
	}
	entries, err := h.gateway.Settings().Log(1, 10)
	if err != nil || len(entries) != 4 || entries[1].Who != "as-operate" || entries[3].Who != "as-administer" {
		t.Errorf("%v, %v", entries, err)
	}
	if _, err := settings.NewTLSAPI(addr, newTestAuthority(t).newHolder("x", keys.Administer, time.Hour).Client("127.0.0.1")).Get(ctx); err == nil {
		t.Error("a stranger was let in")
	}
	if _, err := settings.NewTLSAPI(addr, &tls.Config{InsecureSkipVerify: true}).Get(ctx); err == nil {
		t.Error("a caller without a certificate was let in")
	}
	if _, err := settings.NewAPI(addr).Get(ctx); err == nil {
		t.Error("a caller in clear was let in")
	}
	expiringAPI := authority.newAPI(addr, "short", keys.Operate, time.Minute)
	if _, err := expiringAPI.Get(ctx); err != nil {
		t.Fatal(err)
	}
	authority.clockOffset.Store(int64(2 * time.Minute))
	if _, err := expiringAPI.Get(ctx); err == nil || !strings.Contains(err.Error(), "run out") {
		t.Errorf("in the midst of a session: %v", err)
	}
}

// The Unix socket is for the gateway's own user, and an address that others reach needs
// keys.
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
	if _, err := api.Put(context.Background(), s, settings.Ask{Why: "more", Who: "ines"}); err != nil {
		t.Fatal(err)
	}
	entries, err := h.gateway.Settings().Log(2, 1)
	if err != nil || len(entries) != 1 || !strings.HasPrefix(entries[0].Who, "uid ") || !strings.HasSuffix(entries[0].Who, ", claimed ines") {
		t.Errorf("%+v, %v", entries, err)
	}
	if gw, err := gateway.Start(gateway.Config{Environment: h.environment, Name: "h", Admin: "0.0.0.0:0", Inventory: h.inventory.Addr}); err == nil {
		gw.Kill()
		t.Error("an admin address for everybody without keys")
	}
}
