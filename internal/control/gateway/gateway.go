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
	"sync"
	"time"

	"go.uber.org/zap"

	"merlinhitch/internal/control/keys"
	"merlinhitch/internal/control/settings"
	"merlinhitch/internal/fleet/rates"
	"merlinhitch/internal/fleet/roll"
	"merlinhitch/internal/observe/metrics"
	"merlinhitch/internal/protocol/inventory"
	"merlinhitch/internal/runtime/env"
)

// Config says where a gateway stands.
type Config struct {
	Environment env.Environment
	Log         *zap.Logger
	Name        string // told to disk servers
	Self        int    // this host's number in the service
	Zone        string
	Listen      string // for initiators
	Inventory   string // address of the node list
	Admin       string // of the admin API: host:port, unix:PATH, or none
	Snapshot    string // file of the saved settings, or none; its record lies beside it
	// History is a folder for what the host counted, or none.
	History string
	// Keys of this host; nil: the admin API is served in clear, to this machine alone, and
	// disk servers are spoken to in clear.
	Keys        *keys.Holder
	SettingsKey *settings.Key // seals secrets in them; nil: there must be none
	// For announcements: the identifier, the next hops told for IPv4 and IPv6 (a
	// family without one is not announced), and where routers may dial, or nowhere.
	RouterID           uint32
	NextHop4, NextHop6 netip.Addr
	BGPListen          string
}

// Gateway is a running host. Without settings it waits for them at the admin API
// and takes no initiator.
type Gateway struct {
	cfg           Config
	store         *settings.Store
	adminServer   *http.Server
	adminListener net.Listener

	mu              sync.Mutex
	frontend        *frontend
	host            *host
	inventoryClient *inventory.Client
	leaseRenewer    *leaseRenewer // nil in a service of one region
	recorder        *recorder     // nil: no history is kept
	announcer       *announcer    // nil where nothing is to be announced at the start
	listenAddr      net.Addr
	stopped         bool
	ready           env.Gate
	startErr        error
}

// Start starts a gateway.
func Start(cfg Config) (*Gateway, error) {
	if cfg.Log == nil {
		cfg.Log = zap.NewNop()
	}
	cfg.Log = cfg.Log.With(zap.String("host", cfg.Name))
	store, err := settings.Open(cfg.Snapshot, cfg.SettingsKey)
	if err != nil {
		return nil, err
	}
	g := &Gateway{cfg: cfg, store: store}
	if cfg.History != "" {
		if g.recorder, err = startRecorder(g, cfg.History); err != nil {
			store.Close()
			return nil, err
		}
	}
	if err := g.serveAdmin(); err != nil {
		g.Kill()
		return nil, err
	}
	store.Allow(g.checkSettings)
	store.Watch(g.applySettings)
	if current := store.Get(); current != nil {
		g.applySettings(current)
		if g.startErr != nil {
			g.Kill()
			return nil, g.startErr
		}
	} else {
		cfg.Log.Info("waiting for settings", zap.String("admin", cfg.Admin))
	}
	return g, nil
}

