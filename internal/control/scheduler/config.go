package scheduler

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strconv"

	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/wire"
	"merlinhitch/policy"
)

// Config is what a scheduler is told at its start, and again at a reload.
type Config struct {
	Name      string
	Listen    string // address for clients
	Discovery string // address of discovery
	Seed      uint64
	Limits    Limits
	Known     ServerList // the disk servers as this scheduler last held them
	Settings  policy.Settings
	Bounds    wire.Bounds
	Ignored   []error // faults of the settings that were put right, each a *ConfigError
}

// Limits are the machine's.
type Limits struct {
	Cores    float64
	MemoryMB int
	Sockets  int // file descriptors
}

// ConfigError names a fault of the configuration by its path.
type ConfigError struct {
	Path string
	Err  error
}

func (e *ConfigError) Error() string { return "configuration: " + e.Path + ": " + e.Err.Error() }

// Unwrap returns the fault without its path.
func (e *ConfigError) Unwrap() error { return e.Err }

// The variables that a scheduler is started with. What the file says goes before them:
// a reload brings another file, never another environment.
const (
	envName      = "ROUTER_NAME"
	envListen    = "ROUTER_LISTEN"
	envDiscovery = "ROUTER_DISCOVERY"
	// EnvConfig names the file.
	EnvConfig = "ROUTER_CONFIG"
)

type configFile struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Seed      string `json:"seed"`
	Limits    struct {
		Cores    float64 `json:"cores"`
		MemoryMB int     `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	Known    json.RawMessage `json:"known"`
	Settings json.RawMessage `json:"settings"`
}

var errMissing = errors.New("is missing")

// ParseConfig reads the configuration file's JSON and, for what it leaves out, the
// environment.
func ParseConfig(b []byte, env func(string) string) (*Config, error) {
	var f configFile
	if err := json.Unmarshal(b, &f); err != nil {
		return nil, configErrorAt("", err)
	}
	c := &Config{
		Name: valueOr(f.Name, env(envName)), Listen: valueOr(f.Listen, env(envListen)),
		Discovery: valueOr(f.Discovery, env(envDiscovery)),
		Limits:    Limits{f.Limits.Cores, f.Limits.MemoryMB, f.Limits.Sockets},
	}
	var err error
	if f.Seed != "" {
		if c.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
			return nil, &ConfigError{"seed", err}
		}
	}
	if len(f.Known) > 0 {
		if c.Known, err = parseServerList(f.Known); err != nil {
			return nil, configErrorAt("known", err)
		}
		if c.Known.malformed {
			return nil, &ConfigError{"known", fmt.Errorf("%v", c.Known.faults)}
		}
	}
	if len(f.Settings) == 0 {
		return nil, &ConfigError{"settings", errMissing}
	}
	set, bounds, err := wire.ParseSettings(f.Settings)
	if err != nil {
		return nil, configErrorAt("settings", err)
	}
	c.Settings, c.Bounds = *set, withDefaultBounds(bounds)
	c.Settings.Rules.MaxSendDelay = c.Bounds.DialTimeout + sendLateMarginMS
	c.resetInvalidShardCount()
	return c, c.validate()
}

// maxShards bounds the number of shards: each that a request names is kept in memory.
const maxShards = 100_000

// resetInvalidShardCount takes a number of shards that cannot be one as not known.
func (c *Config) resetInvalidShardCount() {
	if n := c.Settings.Shards; n < 1 || n > maxShards {
		fault := fmt.Errorf("is %d, from 1 to %d can be served: taken as not known", n, maxShards)
		c.Ignored = append(c.Ignored, &ConfigError{"settings.extra.slots_total", fault})
		c.Settings.Shards = 0
	}
}

// sendLateMarginMS is how much later than its connection may be up, ms, an attempt may begin.
const sendLateMarginMS = 50.0

// withDefaultBounds fills in the times of connections that the settings leave out.
func withDefaultBounds(b wire.Bounds) wire.Bounds {
	if !(b.DialTimeout > 0) {
		b.DialTimeout = env.MS(usualDial)
	}
	if !(b.ConnIdle > 0) {
		b.ConnIdle = usualIdle
	}
	return b
}

func valueOr(s, other string) string {
	if s == "" {
		return other
	}
	return s
}

// configErrorAt names the field that JSON of the wrong type stands at.
func configErrorAt(path string, err error) error {
	var wrong *json.UnmarshalTypeError
	if errors.As(err, &wrong) && wrong.Field != "" {
		if path != "" {
			path += "."
		}
		return &ConfigError{path + wrong.Field, fmt.Errorf("holds a %s", wrong.Value)}
	}
	return &ConfigError{valueOr(path, "file"), err}
}

func (c *Config) validate() error {
	for _, must := range []struct{ path, value string }{{"listen", c.Listen}, {"discovery", c.Discovery}} {
		if must.value == "" {
			return &ConfigError{must.path, errMissing}
		}
	}
	if len(c.Settings.Classes) == 0 {
		return &ConfigError{"settings.request_classes", errMissing}
	}
	for i, k := range c.Settings.Classes {
		if !(k.LatencyTarget > 0) || math.IsInf(k.LatencyTarget, 0) {
			return &ConfigError{fmt.Sprintf("settings.request_classes[%d].aim_ms", i), fmt.Errorf("is %v", k.LatencyTarget)}
		}
	}
	if len(c.Settings.Plans) == 0 {
		return &ConfigError{"settings.grades", errMissing}
	}
	return nil
}
