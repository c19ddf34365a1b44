package gateway

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"time"

	"go.uber.org/zap"

	"merlinhitch/internal/control/keys"
	"merlinhitch/internal/control/settings"
	"merlinhitch/internal/fleet/rates"
	"merlinhitch/internal/fleet/roll"
	"merlinhitch/internal/observe/metrics"
	"merlinhitch/internal/protocol/inventory"
	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/runtime/locks"
)

// Config configures a gateway.
type Config struct {
	Environment env.Environment
	Log         *zap.Logger
	Name        string // of this host, sent to disk servers
	HostIndex   int    // index of this host in the settings
	Zone        string // hall of this host
	Listen      string // listen address for initiators, host:port
	Inventory   string // address of the inventory, host:port
	Admin       string // listen address of the admin API, host:port or unix:PATH; "": none
	Snapshot    string // file of the saved settings, with the log of changes beside it; "": none
	History     string // directory for the history of counters; "": none
	// Keys are the host's TLS keys. If nil, the admin API is served without TLS, on loopback
	// or a Unix socket only, and connections to disk servers do not use TLS.
	Keys        *keys.Credentials
	SettingsKey *settings.Key // seals the secrets in saved settings; if nil, they must have none
	// RouterID is the BGP identifier, 0 if the host announces nothing.
	RouterID uint32
	// NextHop4 and NextHop6 are the announced next hops. A family without one is not announced.
	NextHop4, NextHop6 netip.Addr
	BGPListen          string // listen address for routers; "": the gateway only dials
}

// Gateway is one running gateway. Until the admin API has received settings, it serves no
// initiators.
type Gateway struct {
	config        Config
	store         *settings.Store
	adminServer   *http.Server
	adminListener net.Listener

	mu              locks.Mutex
	frontend        *frontend
	host            *host
	inventoryClient *inventory.Client
	leaseRenewer    *leaseRenewer // nil if the first settings have no regions
	recorder        *recorder     // nil: no history is kept
	announcer       *announcer    // nil if the first settings announce nothing
	listenAddr      net.Addr
	stopped         bool
	ready           env.Gate
	startErr        error // why the first settings could not be applied
}

// Start starts a gateway with the saved settings. Without any it waits for settings at the admin
// API.
func Start(config Config) (*Gateway, error) {
	if config.Log == nil {
		config.Log = zap.NewNop()
	}
	config.Log = config.Log.With(zap.String("host", config.Name))
	store, err := settings.Open(config.Snapshot, config.SettingsKey)
	if err != nil {
		return nil, err
	}
	g := &Gateway{config: config, store: store}
	if config.History != "" {
		if g.recorder, err = startRecorder(g, config.History); err != nil {
			store.Close()
			return nil, err
		}
	}
	if err := g.serveAdmin(); err != nil {
		g.Kill()
		return nil, err
	}
	store.SetValidator(g.checkSettings)
	store.Watch(g.applySettings)
	if current := store.Get(); current != nil {
		g.applySettings(current)
		if g.startErr != nil {
			g.Kill()
			return nil, g.startErr
		}
	} else {
		config.Log.Info("waiting for settings", zap.String("admin", config.Admin))
	}
	return g, nil
}

func (g *Gateway) serveAdmin() error {
	if g.config.Admin == "" {
		return nil
	}
	network, addr := "tcp", g.config.Admin
	if path, ok := strings.CutPrefix(addr, "unix:"); ok {
		network, addr = "unix", path
		os.Remove(path) // a stale socket of a killed process would make Listen fail
	}
	if network == "tcp" && g.config.Keys == nil && !isLoopback(addr) {
		return errors.New("gateway: an admin address other than loopback or a Unix socket requires keys")
	}
	listener, err := g.config.Environment.Listen(network, addr)
	if err != nil {
		return err
	}
	if g.adminListener = listener; network == "unix" {
		if err := os.Chmod(addr, 0o600); err != nil {
			return err
		}
	} else if g.config.Keys != nil {
		listener = tls.NewListener(listener, g.config.Keys.ServerConfig(false))
	}
	mux := http.NewServeMux()
	settingsHandler := settings.Handler(g.store, author, func() int64 { return g.config.Environment.Deadline(0).UnixMilli() })
	mux.Handle("/settings", settingsHandler)
	mux.Handle("/settings/", settingsHandler)
	mux.HandleFunc("GET /routes", func(w http.ResponseWriter, _ *http.Request) { settings.WriteJSON(w, http.StatusOK, g.Routes()) })
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) { settings.WriteJSON(w, http.StatusOK, g.Status()) })
	mux.HandleFunc("GET /rates", func(w http.ResponseWriter, _ *http.Request) { settings.WriteJSON(w, http.StatusOK, g.Rates()) })
	mux.HandleFunc("POST /keys/reload", g.reloadKeys)
	mux.Handle("GET /metrics", metrics.Handler(func() (metrics.Reading, bool) { state, ok := g.readState(); return state.Reading, ok }))
	mux.HandleFunc("GET /history", g.serveHistory)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { settings.WriteJSON(w, http.StatusOK, "lives") })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if reason := g.notReadyReason(); reason != "" {
			settings.WriteJSON(w, http.StatusServiceUnavailable, reason)
			return
		}
		settings.WriteJSON(w, http.StatusOK, "ready")
	})
	mux.HandleFunc("GET /state", func(w http.ResponseWriter, _ *http.Request) {
		state, ok := g.readState()
		if !ok {
			settings.WriteJSON(w, http.StatusServiceUnavailable, "no settings are in force")
			return
		}
		settings.WriteJSON(w, http.StatusOK, map[string]any{"status": state.status, "module": state.View, "settings_version": state.Version, "serves": state.Leased})
	})
	g.adminServer = &http.Server{Handler: g.authorize(mux), ReadHeaderTimeout: 5 * time.Second, ReadTimeout: 30 * time.Second, ConnContext: withSocketUser,
		ErrorLog: zap.NewStdLog(g.config.Log)}
	go g.adminServer.Serve(listener) // returns an error only after Close
	return nil
}

