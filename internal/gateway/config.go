// Package gateway runs the decision engine of package decide on real sockets. One goroutine, the loop, owns the engine
// and all tables. The goroutines of connections, discovery and peers only read, and pass what they read to the loop.
// The loop writes without ever blocking on the other end of a connection.
package gateway

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"strconv"
	"time"

	"winghatch/decide"
	"winghatch/internal/platform"
	"winghatch/internal/settings"
)

// Upper bounds of the configured limits. Larger values are mistakes. A larger memory limit would overflow when
// converted to bytes, and no request would be accepted.
const (
	maxCores    = 1 << 12
	maxMemoryMB = 1 << 30
	maxSockets  = 1 << 24
)

// Config is the configuration that a gateway is started with.
type Config struct {
	Name       string
	Listen     netip.AddrPort
	Discovery  netip.AddrPort
	Seed       int64
	Cores      float64
	MemoryMB   int
	Sockets    int
	PeerListen netip.AddrPort   // zero value: no messages to or from peers
	Peers      []netip.AddrPort // indexed by the gateways' ranks
	Known      serverList       // the server list at startup, as this gateway last had it
	Settings   settings.Settings
	// MetricsListen is the loopback address on which metrics are served. Zero value: metrics are not served.
	MetricsListen netip.AddrPort
	// discoveryFirstByteTimeout limits how long the start waits for discovery to begin its answer. 0 means
	// warmupFirstByteTimeout. The end of an answer that has begun has the limit warmupAnswerTimeout.
	discoveryFirstByteTimeout time.Duration
}

