package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
)

type peerKey struct{}

// peerContext notes who is at the other end of a connection of the admin API.
func peerContext(ctx context.Context, c net.Conn) context.Context {
	if u, ok := c.(*net.UnixConn); ok {
		if uid, ok := peerUser(u); ok {
			return context.WithValue(ctx, peerKey{}, fmt.Sprintf("uid %d", uid))
		}
	}
	return ctx
}

// caller names who makes a call, for the record. A name that the caller only says is
// recorded as claimed.
func caller(r *http.Request) string {
	said := r.URL.Query().Get("who")
	if who, ok := r.Context().Value(peerKey{}).(string); ok {
		if said != "" {
			return who + ", claimed " + clip(said)
		}
		return who
	}
	if said != "" {
		return "claimed " + clip(said)
	}
	return "unnamed at " + r.RemoteAddr
}

// mostName bounds a claimed name, in bytes.
const mostName = 200

func clip(s string) string { return s[:min(len(s), mostName)] }
