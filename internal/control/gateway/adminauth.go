package gateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"

	"go.uber.org/zap"

	"merlinhitch/internal/control/keys"
	"merlinhitch/internal/control/settings"
)

// caller is at the other end of a call of the admin API.
type caller struct {
	name string
	role keys.Role
}

type callerKey struct{}

type socketUserKey struct{}

// withSocketUser notes the user at the other end of a Unix socket.
func withSocketUser(ctx context.Context, c net.Conn) context.Context {
	if conn, ok := c.(*net.UnixConn); ok {
		uid, known := peerUID(conn)
		return context.WithValue(ctx, socketUserKey{}, socketUser{uid, known})
	}
	return ctx
}

type socketUser struct {
	uid   uint32
	known bool
}

// authorize finds out who calls and holds them to their role: whoever shows a certificate to
// that in it, as of now and not only as of when the connection began; users of a Unix
// socket and callers in clear from this machine to all, the first only if they are the
// gateway's own user or root.
func (g *Gateway) authorize(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requester, err := g.identify(r)
		if err != nil {
			settings.Reply(w, http.StatusUnauthorized, map[string]string{"error": err.Error()})
			return
		}
		required := keys.Operate
		switch {
		case r.URL.Path == "/keys/reload":
			required = keys.Administer
		case r.Method == http.MethodGet:
			required = keys.Read
		}
		if !requester.role.May(required) {
			settings.Reply(w, http.StatusForbidden, map[string]string{"error": fmt.Sprintf("%s has the role %q, this needs %q", requester.name, requester.role, required)})
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), callerKey{}, requester)))
	})
}

func (g *Gateway) identify(r *http.Request) (caller, error) {
	claimed := r.URL.Query().Get("who")
	claimed = claimed[:min(len(claimed), maxClaimedNameBytes)]
	if r.TLS != nil {
		if len(r.TLS.PeerCertificates) == 0 {
			return caller{}, errors.New("no certificate")
		}
		certificate := r.TLS.PeerCertificates[0]
		if err := g.cfg.Keys.Check(certificate); err != nil {
			return caller{}, err
		}
		name, role := keys.Name(certificate)
		return caller{name, role}, nil
	}
	if user, unix := r.Context().Value(socketUserKey{}).(socketUser); unix {
		if user.known && user.uid != 0 && int(user.uid) != os.Getuid() {
			return caller{}, fmt.Errorf("uid %d is not the gateway's", user.uid)
		}
		name := fmt.Sprintf("uid %d", user.uid)
		if claimed != "" {
			name += ", claimed " + claimed
		}
		return caller{name, keys.Administer}, nil
	}
	if claimed != "" {
		return caller{"claimed " + claimed, keys.Administer}, nil
	}
	return caller{"unnamed at " + r.RemoteAddr, keys.Administer}, nil
}

// maxClaimedNameBytes bounds a claimed name, in bytes.
const maxClaimedNameBytes = 200

// author is who calls, as the record has it.
func author(r *http.Request) settings.Author {
	requester, _ := r.Context().Value(callerKey{}).(caller)
	a := settings.Author{Who: requester.name}
	if !requester.role.May(keys.Administer) {
		a.Closed = settings.SecretPaths
	}
	return a
}

// reloadKeys reads the host's keys again and makes its connections anew, one by one as
// each has nothing out.
func (g *Gateway) reloadKeys(w http.ResponseWriter, r *http.Request) {
	if err := g.ReloadKeys(); err != nil {
		settings.Reply(w, http.StatusConflict, map[string]string{"error": err.Error()})
		return
	}
	settings.Reply(w, http.StatusOK, map[string]string{"expires": g.cfg.Keys.Expires().UTC().Format("2006-01-02T15:04:05Z")})
}

// ReloadKeys reads the host's keys again. If they don't fit the old ones stay.
func (g *Gateway) ReloadKeys() error {
	if g.cfg.Keys == nil {
		return errors.New("gateway: it was started without keys")
	}
	if err := g.cfg.Keys.Reload(); err != nil {
		return err
	}
	g.mu.Lock()
	h := g.host
	g.mu.Unlock()
	if h != nil {
		h.pool.renewConns()
	}
	g.cfg.Log.Info("keys reloaded", zap.Time("expires", g.cfg.Keys.Expires()))
	return nil
}

// isLoopback tells whether an address is reached from this machine alone.
func isLoopback(addr string) bool {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return host == "localhost" || ip != nil && ip.IsLoopback()
}
