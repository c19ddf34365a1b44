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
	Bounds    wire.ConnTimeouts
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
func ParseConfig(data []byte, getenv func(string) string) (*Config, error) {
	var file configFile
	if err := json.Unmarshal(data, &file); err != nil {
		return nil, configErrorAt("", err)
	}
	config := &Config{
		Name: valueOr(file.Name, getenv(envName)), Listen: valueOr(file.Listen, getenv(envListen)),
		Discovery: valueOr(file.Discovery, getenv(envDiscovery)),
		Limits:    Limits{file.Limits.Cores, file.Limits.MemoryMB, file.Limits.Sockets},
	}
	var err error
	if file.Seed != "" {
		if config.Seed, err = strconv.ParseUint(file.Seed, 16, 64); err != nil {
			return nil, &ConfigError{"seed", err}
		}
	}
	if len(file.Known) > 0 {
		if config.Known, err = parseServerList(file.Known); err != nil {
			return nil, configErrorAt("known", err)
		}
		if config.Known.malformed {
			return nil, &ConfigError{"known", fmt.Errorf("%v", config.Known.faults)}
		}
	}
	if len(file.Settings) == 0 {
		return nil, &ConfigError{"settings", errMissing}
	}
	set, bounds, err := wire.ParseSettings(file.Settings)
	if err != nil {
		return nil, configErrorAt("settings", err)
	}
	config.Settings, config.Bounds = *set, withDefaultBounds(bounds)
	config.Settings.Rules.MaxSendDelay = config.Bounds.DialTimeout + sendLateMarginMS
	config.resetInvalidShardCount()
	return config, config.validate()
}

// maxShards bounds the number of shards: each that a request names is kept in memory.
const maxShards = 100_000

// resetInvalidShardCount takes a number of shards that cannot be one as not known.
func (c *Config) resetInvalidShardCount() {
	if shards := c.Settings.Shards; shards < 1 || shards > maxShards {
		err := fmt.Errorf("is %d, from 1 to %d can be served: taken as not known", shards, maxShards)
		c.Ignored = append(c.Ignored, &ConfigError{"settings.extra.slots_total", err})
		c.Settings.Shards = 0
	}
}

// sendLateMarginMS is how much later than its connection may be up, ms, an attempt may begin.
const sendLateMarginMS = 50.0

// withDefaultBounds fills in the times of connections that the settings leave out.
func withDefaultBounds(bounds wire.ConnTimeouts) wire.ConnTimeouts {
	if !(bounds.DialTimeout > 0) {
		bounds.DialTimeout = env.MS(defaultDialTimeout)
	}
	if !(bounds.IdleTimeout > 0) {
		bounds.IdleTimeout = defaultConnIdle
	}
	return bounds
}

func valueOr(value, fallback string) string {
	if value == "" {
		return fallback
	}
	return value
}

// configErrorAt names the field that JSON of the wrong type stands at.
func configErrorAt(path string, err error) error {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) && typeErr.Field != "" {
		if path != "" {
			path += "."
		}
		return &ConfigError{path + typeErr.Field, fmt.Errorf("holds a %s", typeErr.Value)}
	}
	return &ConfigError{valueOr(path, "file"), err}
}

func (c *Config) validate() error {
	for _, required := range []struct{ path, value string }{{"listen", c.Listen}, {"discovery", c.Discovery}} {
		if required.value == "" {
			return &ConfigError{required.path, errMissing}
		}
	}
	if len(c.Settings.Classes) == 0 {
		return &ConfigError{"settings.request_classes", errMissing}
	}
	for i, class := range c.Settings.Classes {
		if !(class.LatencyTarget > 0) || math.IsInf(class.LatencyTarget, 0) {
			return &ConfigError{fmt.Sprintf("settings.request_classes[%d].aim_ms", i), fmt.Errorf("is %v", class.LatencyTarget)}
		}
	}
	if len(c.Settings.Plans) == 0 {
		return &ConfigError{"settings.grades", errMissing}
	}
	return nil
}
