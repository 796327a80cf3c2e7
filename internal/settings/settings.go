// Package settings reads and checks the daemon's TOML file.
package settings

import (
	"bytes"
	"fmt"
	"net/netip"
	"os"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"
)

// Role names one duty of the daemon.
type Role string

// The roles of the daemon.
const (
	RoleControl   Role = "control"
	RoleScheduler Role = "scheduler"
	RoleEntry     Role = "entry"
	// RoleCoordinator follows the fleet beside a control replica, RoleGateway serves a
	// routing configuration. They take the places of scheduler and entry.
	RoleCoordinator Role = "coordinator"
	RoleGateway     Role = "gateway"
)

var allRoles = []Role{RoleControl, RoleScheduler, RoleEntry, RoleCoordinator, RoleGateway}

// Duration is a time.Duration written as text, such as "500ms".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Errorf("%q is no duration; write it like 500ms or 10s", text)
	}
	*d = Duration(v)
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Settings is the whole settings file.
type Settings struct {
	Node        Node        `toml:"node"`
	Control     Control     `toml:"control"`
	Scheduler   Scheduler   `toml:"scheduler"`
	Entry       Entry       `toml:"entry"`
	Operator    Operator    `toml:"operator"`
	Coordinator Coordinator `toml:"coordinator"`
	Gateway     Gateway     `toml:"gateway"`
	Metrics     Metrics     `toml:"metrics"`
	Tracing     Tracing     `toml:"tracing"`
	TLS         TLS         `toml:"tls"`
}

// Node is the identity of this process and where it is reached.
type Node struct {
	ID       string `toml:"id"`
	Zone     string `toml:"zone"`
	Address  string `toml:"address"`  // IP:port of gRPC between nodes
	Listen   string `toml:"listen"`   // IP:port listened on, where Address is another one that leads to it
	DataDir  string `toml:"data_dir"` // needed by the control role
	Roles    []Role `toml:"roles"`
	LogLevel string `toml:"log_level"` // debug, info, warn or error
	MemoryMB int    `toml:"memory_mb"` // memory that the VM gives the process; 0: not said
	LogTo    string `toml:"log_to"`    // stderr, or stdout through a bounded buffer
}

// Peer is one control VM.
type Peer struct {
	ID      string `toml:"id"`
	Address string `toml:"address"`
	Zone    string `toml:"zone"`
}

// Control tells every node where the control group is and how a control VM runs.
type Control struct {
	Cluster         string   `toml:"cluster"`
	Peers           []Peer   `toml:"peers"`
	Bootstrap       bool     `toml:"bootstrap"` // first start of the first members
	LeaseTTL        Duration `toml:"lease_ttl"`
	ElectionTimeout Duration `toml:"election_timeout"`
	Heartbeat       Duration `toml:"heartbeat"`

	// In place of Peers: addresses of some control VMs. At the first start those are the
	// first members; later they are hints, and the group grows to Voters by itself.
	Seeds         []string `toml:"seeds"`
	SeedPort      uint16   `toml:"seed_port"`      // takes the place of the seeds' own port
	TolerateVMs   int      `toml:"tolerate_vms"`   // losses at once that the group bears
	TolerateZones int      `toml:"tolerate_zones"` // availability zones lost at once
}

// Coordinator is the listener of upstreams and operators on a control VM.
type Coordinator struct {
	Listen           string   `toml:"listen"`
	Heartbeat        Duration `toml:"heartbeat"` // time between two heartbeats of an upstream
	StoreConcurrency int      `toml:"store_concurrency"`
	AdapterInFlight  int      `toml:"adapter_in_flight"`
	Prefetch         bool     `toml:"prefetch"` // load models that lie on no runner while the store is idle
}

// Gateway is the callers' side of a routing configuration.
type Gateway struct {
	Listen        string   `toml:"listen"`
	Ready         string   `toml:"ready"` // address of the readiness probe
	MaxBody       int64    `toml:"max_body_bytes"`
	MaxRequests   int      `toml:"max_requests"`
	IdleTimeout   Duration `toml:"idle_timeout"`
	DrainAnnounce Duration `toml:"drain_announce"` // not ready, but still serving
	DrainLimit    Duration `toml:"drain_limit"`
	MaxStale      Duration `toml:"max_stale"` // longest service without word from a coordinator
	RetryPercent  int      `toml:"retry_percent"`
	RetryBurst    int      `toml:"retry_burst"`
}