// Admin returns the listen address of the admin API, nil if there is none.
func (g *Gateway) Admin() net.Addr {
	if g.adminListener == nil {
		return nil
	}
	return g.adminListener.Addr()
}

// applySettings applies a version of the settings. The first one starts the frontend; later ones apply
// to commands accepted from then on.
func (g *Gateway) applySettings(s *settings.Settings) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopped {
		return
	}
	if g.frontend != nil {
		g.frontend.applySettings(s)
		if g.announcer != nil {
			g.announcer.applySettings(s)
		}
		g.config.Log.Info("settings changed", zap.Uint64("version", s.Version))
		return
	}
	if g.startErr = g.startServing(s); g.startErr != nil {
		g.config.Log.Error("can't start", zap.Error(g.startErr))
		return
	}
	g.ready.Open()
}

// checkSettings returns the faults for which this host rejects new settings.
func (g *Gateway) checkSettings(_, s *settings.Settings) (faults []settings.Fault) {
	if g.config.HostIndex >= s.Hosts {
		faults = append(faults, settings.Fault{Path: "hosts", Reason: fmt.Sprintf("is %d, which does not include this host's index %d", s.Hosts, g.config.HostIndex)})
	}
	if s.Announce != nil && g.config.RouterID == 0 {
		faults = append(faults, settings.Fault{Path: "announce", Reason: "needs a router identifier, but none is configured on this host"})
	}
	return faults
}

func (g *Gateway) startServing(s *settings.Settings) error {
	if g.config.HostIndex >= s.Hosts {
		return errors.New("gateway: this host's index is not below the number of hosts in the settings")
	}
	if s.Announce != nil && g.config.RouterID == 0 {
		return errors.New("gateway: the settings enable announcements, but no router identifier is configured")
	}
	listener, err := g.config.Environment.Listen("tcp", g.config.Listen)
	if err != nil {
		return err
	}
	h := newHost(g.config.Environment, s, g.config.HostIndex, g.config.Name, g.config.Zone, g.config.Keys, g.config.Log)
	g.inventoryClient = inventory.Follow(g.config.Environment, g.config.Inventory, func(list inventory.List) {
		h.post(event{kind: eventNodeList, list: list})
	})
	h.fetchNodeList = g.inventoryClient.Fetch
	if s.Regions != nil {
		g.leaseRenewer = newLeaseRenewer(g.config.Environment, h, g.config.Inventory, s.Regions, g.config.Log)
	}
	g.host, g.listenAddr = h, listener.Addr()
	g.frontend = newFrontend(g.config.Environment, h, newActiveSettings(s, g.config.HostIndex), listener, g.config.Log)
	if s.Announce != nil {
		if g.announcer, err = newAnnouncer(g.config, s, h, g.inventoryClient); err != nil {
			return err // if called from Start, that stops what was started here
		}
	}
	g.config.Log.Info("serving", zap.Stringer("listen", listener.Addr()), zap.Uint64("settings", s.Version))
	return nil
}

// Ready returns a gate that opens once the gateway serves initiators.
func (g *Gateway) Ready() *env.Gate { return &g.ready }

// Addr returns the listen address for initiators, nil until settings have been applied.
func (g *Gateway) Addr() net.Addr {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.listenAddr
}

// Settings returns the gateway's settings store.
func (g *Gateway) Settings() *settings.Store { return g.store }

// Status is a gateway's overview for operators. Counters start with the gateway.
type Status struct {
	Sessions, Open   int          // open sessions; requests at the core
	Memory           int64        // data buffers of commands and unsent PDUs, bytes
	Requests         uint64       // requests accepted
	Sends, Resends   uint64       // attempts; those after a request's first
	LimitHeld        uint64       // requests that ended unsent while their volume exceeded its limit
	Nodes            int          // nodes on the list
	ListSeen         bool         // a node list was received
	ConnectedServers int          // disk servers with a connection
	Zone             string       // hall of the host
	Figures          roll.Figures // results of requests
}

