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
	k := &testAuthority{t: t, dir: t.TempDir()}
	var err error
	if k.authority, err = keys.Init(filepath.Join(k.dir, "authority"), k.now); err != nil {
		t.Fatal(err)
	}
	return k
}

func (k *testAuthority) now() time.Time { return time.Now().Add(time.Duration(k.clockOffset.Load())) }

func (k *testAuthority) holderDir(name string) string { return filepath.Join(k.dir, name) }

func (k *testAuthority) issue(name string, role keys.Role, life time.Duration) {
	k.t.Helper()
	if _, err := k.authority.Issue(name, role, life, []string{"127.0.0.1"}, k.holderDir(name)); err != nil {
		k.t.Fatal(err)
	}
}

func (k *testAuthority) newHolder(name string, role keys.Role, life time.Duration) *keys.Holder {
	k.t.Helper()
	k.issue(name, role, life)
	h, err := keys.Hold(k.holderDir(name), k.now)
	if err != nil {
		k.t.Fatal(err)
	}
	return h
}

func (k *testAuthority) newAPI(addr, name string, role keys.Role, life time.Duration) *settings.API {
	api := settings.NewTLSAPI(addr, k.newHolder(name, role, life).Client("127.0.0.1"))
	k.t.Cleanup(api.Close)
	return api
}

// Host and disk servers speak TLS with certificates of both; keys are renewed, and the
// authority's as well, while clients read and write: every connection is made anew and no
// command is refused or lost.
func TestKeyRotationUnderLoad(t *testing.T) {
	k := newTestAuthority(t)
	host, disks := k.newHolder("host", keys.Machine, 24*time.Hour), k.newHolder("disks", keys.Machine, 24*time.Hour)
	r := newHarnessWithConfig(t, nil, func(c *gateway.Config) { c.Keys, c.Admin = host, "127.0.0.1:0" }, disks)
	admin := k.newAPI(r.gateway.Admin().String(), "rui", keys.Administer, time.Hour)
	var done atomic.Bool
	var served atomic.Int64
	var all sync.WaitGroup
	for i := range 4 {
		c := r.connect(4, byte(1+i))
		all.Go(func() {
			for n := uint64(0); !done.Load(); n++ {
				cdb, data := initiator.ReadCDB(n%512, 1), []byte(nil)
				if n%4 == 0 {
					cdb, data = initiator.WriteCDB(n%512, 1), make([]byte, 4096)
				}
				res, err := c.Do(context.Background(), cdb, data, 4096)
				if err != nil || res.Status != scsi.Good {
					t.Errorf("status %02x, %v", res.Status, err)
					return
				}
				served.Add(1)
			}
		})
	}
	more := func() { // commands go on under what was just done
		at := served.Load() + 100
		r.waitFor("commands", func() bool { return served.Load() > at || t.Failed() })
	}
	reload := func() {
		t.Helper()
		if err := disks.Reload(); err != nil {
			t.Error(err)
		}
		if err := admin.Call(context.Background(), "/keys/reload"); err != nil {
			t.Error(err)
		}
		more()
	}
	more()
	k.issue("host", keys.Machine, 12*time.Hour)
	reload()
	if err := k.authority.Rotate(); err != nil {
		t.Fatal(err)
	}
	for _, f := range []string{"host", "disks"} {
		if err := k.authority.Hand(k.holderDir(f)); err != nil {
			t.Fatal(err)
		}
	}
	reload()
	k.issue("host", keys.Machine, 12*time.Hour)
	k.issue("disks", keys.Machine, 12*time.Hour)
	reload()
	done.Store(true)
	all.Wait()
	t.Logf("%d commands while the host's keys were renewed three times and the authority's once: none refused or lost", served.Load())
}

// A disk server of another authority is never spoken to, and a host of another is not let
// in: clients are refused, and nothing runs.
func TestOtherAuthorityIsRejected(t *testing.T) {
	ours, theirs := newTestAuthority(t), newTestAuthority(t)
	r := newHarnessWithConfig(t, useOneShard, func(c *gateway.Config) { c.Keys = ours.newHolder("host", keys.Machine, time.Hour) },
		theirs.newHolder("disks", keys.Machine, time.Hour))
	if res := r.execute(r.connect(normalVolume, 1), initiator.ReadCDB(0, 1), nil, 4096); res.Status != scsi.Busy {
		t.Errorf("status %02x", res.Status)
	}
	if n := r.diskServers[0].Served(); n != 0 {
		t.Errorf("%d served", n)
	}
}