// Scheduler names the cell that a scheduler candidate serves.
type Scheduler struct {
	Cell             string   `toml:"cell"`
	StoreLoadsPerSec float64  `toml:"store_loads_per_s"`
	StoreConcurrency int      `toml:"store_concurrency"`
	AdapterInFlight  int      `toml:"adapter_in_flight"`
	UpstreamSuspect  Duration `toml:"upstream_suspect_after"`
	UpstreamLost     Duration `toml:"upstream_lost_after"`
	OrderLife        Duration `toml:"order_life"`
	PlanInterval     Duration `toml:"plan_interval"`
}

// Entry is the callers' side.
type Entry struct {
	Listen      string   `toml:"listen"`
	Cell        string   `toml:"cell"`
	CallersFile string   `toml:"callers_file"` // lines "token caller"; empty admits everyone as "anonymous"
	MaxBody     int64    `toml:"max_body_bytes"`
	MaxRequests int      `toml:"max_requests"` // requests in progress at once
	BodyTimeout Duration `toml:"body_timeout"`
	DrainSettle Duration `toml:"drain_settle"` // not ready, but still serving
	DrainLimit  Duration `toml:"drain_limit"`
}

// Operator is the operators' listener, kept apart from the callers' one.
type Operator struct {
	Listen    string `toml:"listen"`
	TokenFile string `toml:"token_file"`
}

// Metrics is the listener of metrics, liveness and profiles.
type Metrics struct {
	Listen string `toml:"listen"`
}

// Tracing exports spans; an empty endpoint switches it off.
type Tracing struct {
	OTLPEndpoint string  `toml:"otlp_endpoint"`
	SampleRatio  float64 `toml:"sample_ratio"`
}

// TLS holds the files of mutual TLS between nodes and on the operators' listener.
type TLS struct {
	Cert string `toml:"cert"`
	Key  string `toml:"key"`
	CA   string `toml:"ca"`
}

// Enabled reports whether TLS files are set.
func (t TLS) Enabled() bool { return t.Cert != "" }

// HasRole reports whether the node takes the role.
func (s *Settings) HasRole(r Role) bool {
	for _, have := range s.Node.Roles {
		if have == r {
			return true
		}
	}
	return false
}

// Default returns the settings that a file starts from.
func Default() Settings {
	return Settings{
		Node: Node{LogLevel: "info", LogTo: "stderr"},
		Control: Control{
			LeaseTTL:        Duration(3 * time.Second),
			ElectionTimeout: Duration(600 * time.Millisecond),
			Heartbeat:       Duration(100 * time.Millisecond),
		},
		Scheduler: Scheduler{
			StoreLoadsPerSec: 3,
			StoreConcurrency: 4,
			AdapterInFlight:  32,
			UpstreamSuspect:  Duration(3 * time.Second),
			UpstreamLost:     Duration(10 * time.Second),
			OrderLife:        Duration(5 * time.Second),
			PlanInterval:     Duration(100 * time.Millisecond),
		},
		Entry: Entry{
			MaxBody:     4 << 20,
			MaxRequests: 4096,
			BodyTimeout: Duration(10 * time.Second),
			DrainSettle: Duration(2 * time.Second),
			DrainLimit:  Duration(10 * time.Minute),
		},
		Coordinator: Coordinator{
			Heartbeat:        Duration(1200 * time.Millisecond),
			StoreConcurrency: 4,
			AdapterInFlight:  32,
			Prefetch:         true,
		},
		Gateway: Gateway{
			MaxBody:       4 << 20,
			MaxRequests:   4096,
			IdleTimeout:   Duration(time.Minute),
			DrainAnnounce: Duration(3 * time.Second),
			DrainLimit:    Duration(7 * time.Second),
			MaxStale:      Duration(20 * time.Second),
			RetryPercent:  10,
			RetryBurst:    4,
		},
		Tracing: Tracing{SampleRatio: 1},
	}
}

// Load reads and checks a settings file.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "reading settings")
	}
	s, err := Parse(data)
	return s, errors.Wrap(err, path)
}

// Parse decodes and checks settings. An unknown or wrong field is named with its line.
func Parse(data []byte) (*Settings, error) {
	s := Default()
	dec := toml.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&s); err != nil {
		return nil, describe(err)
	}
	if err := s.Validate(); err != nil {
		return nil, err
	}
	return &s, nil
}

func describe(err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		var lines []string
		for _, e := range strict.Errors {
			row, _ := e.Position()
			lines = append(lines, fmt.Sprintf("line %d: unknown field %s", row, strings.Join(e.Key(), ".")))
		}
		return errors.New(strings.Join(lines, "; "))
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		row, col := decode.Position()
		return errors.Errorf("line %d, column %d: %s: %s", row, col, strings.Join(decode.Key(), "."), decode.Error())
	}
	return err
}