func (g *Gateway) serveAdmin() error {
	if g.cfg.Admin == "" {
		return nil
	}
	network, addr := "tcp", g.cfg.Admin
	if path, ok := strings.CutPrefix(addr, "unix:"); ok {
		network, addr = "unix", path
		os.Remove(path) // a socket that a killed process left
	}
	if network == "tcp" && g.cfg.Keys == nil && !isLoopback(addr) {
		return errors.New("gateway: an admin address that others reach needs keys")
	}
	listener, err := g.cfg.Environment.Listen(network, addr)
	if err != nil {
		return err
	}
	if g.adminListener = listener; network == "unix" {
		if err := os.Chmod(addr, 0o600); err != nil {
			return err
		}
	} else if g.cfg.Keys != nil {
		listener = tls.NewListener(listener, g.cfg.Keys.Server(false))
	}
	mux := http.NewServeMux()
	settingsHandler := settings.Handler(g.store, author, func() int64 { return g.cfg.Environment.Deadline(0).UnixMilli() })
	mux.Handle("/settings", settingsHandler)
	mux.Handle("/settings/", settingsHandler)
	mux.HandleFunc("GET /routes", func(w http.ResponseWriter, _ *http.Request) { settings.Reply(w, http.StatusOK, g.Routes()) })
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) { settings.Reply(w, http.StatusOK, g.Status()) })
	mux.HandleFunc("GET /rates", func(w http.ResponseWriter, _ *http.Request) { settings.Reply(w, http.StatusOK, g.Rates()) })
	mux.HandleFunc("POST /keys/reload", g.reloadKeys)
	mux.Handle("GET /metrics", metrics.Handler(func() (metrics.Reading, bool) { state, ok := g.readState(); return state.Reading, ok }))
	mux.HandleFunc("GET /history", g.serveHistory)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { settings.Reply(w, http.StatusOK, "lives") })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if reason := g.notReadyReason(); reason != "" {
			settings.Reply(w, http.StatusServiceUnavailable, reason)
			return
		}
		settings.Reply(w, http.StatusOK, "ready")
	})
	mux.HandleFunc("GET /state", func(w http.ResponseWriter, _ *http.Request) {
		state, ok := g.readState()
		if !ok {
			settings.Reply(w, http.StatusServiceUnavailable, "no settings are in force")
			return
		}
		settings.Reply(w, http.StatusOK, map[string]any{"status": state.status, "module": state.View, "settings_version": state.Version, "serves": state.Leased})
	})
	g.adminServer = &http.Server{Handler: g.authorize(mux), ReadHeaderTimeout: 5 * time.Second, ReadTimeout: 30 * time.Second, ConnContext: withSocketUser,
		ErrorLog: zap.NewStdLog(g.cfg.Log)}
	go g.adminServer.Serve(listener) // ends with Close; its error says only that
	return nil
}

// Admin is the address of the admin API.
func (g *Gateway) Admin() net.Addr {
	if g.adminListener == nil {
		return nil
	}
	return g.adminListener.Addr()
}

// applySettings brings settings into force. The first start the gateway; later ones hold for
// commands taken from then on.
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
		g.cfg.Log.Info("settings changed", zap.Uint64("version", s.Version))
		return
	}
	if g.startErr = g.startServing(s); g.startErr != nil {
		g.cfg.Log.Error("can't start", zap.Error(g.startErr))
		return
	}
	g.ready.Open()
}

// checkSettings lists what keeps settings from coming into force at this host.
func (g *Gateway) checkSettings(_, s *settings.Settings) (faults []settings.Fault) {
	if g.cfg.Self >= s.Hosts {
		faults = append(faults, settings.Fault{Path: "hosts", Reason: fmt.Sprintf("is %d, and this is host %d", s.Hosts, g.cfg.Self)})
	}
	if s.Announce != nil && g.cfg.RouterID == 0 {
		faults = append(faults, settings.Fault{Path: "announce", Reason: "needs a router identifier, which this host was not given"})
	}
	return faults
}

func (g *Gateway) startServing(s *settings.Settings) error {
	if g.cfg.Self >= s.Hosts {
		return errors.New("gateway: the settings know no host of this number")
	}
	if s.Announce != nil && g.cfg.RouterID == 0 {
		return errors.New("gateway: the settings ask for announcements, which need a router identifier")
	}
	listener, err := g.cfg.Environment.Listen("tcp", g.cfg.Listen)
	if err != nil {
		return err
	}
	h := newHost(g.cfg.Environment, s, g.cfg.Self, g.cfg.Name, g.cfg.Zone, g.cfg.Keys, g.cfg.Log)
	g.inventoryClient = inventory.Follow(g.cfg.Environment, g.cfg.Inventory, func(list inventory.List) {
		h.post(event{kind: eventNodeList, list: list})
	})
	h.fetchNodeList = g.inventoryClient.Fetch
	if s.Regions != nil {
		g.leaseRenewer = newLeaseRenewer(g.cfg.Environment, h, g.cfg.Inventory, s.Regions, g.cfg.Log)
	}
	g.host, g.listenAddr = h, listener.Addr()
	g.frontend = newFrontend(g.cfg.Environment, h, newActiveSettings(s, g.cfg.Self), listener, g.cfg.Log)
	if s.Announce != nil {
		if g.announcer, err = newAnnouncer(g.cfg, s, h, g.inventoryClient); err != nil {
			return err // Start ends the rest
		}
	}
	g.cfg.Log.Info("serving", zap.Stringer("listen", listener.Addr()), zap.Uint64("settings", s.Version))
	return nil
}