// fileConfig is the JSON format of the configuration file.
type fileConfig struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Seed      string `json:"seed"`
	Limits    struct {
		Cores    float64 `json:"cores"`
		MemoryMB int     `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	PeerListen string          `json:"peer_listen"`
	Peers      []string        `json:"peers"`
	Metrics    string          `json:"metrics_listen"`
	Known      json.RawMessage `json:"known"`
	Settings   json.RawMessage `json:"settings"`
}

// LoadConfig reads the configuration file that the environment variable GW_CONFIG names. GW_NAME, GW_LISTEN,
// GW_DISCOVERY and GW_METRICS override the values in the file, because the platform sets them.
//
// If the file is temporarily unreadable, reading is retried for up to configReadTimeout.
func LoadConfig(getenv func(string) string) (Config, error) {
	return loadConfig(getenv, readFileWithRetry)
}

func loadConfig(getenv func(string) string, read func(path string) ([]byte, error)) (Config, error) {
	path := getenv("GW_CONFIG")
	if path == "" {
		return Config{}, fmt.Errorf("GW_CONFIG is not set")
	}
	raw, err := read(path)
	if err != nil {
		return Config{}, fmt.Errorf("GW_CONFIG: %w", err)
	}
	var f fileConfig
	if err := json.Unmarshal(raw, &f); err != nil {
		return Config{}, fmt.Errorf("%s: %w", path, settings.NameField(err))
	}
	for name, field := range map[string]*string{"GW_NAME": &f.Name, "GW_LISTEN": &f.Listen, "GW_DISCOVERY": &f.Discovery,
		"GW_METRICS": &f.Metrics} {
		if v := getenv(name); v != "" {
			*field = v
		}
	}
	c, err := f.config()
	if err != nil {
		return Config{}, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// While reading the configuration file fails with a temporary error, it is retried every configRetryDelay, for up to
// configReadTimeout.
const (
	configRetryDelay  = 20 * time.Millisecond
	configReadTimeout = 10 * time.Second
)

// readFileWithRetry reads a file and retries temporary errors. It returns other errors at once.
func readFileWithRetry(path string) ([]byte, error) {
	started := time.Now()
	for {
		raw, err := platform.ReadFile(path)
		if !platform.IsTransientReadError(err) || time.Since(started) >= configReadTimeout {
			return raw, err
		}
		time.Sleep(configRetryDelay)
	}
}

// LoadDiscovery reads the configuration file again and returns its discovery address. It ignores GW_DISCOVERY: the
// environment of a running process can't change, so the variable would tie the gateway to the address that it was
// started with. It reads the file only once, without retries, because the caller may want to know of the first failure
// and retry by itself.
func LoadDiscovery(getenv func(string) string) (netip.AddrPort, error) {
	c, err := loadConfig(func(name string) string {
		if name == "GW_DISCOVERY" {
			return ""
		}
		return getenv(name)
	}, platform.ReadFile)
	return c.Discovery, err
}

func (f *fileConfig) config() (Config, error) {
	c := Config{Name: f.Name, Cores: f.Limits.Cores, MemoryMB: f.Limits.MemoryMB, Sockets: f.Limits.Sockets}
	var err error
	if len(f.Known) > 0 {
		if err := json.Unmarshal(f.Known, &c.Known); err != nil {
			return c, fmt.Errorf("known: %w", settings.NameField(err))
		}
	}
	if c.Listen, err = netip.ParseAddrPort(f.Listen); err != nil {
		return c, fmt.Errorf("listen: %w", err)
	}
	if c.Discovery, err = netip.ParseAddrPort(f.Discovery); err != nil {
		return c, fmt.Errorf("discovery: %w", err)
	}
	if c.MetricsListen, err = parseMetricsAddr(f.Metrics); err != nil {
		return c, fmt.Errorf("metrics_listen: %w", err)
	}
	if c.Cores <= 0 || c.MemoryMB <= 0 || c.Sockets < minSockets {
		return c, fmt.Errorf("limits: got %v cores, %d MB, %d sockets, want more than 0, 0 and at least %d",
			c.Cores, c.MemoryMB, c.Sockets, minSockets)
	}
	if c.Cores > maxCores || c.MemoryMB > maxMemoryMB || c.Sockets > maxSockets {
		return c, fmt.Errorf("limits: got %v cores, %d MB, %d sockets, want at most %d, %d and %d",
			c.Cores, c.MemoryMB, c.Sockets, maxCores, maxMemoryMB, maxSockets)
	}
	seed, err := strconv.ParseUint(f.Seed, 16, 64)
	if err != nil {
		return c, fmt.Errorf("seed: %w", err)
	}
	c.Seed = int64(seed)
	if len(f.Settings) == 0 {
		return c, fmt.Errorf("settings are missing")
	}
	if c.Settings, err = settings.Parse(f.Settings); err != nil {
		return c, fmt.Errorf("settings: %w", err)
	}
	if err := c.Settings.Decide.Validate(); err != nil {
		return c, fmt.Errorf("settings: %w", err)
	}
	return c, f.parsePeers(&c)
}

// parseMetricsAddr parses the address on which metrics are served. They are meant for the operators of this machine, so
// only loopback addresses are accepted.
func parseMetricsAddr(text string) (netip.AddrPort, error) {
	if text == "" {
		return netip.AddrPort{}, nil
	}
	addr, err := netip.ParseAddrPort(text)
	if err == nil && !addr.Addr().IsLoopback() {
		err = fmt.Errorf("%s is not a loopback address", text)
	}
	return addr, err
}

// parsePeers parses the addresses of the other gateways, which are needed only if messages between gateways are
// enabled.
func (f *fileConfig) parsePeers(c *Config) error {
	d := c.Settings.Decide
	if !d.Limits.Peers || f.PeerListen == "" {
		return nil
	}
	var err error
	if c.PeerListen, err = netip.ParseAddrPort(f.PeerListen); err != nil {
		return fmt.Errorf("peer_listen: %w", err)
	}
	for i, p := range f.Peers {
		addr, err := netip.ParseAddrPort(p)
		if err != nil {
			return fmt.Errorf("peers[%d]: %w", i, err)
		}
		c.Peers = append(c.Peers, addr)
	}
	if len(c.Peers) != d.Gateways {
		return fmt.Errorf("peers: got %d addresses, want one for each of %d gateways", len(c.Peers), d.Gateways)
	}
	return nil
}

// class returns the settings' class with the given name, or nil.
func (c *Config) class(name string) *decide.Class {
	for i := range c.Settings.Decide.Classes {
		if class := &c.Settings.Decide.Classes[i]; class.Name == name {
			return class
		}
	}
	return nil
}

func (c *Config) hasPlan(name string) bool {
	for i := range c.Settings.Decide.Plans {
		if c.Settings.Decide.Plans[i].Name == name {
			return true
		}
	}
	return false
}
