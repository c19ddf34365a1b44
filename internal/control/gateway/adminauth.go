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

// caller is the authenticated sender of a request to the admin API.
type caller struct {
	name string
	role keys.Role
}

// callerKey is the context key of the caller.
type callerKey struct{}

// socketUserKey is the context key of the socketUser.
type socketUserKey struct{}

// withSocketUser adds the user of a Unix socket's peer process to the context.
func withSocketUser(ctx context.Context, c net.Conn) context.Context {
	if conn, ok := c.(*net.UnixConn); ok {
		uid, known := peerUID(conn)
		return context.WithValue(ctx, socketUserKey{}, socketUser{uid, known})
	}
	return ctx
}

// socketUser is the user of a Unix socket's peer process.
type socketUser struct {
	uid   uint32
	known bool
}

// authorize identifies the caller and refuses requests that its role does not allow. The role is
// that of the client certificate, which is checked at each request, not only when the
// connection is made. Callers over a Unix socket, who must be root or the gateway's own user
// where the system reports it, and over unencrypted TCP, which is served on loopback addresses
// only, have the role Administer.
func (g *Gateway) authorize(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requester, err := g.identify(r)
		if err != nil {
			settings.WriteJSON(w, http.StatusUnauthorized, map[string]string{"error": err.Error()})
			return
		}
		required := keys.RoleOperate
		switch {
		case r.URL.Path == "/keys/reload":
			required = keys.RoleAdminister
		case r.Method == http.MethodGet:
			required = keys.RoleRead
		}
		if !requester.role.Includes(required) {
			settings.WriteJSON(w, http.StatusForbidden, map[string]string{"error": fmt.Sprintf("%s has the role %q, the request needs %q", requester.name, requester.role, required)})
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), callerKey{}, requester)))
	})
}

// identify returns the caller of a request. A name in the query parameter who is recorded as
// claimed; with a certificate, it is ignored.
func (g *Gateway) identify(r *http.Request) (caller, error) {
	claimed := r.URL.Query().Get("who")
	claimed = claimed[:min(len(claimed), maxClaimedNameBytes)]
	if r.TLS != nil {
		if len(r.TLS.PeerCertificates) == 0 {
			return caller{}, errors.New("no client certificate was presented")
		}
		certificate := r.TLS.PeerCertificates[0]
		if err := g.config.Keys.CheckPeer(certificate); err != nil {
			return caller{}, err
		}
		name, role := keys.Identity(certificate)
		return caller{name, role}, nil
	}
	if user, unix := r.Context().Value(socketUserKey{}).(socketUser); unix {
		if user.known && user.uid != 0 && int(user.uid) != os.Getuid() {
			return caller{}, fmt.Errorf("uid %d is neither root nor the gateway's user", user.uid)
		}
		name := fmt.Sprintf("uid %d", user.uid)
		if claimed != "" {
			name += ", claimed " + claimed
		}
		return caller{name, keys.RoleAdminister}, nil
	}
	if claimed != "" {
		return caller{"claimed " + claimed, keys.RoleAdminister}, nil
	}
	return caller{"unnamed at " + r.RemoteAddr, keys.RoleAdminister}, nil
}

// maxClaimedNameBytes is the length to which a claimed name is cut.
const maxClaimedNameBytes = 200

// author returns the caller as the author of a change of settings. Without the role Administer,
// it may not change settings that hold secrets.
func author(r *http.Request) settings.Author {
	requester, _ := r.Context().Value(callerKey{}).(caller)
	a := settings.Author{Who: requester.name}
	if !requester.role.Includes(keys.RoleAdminister) {
		a.ReadOnlyPaths = settings.SecretPaths
	}
	return a
}

// reloadKeys serves POST /keys/reload.
func (g *Gateway) reloadKeys(w http.ResponseWriter, r *http.Request) {
	if err := g.ReloadKeys(); err != nil {
		settings.WriteJSON(w, http.StatusConflict, map[string]string{"error": err.Error()})
		return
	}
	settings.WriteJSON(w, http.StatusOK, map[string]string{"expires": g.config.Keys.Expires().UTC().Format("2006-01-02T15:04:05Z")})
}

// ReloadKeys reads the host's keys again and replaces each connection to a disk server once it has
// no outstanding attempt. On an error the old keys stay in use.
func (g *Gateway) ReloadKeys() error {
	if g.config.Keys == nil {
		return errors.New("gateway: keys cannot be reloaded: started without keys")
	}
	if err := g.config.Keys.Reload(); err != nil {
		return err
	}
	g.mu.Lock()
	h := g.host
	g.mu.Unlock()
	if h != nil {
		h.pool.renewConns()
	}
	g.config.Log.Info("keys reloaded", zap.Time("expires", g.config.Keys.Expires()))
	return nil
}

// isLoopback reports whether an address can be reached from this machine only.
func isLoopback(addr string) bool {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return host == "localhost" || ip != nil && ip.IsLoopback()
}
