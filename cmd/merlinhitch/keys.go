package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	"merlinhitch/internal/control/keys"
	"merlinhitch/internal/control/settings"
	"merlinhitch/internal/fleet/rollout"
)

type keysCmd struct {
	Init   keysInitCmd   `cmd:"" help:"Make the service's own authority."`
	Issue  keysIssueCmd  `cmd:"" help:"Make a key and a certificate, also in place of old ones."`
	Rotate keysRotateCmd `cmd:"" help:"Give the authority another key; the old one stays trusted."`
	Forget keysForgetCmd `cmd:"" help:"End the trust in all former keys of the authority."`
	Revoke keysRevokeCmd `cmd:"" help:"Have a certificate count no more."`
	Hand   keysHandCmd   `cmd:"" help:"Copy what is trusted and what is revoked to holders' folders."`
	Show   keysShowCmd   `cmd:"" help:"Show a holder's certificate."`
	Reload keysReloadCmd `cmd:"" help:"Have a running gateway read its keys again."`
}

// authorityFlag is the folder of the authority.
type authorityFlag struct {
	Authority string `default:"authority" help:"Folder of the authority." placeholder:"DIR"`
}

func (a authorityFlag) openAuthority() (*keys.Authority, error) {
	return keys.Open(a.Authority, time.Now)
}

type keysInitCmd struct{ authorityFlag }

func (c *keysInitCmd) Run() error {
	_, err := keys.Init(c.Authority, time.Now)
	return err
}

type keysIssueCmd struct {
	authorityFlag
	Role      string        `required:"" enum:"read,operate,administer,machine" help:"read, operate, administer (admin API), or machine (hosts and disk servers)."`
	For       time.Duration `default:"2160h" help:"How long it counts."`
	Addresses []string      `help:"Names and addresses at which a server is reached." placeholder:"NAME,..."`
	Out       string        `help:"The holder's folder; by default the name." placeholder:"DIR"`
	Name      string        `arg:"" help:"Name of the holder."`
}

func (c *keysIssueCmd) Run() error {
	authority, err := c.openAuthority()
	if err != nil {
		return err
	}
	if c.Out == "" {
		c.Out = c.Name
	}
	cert, err := authority.Issue(c.Name, keys.Role(c.Role), c.For, c.Addresses, c.Out)
	if err != nil {
		return err
	}
	fmt.Printf("%s, %s, until %s, number %x\n", c.Name, c.Role, cert.NotAfter.UTC().Format(time.RFC3339), cert.SerialNumber)
	return nil
}

type keysRotateCmd struct{ authorityFlag }

func (c *keysRotateCmd) Run() error {
	authority, err := c.openAuthority()
	if err != nil {
		return err
	}
	return authority.Rotate()
}

type keysForgetCmd struct{ authorityFlag }

func (c *keysForgetCmd) Run() error {
	authority, err := c.openAuthority()
	if err != nil {
		return err
	}
	return authority.Forget()
}

type keysRevokeCmd struct {
	authorityFlag
	Holder string `arg:"" help:"The holder's folder."`
}

func (c *keysRevokeCmd) Run() error {
	authority, err := c.openAuthority()
	if err != nil {
		return err
	}
	cert, err := keys.Certificate(c.Holder)
	if err != nil {
		return err
	}
	return authority.Revoke(cert.SerialNumber)
}

type keysHandCmd struct {
	authorityFlag
	Holders []string `arg:"" help:"The holders' folders."`
}

func (c *keysHandCmd) Run() error {
	authority, err := c.openAuthority()
	if err != nil {
		return err
	}
	for _, holderDir := range c.Holders {
		if err := authority.Hand(holderDir); err != nil {
			return err
		}
	}
	return nil
}

type keysShowCmd struct {
	Holder string `arg:"" help:"The holder's folder."`
}

func (c *keysShowCmd) Run() error {
	cert, err := keys.Certificate(c.Holder)
	if err != nil {
		return err
	}
	name, role := keys.Name(cert)
	fmt.Printf("%s, %s, from %s until %s, number %x\n", name, role, cert.NotBefore.UTC().Format(time.RFC3339), cert.NotAfter.UTC().Format(time.RFC3339), cert.SerialNumber)
	holder, err := keys.Hold(c.Holder, time.Now)
	if err != nil {
		return err
	}
	return holder.Check(cert)
}

type keysReloadCmd struct{ adminFlag }

func (c *keysReloadCmd) Run() error { return c.withAPI(reloadKeys) }

// defaultAdminAddress is the admin socket of a user who says nothing else.
func defaultAdminAddress() string {
	return "unix:" + filepath.Join(os.TempDir(), fmt.Sprintf("merlinhitch-%d", os.Getuid()), "admin.sock")
}

// createSocketDir makes the folder of an admin socket, open to nobody else.
func createSocketDir(admin string) error {
	path, ok := strings.CutPrefix(admin, "unix:")
	if !ok || admin != defaultAdminAddress() {
		return nil
	}
	dir := filepath.Dir(path)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	info, err := os.Lstat(dir)
	if err != nil {
		return err
	}
	if !info.IsDir() || info.Mode().Perm()&0o077 != 0 {
		return fmt.Errorf("gateway: %s must be a folder that nobody else may enter (mode %v)", dir, info.Mode())
	}
	return nil
}

// keysFlag is the caller's own keys.
type keysFlag struct {
	Keys string `env:"MERLINHITCH_KEYS" help:"Folder of your own keys, where the admin API is served with keys." placeholder:"DIR"`
}

// api is a client of an admin address.
func (k keysFlag) api(addr string) (*settings.API, error) {
	if k.Keys == "" || strings.HasPrefix(addr, "unix:") {
		return settings.NewAPI(addr), nil
	}
	holder, err := keys.Hold(k.Keys, time.Now)
	if err != nil {
		return nil, err
	}
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, err
	}
	return settings.NewTLSAPI(addr, holder.Client(host)), nil
}

// hosts are clients of many admin addresses.
func (k keysFlag) hosts(addrs []string) (clients []*rollout.Host, err error) {
	for _, addr := range addrs {
		api, err := k.api(addr)
		if err != nil {
			closeHosts(clients)
			return nil, err
		}
		clients = append(clients, &rollout.Host{Name: addr, API: api})
	}
	return clients, nil
}

func closeHosts(hosts []*rollout.Host) {
	for _, h := range hosts {
		h.API.Close()
	}
}