// Ready is open once the gateway serves initiators.
func (g *Gateway) Ready() *env.Gate { return &g.ready }

// Addr is the address for initiators, nil before Ready.
func (g *Gateway) Addr() net.Addr {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.listenAddr
}

// Settings is the store of the settings.
func (g *Gateway) Settings() *settings.Store { return g.store }

// Status is what an operator asks for first.
type Status struct {
	Sessions, Open   int
	Memory           int64
	Requests         uint64 // taken since the start
	Sends, Resends   uint64
	LimitHeld        uint64 // requests let go of unsent because of their volume's limit
	Nodes            int
	ListSeen         bool
	ConnectedServers int
	Zone             string       // hall that the host stands in
	Figures          roll.Figures // of requests since the start
}

// Status reads the present figures.
func (g *Gateway) Status() Status {
	status, _ := g.readStatus(func(*core) {})
	return status
}

// readStatus reads the present figures and, in the same moment of the host core, more; false if
// there is no host, or no longer.
func (g *Gateway) readStatus(inspect func(*core)) (status Status, ok bool) {
	g.mu.Lock()
	f, h := g.frontend, g.host
	g.mu.Unlock()
	status.Zone = g.cfg.Zone
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

// Rates is what each volume asked this host for.
func (g *Gateway) Rates() (out []rates.Rate) {
	g.mu.Lock()
	h := g.host
	g.mu.Unlock()
	if h != nil {
		h.runAndWait(func(c *core) { out = c.demand.Read(c.now) })
	}
	return out
}

// Routes is what this gateway announces, to whom, and why.
func (g *Gateway) Routes() Routes {
	g.mu.Lock()
	a := g.announcer
	g.mu.Unlock()
	if a == nil {
		return Routes{}
	}
	return a.routes()
}

// Freeze has the host core stand still until the gate is open, as a fault of
// the program might; for drills.
func (g *Gateway) Freeze(release *env.Gate) {
	g.mu.Lock()
	h := g.host
	g.mu.Unlock()
	if h != nil {
		h.post(event{kind: eventRun, run: func(*core) { env.WaitAny(h.environment, release, &h.stopBegun) }})
	}
}

const stopPollInterval = 20 * time.Millisecond

// Stop ends the gateway gracefully: clients are led elsewhere where addresses are
// announced, and the announcement ends; no new login, what was taken is answered,
// clients are asked to log out and get so long for it as the settings say. It
// ends at once when ctx does.
func (g *Gateway) Stop(ctx context.Context) {
	g.mu.Lock()
	f, a := g.frontend, g.announcer
	g.mu.Unlock()
	if a != nil {
		a.drainClients(func(timeout time.Duration) { g.waitUntil(ctx, timeout, func() bool { return len(f.allConns()) == 0 }) })
	}
	if f != nil {
		f.stopAccepting()
		stopTime := f.settings.Load().Target.StopTime
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

// waitUntil looks until done, for at most so long.
func (g *Gateway) waitUntil(ctx context.Context, timeout time.Duration, done func() bool) {
	deadline := g.cfg.Environment.Now() + timeout
	for !done() && g.cfg.Environment.Now() < deadline && ctx.Err() == nil {
		env.SleepContext(ctx, g.cfg.Environment, stopPollInterval)
	}
}

// Kill ends the gateway at once. What it held is the clients' to try again.
func (g *Gateway) Kill() { g.shutdown("") }

// shutdown ends everything; with a text, routers are told it.
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
	g.store.Close() // what it refuses from now on was not accepted
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
