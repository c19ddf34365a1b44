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

// Config configures a scheduler, at its start and again at a reload.
type Config struct {
	Name      string
	Listen    string // listen address for clients, host:port
	Discovery string // address of the discovery service, host:port
	Seed      uint64 // of the policy's random numbers
	Limits    Limits
	Known     ServerList // disk servers known before the start; may be out of date
	Settings  policy.Settings
	Timeouts  wire.ConnTimeouts // of connections to disk servers
	Ignored   []error           // invalid settings that were replaced by a default, each a *ConfigError
}

// Limits are the machine's resources that the scheduler may use.
type Limits struct {
	Cores    float64
	MemoryMB int // MiB
	Sockets  int // file descriptors
	// ImageBytes is how much of the memory the program's file and its libraries take; 0: not known.
	// The process sets it; it is not in the file.
	ImageBytes int64
}

// ConfigError is an invalid or missing field of the configuration file. Path is the field's
// JSON path, or "file" if the file as a whole cannot be decoded.
type ConfigError struct {
	Path string
	Err  error
}

func (e *ConfigError) Error() string { return "configuration: " + e.Path + ": " + e.Err.Error() }

// Unwrap returns the underlying error, without the path.
func (e *ConfigError) Unwrap() error { return e.Err }

// Environment variables of a scheduler. The file's fields take precedence, since a reload can
// change the file but not the environment.
const (
	envName      = "ROUTER_NAME"
	envListen    = "ROUTER_LISTEN"
	envDiscovery = "ROUTER_DISCOVERY"
	// EnvConfig is the variable that holds the path of the configuration file.
	EnvConfig = "ROUTER_CONFIG"
)

// configFile is the JSON layout of the configuration file.
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

var errMissing = errors.New("required field is missing")

// ParseConfig decodes and validates the JSON of a configuration file. Names and addresses that
// it omits are looked up with getenv. An invalid shard count is reset to unknown and reported in
// Config.Ignored.
func ParseConfig(data []byte, getenv func(string) string) (*Config, error) {
	var file configFile
	if err := json.Unmarshal(data, &file); err != nil {
		return nil, configErrorAt("", err)
	}
	config := &Config{
		Name: valueOr(file.Name, getenv(envName)), Listen: valueOr(file.Listen, getenv(envListen)),
		Discovery: valueOr(file.Discovery, getenv(envDiscovery)),
		Limits:    Limits{Cores: file.Limits.Cores, MemoryMB: file.Limits.MemoryMB, Sockets: file.Limits.Sockets},
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
	settings, timeouts, err := wire.ParseSettings(file.Settings)
	if err != nil {
		return nil, configErrorAt("settings", err)
	}
	config.Settings, config.Timeouts = *settings, withDefaultTimeouts(timeouts)
	config.Settings.Rules.MaxSendDelay = config.Timeouts.DialTimeout + sendDelayMarginMS
	config.resetInvalidShardCount()
	return config, config.validate()
}

// maxShards bounds the number of shards, since state is kept for each shard that a request names.
const maxShards = 100_000

// resetInvalidShardCount sets a shard count that is out of range to 0 (unknown) and reports it in
// Ignored.
func (c *Config) resetInvalidShardCount() {
	if shards := c.Settings.Shards; shards < 1 || shards > maxShards {
		err := fmt.Errorf("got %d, want 1 to %d; treated as unknown", shards, maxShards)
		c.Ignored = append(c.Ignored, &ConfigError{"settings.extra.slots_total", err})
		c.Settings.Shards = 0
	}
}

// sendDelayMarginMS is added to the dial timeout to get the longest time, ms, that an attempt may
// wait before it is written.
const sendDelayMarginMS = 50.0

// withDefaultTimeouts fills in the connection timeouts that the settings omit.
func withDefaultTimeouts(timeouts wire.ConnTimeouts) wire.ConnTimeouts {
	if !(timeouts.DialTimeout > 0) {
		timeouts.DialTimeout = env.MS(defaultDialTimeout)
	}
	if !(timeouts.IdleTimeout > 0) {
		timeouts.IdleTimeout = defaultIdleTimeout
	}
	return timeouts
}

func valueOr(value, fallback string) string {
	if value == "" {
		return fallback
	}
	return value
}

// configErrorAt returns a ConfigError for err at path. For a JSON value of the wrong type the
// path is extended to the field that holds it.
func configErrorAt(path string, err error) error {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) && typeErr.Field != "" {
		if path != "" {
			path += "."
		}
		return &ConfigError{path + typeErr.Field, fmt.Errorf("wrong JSON type: got %s", typeErr.Value)}
	}
	return &ConfigError{valueOr(path, "file"), err}
}

// validate reports the first required field that is missing or out of range.
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
			return &ConfigError{fmt.Sprintf("settings.request_classes[%d].aim_ms", i), fmt.Errorf("must be positive and finite, got %v", class.LatencyTarget)}
		}
	}
	if len(c.Settings.Plans) == 0 {
		return &ConfigError{"settings.grades", errMissing}
	}
	return nil
}