var namePattern = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._-]{0,62}$`)

type problems []string

func (p *problems) addf(format string, args ...any) { *p = append(*p, fmt.Sprintf(format, args...)) }

func (p *problems) name(field, value string) {
	if !namePattern.MatchString(value) {
		p.addf("%s: %q is no name; allowed are 1 to 63 letters, digits, '.', '_' and '-'", field, value)
	}
}

func (p *problems) address(field, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		p.addf("%s: %q is no IP:port", field, value)
	}
}

func (p *problems) between(field string, value, low, high Duration) {
	if value < low || value > high {
		p.addf("%s: %s lies outside %s to %s", field, time.Duration(value), time.Duration(low), time.Duration(high))
	}
}

// Validate checks all fields and returns every problem in one error.
func (s *Settings) Validate() error {
	var p problems
	s.validateNode(&p)
	s.validateControl(&p)
	if s.HasRole(RoleScheduler) {
		s.validateScheduler(&p)
	}
	if s.HasRole(RoleEntry) {
		s.validateEntry(&p)
	}
	s.validateFleet(&p)
	s.validateListeners(&p)
	if len(p) > 0 {
		return errors.New(strings.Join(p, "; "))
	}
	return nil
}

func (s *Settings) validateNode(p *problems) {
	p.name("node.id", s.Node.ID)
	p.name("node.zone", s.Node.Zone)
	p.address("node.address", s.Node.Address)
	if s.Node.Listen != "" {
		p.address("node.listen", s.Node.Listen)
	}
	if len(s.Node.Roles) == 0 {
		p.addf("node.roles: empty; allowed are %v", allRoles)
	}
	for _, r := range s.Node.Roles {
		if !slices.Contains(allRoles, r) {
			p.addf("node.roles: %q is unknown; allowed are %v", r, allRoles)
		}
	}
	switch s.Node.LogLevel {
	case "debug", "info", "warn", "error":
	default:
		p.addf("node.log_level: %q is unknown; allowed are debug, info, warn and error", s.Node.LogLevel)
	}
	if s.Node.LogTo != "stderr" && s.Node.LogTo != "stdout" {
		p.addf("node.log_to: %q is unknown; allowed are stderr and stdout", s.Node.LogTo)
	}
	if s.HasRole(RoleControl) && s.Node.DataDir == "" {
		p.addf("node.data_dir: empty; the control role needs it")
	}
}

func (s *Settings) validateControl(p *problems) {
	p.name("control.cluster", s.Control.Cluster)
	if len(s.Control.Peers) == 0 && len(s.Control.Seeds) == 0 {
		p.addf("control.peers: empty, and control.seeds too; every node needs addresses of the control group")
	}
	for i, seed := range s.Control.Seeds {
		p.address(fmt.Sprintf("control.seeds[%d]", i), seed)
	}
	if s.Control.TolerateVMs < 0 || s.Control.TolerateVMs > 4 || s.Control.TolerateZones < 0 || s.Control.TolerateZones > 2 {
		p.addf("control: tolerate_vms must lie within 0 to 4 and tolerate_zones within 0 to 2")
	}
	seen := map[string]bool{}
	for i, peer := range s.Control.Peers {
		field := fmt.Sprintf("control.peers[%d]", i)
		p.name(field+".id", peer.ID)
		p.name(field+".zone", peer.Zone)
		p.address(field+".address", peer.Address)
		if seen[peer.ID] {
			p.addf("%s.id: %q stands twice", field, peer.ID)
		}
		seen[peer.ID] = true
	}
	p.between("control.lease_ttl", s.Control.LeaseTTL, Duration(time.Second), Duration(time.Minute))
	p.between("control.election_timeout", s.Control.ElectionTimeout, Duration(100*time.Millisecond), Duration(30*time.Second))
	p.between("control.heartbeat", s.Control.Heartbeat, Duration(10*time.Millisecond), s.Control.ElectionTimeout/3)
}

func (s *Settings) validateScheduler(p *problems) {
	p.name("scheduler.cell", s.Scheduler.Cell)
	if s.Scheduler.StoreLoadsPerSec <= 0 || s.Scheduler.StoreConcurrency <= 0 || s.Scheduler.AdapterInFlight <= 0 {
		p.addf("scheduler: store_loads_per_s, store_concurrency and adapter_in_flight must be above 0")
	}
	p.between("scheduler.upstream_suspect_after", s.Scheduler.UpstreamSuspect, Duration(time.Second), Duration(time.Minute))
	p.between("scheduler.upstream_lost_after", s.Scheduler.UpstreamLost, s.Scheduler.UpstreamSuspect, Duration(time.Hour))
	p.between("scheduler.order_life", s.Scheduler.OrderLife, Duration(100*time.Millisecond), Duration(time.Minute))
	p.between("scheduler.plan_interval", s.Scheduler.PlanInterval, Duration(10*time.Millisecond), Duration(10*time.Second))
}

func (s *Settings) validateEntry(p *problems) {
	p.address("entry.listen", s.Entry.Listen)
	p.name("entry.cell", s.Entry.Cell)
	if s.Entry.MaxBody < 1<<10 || s.Entry.MaxBody > 256<<20 {
		p.addf("entry.max_body_bytes: %d lies outside 1024 to 268435456", s.Entry.MaxBody)
	}
	if s.Entry.MaxRequests < 1 || s.Entry.MaxRequests > 1<<20 {
		p.addf("entry.max_requests: %d lies outside 1 to 1048576", s.Entry.MaxRequests)
	}
	p.between("entry.body_timeout", s.Entry.BodyTimeout, Duration(100*time.Millisecond), Duration(10*time.Minute))
	p.between("entry.drain_settle", s.Entry.DrainSettle, 0, Duration(time.Minute))
	p.between("entry.drain_limit", s.Entry.DrainLimit, Duration(time.Second), Duration(24*time.Hour))
}

func (s *Settings) validateFleet(p *problems) {
	if s.HasRole(RoleCoordinator) {
		p.address("coordinator.listen", s.Coordinator.Listen)
		p.between("coordinator.heartbeat", s.Coordinator.Heartbeat, Duration(100*time.Millisecond), Duration(time.Minute))
		if !s.HasRole(RoleControl) {
			p.addf("node.roles: coordinator needs control on the same node")
		}
		if s.Coordinator.StoreConcurrency < 1 || s.Coordinator.AdapterInFlight < 1 {
			p.addf("coordinator: store_concurrency and adapter_in_flight must be above 0")
		}
	}
	if s.HasRole(RoleGateway) {
		p.address("gateway.listen", s.Gateway.Listen)
		p.address("gateway.ready", s.Gateway.Ready)
		p.between("gateway.idle_timeout", s.Gateway.IdleTimeout, Duration(time.Second), Duration(time.Hour))
		p.between("gateway.drain_announce", s.Gateway.DrainAnnounce, 0, Duration(time.Minute))
		p.between("gateway.drain_limit", s.Gateway.DrainLimit, s.Gateway.DrainAnnounce, Duration(time.Hour))
		p.between("gateway.max_stale", s.Gateway.MaxStale, Duration(time.Second), Duration(time.Hour))
		if s.Gateway.RetryPercent < 0 || s.Gateway.RetryPercent > 100 || s.Gateway.RetryBurst < 0 {
			p.addf("gateway: retry_percent must lie within 0 to 100 and retry_burst must not be below 0")
		}
	}
	if s.IsFleet() && (s.HasRole(RoleEntry) || s.HasRole(RoleScheduler)) {
		p.addf("node.roles: gateway and coordinator do not go with entry and scheduler")
	}
}

// IsFleet reports whether the node serves a routing configuration.
func (s *Settings) IsFleet() bool { return s.HasRole(RoleCoordinator) || s.HasRole(RoleGateway) }

// Voters is the number of voters that bears the losses which the settings name. With a
// zone to be borne, five voters over three zones leave three.
func (c *Control) Voters() int {
	n := 2*c.TolerateVMs + 1
	if c.TolerateZones > 0 {
		n = max(n, 5)
	}
	return n
}

// SeedAddresses are the inner addresses of the seeds.
func (c *Control) SeedAddresses() []string {
	out := make([]string, 0, len(c.Seeds))
	for _, seed := range c.Seeds {
		ap, err := netip.ParseAddrPort(seed)
		if err != nil {
			continue // refused by Validate
		}
		if c.SeedPort != 0 {
			ap = netip.AddrPortFrom(ap.Addr(), c.SeedPort)
		}
		out = append(out, ap.String())
	}
	return out
}

func (s *Settings) validateListeners(p *problems) {
	if s.Operator.Listen != "" {
		p.address("operator.listen", s.Operator.Listen)
		if s.Operator.TokenFile == "" {
			p.addf("operator.token_file: empty; the operators' listener needs credentials")
		}
		if s.Operator.Listen == s.Entry.Listen {
			p.addf("operator.listen: %s is the callers' address", s.Operator.Listen)
		}
	}
	if s.Metrics.Listen != "" {
		p.address("metrics.listen", s.Metrics.Listen)
	}
	if s.Tracing.SampleRatio < 0 || s.Tracing.SampleRatio > 1 {
		p.addf("tracing.sample_ratio: %g lies outside 0 to 1", s.Tracing.SampleRatio)
	}
	if (s.TLS.Cert == "") != (s.TLS.Key == "") || (s.TLS.Cert == "") != (s.TLS.CA == "") {
		p.addf("tls: cert, key and ca are set together or not at all")
	}
}