// Status returns the current status. Before settings have been applied it holds only the zone.
func (g *Gateway) Status() Status {
	status, _ := g.readStatus(func(*core) {})
	return status
}

// readStatus reads the status and calls inspect between the same two events of the core. ok is
// false before settings have been applied and after the host has stopped.
func (g *Gateway) readStatus(inspect func(*core)) (status Status, ok bool) {
	g.mu.Lock()
	f, h := g.frontend, g.host
	g.mu.Unlock()
	status.Zone = g.config.Zone
	if f == nil {
		return status, false
	}
	f.mu.Lock()
	status.Sessions = len(f.sessions)
	f.mu.Unlock()
	status.Open, status.Memory = int(f.openRequests.Load()), f.memoryBytes.Load()
	h.pool.mu.Lock()
	status.ConnectedServers = len(h.pool.connByServer)
	h.pool.mu.Unlock()
	ok = h.runAndWait(func(c *core) {
		inspect(c)
		status.Figures = c.counters.totals()
		status.Requests, status.Sends, status.Resends, status.LimitHeld, status.Nodes, status.ListSeen = c.lastSeq, c.sends, c.resends, c.limitedRequests, len(c.nodes), c.listSeen
	})
	return status, ok
}

// Rates returns the demand for each volume at this host.
func (g *Gateway) Rates() (out []rates.Rate) {
	g.mu.Lock()
	h := g.host
	g.mu.Unlock()
	if h != nil {
		h.runAndWait(func(c *core) { out = c.demand.Rates(c.now) })
	}
	return out
}

// Routes returns the announced address groups, with the reasons, and the state of the routers.
func (g *Gateway) Routes() Routes {
	g.mu.Lock()
	a := g.announcer
	g.mu.Unlock()
	if a == nil {
		return Routes{}
	}
	return a.routes()
}

// Freeze blocks the core until the gate opens or the gateway stops. Drills use it to simulate a
// hung core.
func (g *Gateway) Freeze(release *env.Gate) {
	g.mu.Lock()
	h := g.host
	g.mu.Unlock()
	if h != nil {
		h.post(event{kind: eventRun, run: func(*core) { env.WaitAny(h.environment, release, &h.stopBegun) }})
	}
}

const stopPollInterval = 20 * time.Millisecond

// Stop stops the gateway gracefully. It gives clients time to move to other gateways if addresses
// are announced, then withdraws them, accepts no more connections, asks clients to log out within
// the configured time and waits for open commands up to the longest deadline of a class. When ctx
// ends, it stops waiting.
func (g *Gateway) Stop(ctx context.Context) {
	g.mu.Lock()
	f, a := g.frontend, g.announcer
	g.mu.Unlock()
	if a != nil {
		wait := func(timeout time.Duration, done func() bool) { g.waitUntil(ctx, timeout, done) }
		a.drainClients(wait, func() bool { return len(f.allConns()) == 0 })
	}
	if f != nil {
		f.stopAccepting()
		stopTime := f.settings.Load().Target.LogoutTimeout
		for _, c := range f.allConns() {
			c.requestLogout(uint16(min(stopTime/1000+1, 3600)))
		}
		g.waitUntil(ctx, env.Duration(stopTime), func() bool { return len(f.allConns()) == 0 })
		longest := 0.0
		for _, class := range f.settings.Load().Classes {
			longest = max(longest, class.Deadline)
		}
		g.waitUntil(ctx, env.Duration(longest), func() bool {
			for _, c := range f.allConns() {
				if c.hasOpenCommands() {
					return false
				}
			}
			return true
		})
	}
	g.shutdown("graceful stop")
}

// waitUntil polls done until it returns true, the timeout passes or ctx ends.
func (g *Gateway) waitUntil(ctx context.Context, timeout time.Duration, done func() bool) {
	deadline := g.config.Environment.Now() + timeout
	for !done() && g.config.Environment.Now() < deadline && ctx.Err() == nil {
		env.SleepContext(ctx, g.config.Environment, stopPollInterval)
	}
}

// Kill stops the gateway at once. Open commands get no answer.
func (g *Gateway) Kill() { g.shutdown("") }

// shutdown stops everything. Routers are notified with the message, or their connections are just
// closed if it is empty.
func (g *Gateway) shutdown(message string) {
	g.mu.Lock()
	if g.stopped {
		g.mu.Unlock()
		return
	}
	g.stopped = true
	f, h, inventoryClient, a, renewer := g.frontend, g.host, g.inventoryClient, g.announcer, g.leaseRenewer
	g.mu.Unlock()
	if g.adminServer != nil {
		g.adminServer.Close()
	}
	if g.recorder != nil {
		g.recorder.close()
	}
	g.store.Close() // settings that arrive from now on are refused
	if a != nil {
		a.close(message)
	}
	if f != nil {
		h.stop() // first, so that nothing more goes to disk servers
		f.abortAll()
		inventoryClient.Close()
		if renewer != nil {
			renewer.close()
		}
	}
}