// A host's certificate that runs out in the midst of its connections: the disk server
// takes nothing more by them, and with a new one the host goes on.
func TestCertificateExpiresDuringConnections(t *testing.T) {
	k := newTestAuthority(t)
	host := k.newHolder("host", keys.Machine, time.Hour)
	r := newHarnessWithConfig(t, useOneShard, func(c *gateway.Config) { c.Keys = host }, k.newHolder("disks", keys.Machine, 48*time.Hour))
	c := r.connect(normalVolume, 1)
	if res := r.execute(c, initiator.ReadCDB(0, 1), nil, 4096); res.Status != scsi.Good {
		t.Fatalf("status %02x", res.Status)
	}
	served := r.diskServers[0].Served()
	k.clockOffset.Store(int64(2 * time.Hour))
	if res := r.execute(c, initiator.ReadCDB(0, 1), nil, 4096); res.Status == scsi.Good {
		t.Errorf("served under a certificate that had run out")
	}
	if n := r.diskServers[0].Served(); n != served {
		t.Errorf("%d served", n-served)
	}
	k.issue("host", keys.Machine, 12*time.Hour)
	if err := r.gateway.ReloadKeys(); err != nil {
		t.Fatal(err)
	}
	r.waitFor("service", func() bool { return r.execute(c, initiator.ReadCDB(0, 1), nil, 4096).Status == scsi.Good })
}

// What each role may do at the admin API, and that a certificate counts as of each call.
func TestAdminAPIRoles(t *testing.T) {
	k := newTestAuthority(t)
	r := newHarnessWithConfig(t, func(s *settings.Settings) {
		s.Target.Chap = []settings.Chap{{User: "posto", Secret: "a secret that is long"}}
	}, func(c *gateway.Config) { c.Keys, c.Admin = k.newHolder("host", keys.Machine, time.Hour), "127.0.0.1:0" }, k.newHolder("disks", keys.Machine, time.Hour))
	addr, ctx := r.gateway.Admin().String(), context.Background()
	limit := func(s *settings.Settings) { s.Plans[0].Limit++ }
	secret := func(s *settings.Settings) { s.Target.Chap[0].Secret = "another that is long" }
	try := func(api *settings.API, f func(s *settings.Settings)) error {
		s, err := api.Get(ctx)
		if err != nil {
			return err
		}
		f(s)
		_, err = api.Put(ctx, s, settings.Ask{Why: "test", Who: "somebody else"})
		return err
	}
	for _, x := range []struct {
		role          keys.Role
		get, put, sec bool
	}{{keys.Read, true, false, false}, {keys.Operate, true, true, false}, {keys.Administer, true, true, true}, {keys.Machine, false, false, false}} {
		api := k.newAPI(addr, "as-"+string(x.role), x.role, time.Hour)
		if _, err := api.Get(ctx); (err == nil) != x.get {
			t.Errorf("%s reads: %v", x.role, err)
		}
		if err := try(api, limit); (err == nil) != x.put {
			t.Errorf("%s changes a limit: %v", x.role, err)
		}
		if err := try(api, secret); (err == nil) != x.sec {
			t.Errorf("%s changes a secret: %v", x.role, err)
		}
		if err := api.Call(ctx, "/keys/reload"); (err == nil) != x.sec {
			t.Errorf("%s reloads keys: %v", x.role, err)
		}
	}
	log, err := r.gateway.Settings().Log(1, 10)
	if err != nil || len(log) != 4 || log[1].Who != "as-operate" || log[3].Who != "as-administer" {
		t.Errorf("%v, %v", log, err)
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
	session := k.newAPI(addr, "short", keys.Operate, time.Minute)
	if _, err := session.Get(ctx); err != nil {
		t.Fatal(err)
	}
	k.clockOffset.Store(int64(2 * time.Minute))
	if _, err := session.Get(ctx); err == nil || !strings.Contains(err.Error(), "run out") {
		t.Errorf("in the midst of a session: %v", err)
	}
}

// The Unix socket is for the gateway's own user, and an address that others reach needs
// keys.
func TestAdminUnixSocket(t *testing.T) {
	socket := "unix:" + filepath.Join(t.TempDir(), "admin.sock")
	r := newHarnessWithConfig(t, nil, func(c *gateway.Config) { c.Admin = socket }, nil)
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
	log, err := r.gateway.Settings().Log(2, 1)
	if err != nil || len(log) != 1 || !strings.HasPrefix(log[0].Who, "uid ") || !strings.HasSuffix(log[0].Who, ", claimed ines") {
		t.Errorf("%+v, %v", log, err)
	}
	if g, err := gateway.Start(gateway.Config{Environment: r.environment, Name: "h", Admin: "0.0.0.0:0", Inventory: r.inventory.Addr}); err == nil {
		g.Kill()
		t.Error("an admin address for everybody without keys")
	}
}
