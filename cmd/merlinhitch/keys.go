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
	Init   keysInitCmd   `cmd:"" help:"Create the service's certificate authority."`
	Issue  keysIssueCmd  `cmd:"" help:"Issue a key and a certificate, replacing any that exist."`
	Rotate keysRotateCmd `cmd:"" help:"Replace the authority's key; the old one stays trusted."`
	Forget keysForgetCmd `cmd:"" help:"Stop trusting all former keys of the authority."`
	Revoke keysRevokeCmd `cmd:"" help:"Revoke a certificate."`
	Hand   keysHandCmd   `cmd:"" help:"Copy the trusted authorities and the revocation list to holders' directories."`
	Show   keysShowCmd   `cmd:"" help:"Show a holder's certificate and verify it."`
	Reload keysReloadCmd `cmd:"" help:"Make a running gateway reload its keys."`
}

// authorityFlag selects the directory of the certificate authority.
type authorityFlag struct {
	Authority string `default:"authority" help:"Directory of the certificate authority." placeholder:"DIR"`
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
	Role      string        `required:"" enum:"read,operate,administer,machine" help:"Role: read, operate or administer for the admin API, machine for hosts and disk servers."`
	For       time.Duration `default:"2160h" help:"Validity period of the certificate."`
	Addresses []string      `help:"DNS names and IP addresses at which the holder is reached as a server." placeholder:"NAME,..."`
	Out       string        `help:"Directory of the holder; by default, the name." placeholder:"DIR"`
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
	fmt.Printf("%s, %s, until %s, serial number %x\n", c.Name, c.Role, cert.NotAfter.UTC().Format(time.RFC3339), cert.SerialNumber)
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
	return authority.DropOldTrust()
}

type keysRevokeCmd struct {
	authorityFlag
	Holder string `arg:"" help:"Directory of the holder."`
}

func (c *keysRevokeCmd) Run() error {
	authority, err := c.openAuthority()
	if err != nil {
		return err
	}
	cert, err := keys.ReadCertificate(c.Holder)
	if err != nil {
		return err
	}
	return authority.Revoke(cert.SerialNumber)
}

type keysHandCmd struct {
	authorityFlag
	Holders []string `arg:"" help:"Directories of the holders."`
}

func (c *keysHandCmd) Run() error {
	authority, err := c.openAuthority()
	if err != nil {
		return err
	}
	for _, holderDir := range c.Holders {
		if err := authority.Distribute(holderDir); err != nil {
			return err
		}
	}
	return nil
}

type keysShowCmd struct {
	Holder string `arg:"" help:"Directory of the holder."`
}

func (c *keysShowCmd) Run() error {
	cert, err := keys.ReadCertificate(c.Holder)
	if err != nil {
		return err
	}
	name, role := keys.Identity(cert)
	fmt.Printf("%s, %s, from %s until %s, serial number %x\n", name, role, cert.NotBefore.UTC().Format(time.RFC3339), cert.NotAfter.UTC().Format(time.RFC3339), cert.SerialNumber)
	holder, err := keys.LoadCredentials(c.Holder, time.Now)
	if err != nil {
		return err
	}
	return holder.CheckPeer(cert)
}

type keysReloadCmd struct{ adminFlag }

func (c *keysReloadCmd) Run() error { return c.withAPI(reloadKeys) }

// defaultAdminAddress returns the current user's default admin socket.
func defaultAdminAddress() string {
	return "unix:" + filepath.Join(os.TempDir(), fmt.Sprintf("merlinhitch-%d", os.Getuid()), "admin.sock")
}

// createSocketDir creates the directory of the default admin socket and fails if other users
// have access to it. For other addresses it does nothing.
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
		return fmt.Errorf("gateway: %s must be a directory without access for other users, but has mode %v", dir, info.Mode())
	}
	return nil
}

// keysFlag selects the caller's own keys for the admin API.
type keysFlag struct {
	Keys string `env:"MERLINHITCH_KEYS" help:"Directory with your own keys, if the admin API uses TLS." placeholder:"DIR"`
}

// api returns a client of an admin address. Without keys, and on Unix sockets, it is not TLS.
func (k keysFlag) api(addr string) (*settings.API, error) {
	if k.Keys == "" || strings.HasPrefix(addr, "unix:") {
		return settings.NewAPI(addr), nil
	}
	holder, err := keys.LoadCredentials(k.Keys, time.Now)
	if err != nil {
		return nil, err
	}
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, err
	}
	return settings.NewTLSAPI(addr, holder.ClientConfig(host)), nil
}

// hosts returns a client of each admin address; the caller closes them.
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
