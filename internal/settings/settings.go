// Package settings reads and validates the daemon's TOML settings file.
package settings

import (
	"bytes"
	"fmt"
	"math"
	"net/netip"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"
)

// Role is a set of duties that a node takes on.
type Role string

// The roles of the daemon.
const (
	// RoleControl runs a replica of the control group.
	RoleControl Role = "control"
	// RoleScheduler runs a candidate for the scheduler of a cell.
	RoleScheduler Role = "scheduler"
	// RoleEntry serves callers with the slots that a scheduler grants.
	RoleEntry Role = "entry"
	// RoleCoordinator runs a candidate for the fleet's coordinator; it needs RoleControl.
	// With RoleGateway it replaces RoleScheduler and RoleEntry.
	RoleCoordinator Role = "coordinator"
	// RoleGateway serves callers by a routing configuration.
	RoleGateway Role = "gateway"
)

var allRoles = []Role{RoleControl, RoleScheduler, RoleEntry, RoleCoordinator, RoleGateway}

// Duration is a time.Duration whose text form is that of time.ParseDuration.
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		v, err = parseExponent(string(text))
	}
	if err != nil {
		return errors.Errorf("%q is not a duration such as 500ms or 10s", text)
	}
	*d = Duration(v)
	return nil
}

// parseExponent parses a duration of one number with an exponent, such as 1.2e3ms, which
// time.ParseDuration does not know.
func parseExponent(text string) (time.Duration, error) {
	number := strings.TrimRight(text, "hmsnuµ")
	unit, err := time.ParseDuration("1" + strings.TrimPrefix(text, number))
	if err != nil {
		return 0, err
	}
	v, err := strconv.ParseFloat(number, 64)
	if err != nil {
		return 0, err
	}
	if d := v * float64(unit); math.Abs(d) < math.MaxInt64 {
		return time.Duration(d), nil
	}
	return 0, errors.New("out of range")
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Settings is the content of a settings file, a field for each table.
type Settings struct {
	Node        Node        `toml:"node"`
	Control     Control     `toml:"control"`
	Scheduler   Scheduler   `toml:"scheduler"`
	Entry       Entry       `toml:"entry"`
	Operator    Operator    `toml:"operator"`
	Coordinator Coordinator `toml:"coordinator"`
	Gateway     Gateway     `toml:"gateway"`
	HTTP        HTTP        `toml:"http"`
	Metrics     Metrics     `toml:"metrics"`
	Tracing     Tracing     `toml:"tracing"`
	TLS         TLS         `toml:"tls"`
}

// Node identifies this process and sets what all roles share.
type Node struct {
	ID        string  `toml:"id"`
	Zone      string  `toml:"zone"`
	Address   string  `toml:"address"`  // IP:port that other nodes dial
	Listen    string  `toml:"listen"`   // IP:port to listen on where it differs from Address, such as behind a proxy
	DataDir   string  `toml:"data_dir"` // required by the control role
	Roles     []Role  `toml:"roles"`
	LogLevel  string  `toml:"log_level"` // debug, info, warn or error
	MemoryMiB float64 `toml:"memory_mb"` // memory available to the process, in MiB despite the setting's name; 0: unknown, no limit is set
	MaxFiles  float64 `toml:"max_files"` // descriptors that the process may have open; 0: unknown
	LogTo     string  `toml:"log_to"`    // stderr; or stdout, with a bounded buffer that drops lines
}

// Peer identifies one control VM.
type Peer struct {
	ID      string `toml:"id"`
	Address string `toml:"address"`
	Zone    string `toml:"zone"`
}

// Control sets how nodes find the control group, and the timing of its replicas.
type Control struct {
	Cluster         string   `toml:"cluster"`
	Peers           []Peer   `toml:"peers"`
	Bootstrap       bool     `toml:"bootstrap"` // create the group at the first start of its initial members
	LeaseTTL        Duration `toml:"lease_ttl"`
	ElectionTimeout Duration `toml:"election_timeout"`
	Heartbeat       Duration `toml:"heartbeat"`

	// Seeds replace Peers: addresses of some control VMs. They are the initial members of a
	// bootstrap and only contact addresses later, while the group grows to Voters automatically.
	Seeds         []string `toml:"seeds"`
	SeedPort      uint16   `toml:"seed_port"`      // replaces the port of every seed unless 0
	TolerateVMs   float64  `toml:"tolerate_vms"`   // a whole number in any notation: VMs that may be lost at once
	TolerateZones float64  `toml:"tolerate_zones"` // a whole number in any notation: availability zones that may be lost at once
}

// Coordinator configures the coordinator role.
type Coordinator struct {
	Listen           string   `toml:"listen"`            // IP:port for upstreams and operators
	Heartbeat        Duration `toml:"heartbeat"`         // interval of each upstream's heartbeats
	TurnInterval     Duration `toml:"turn_interval"`     // least time between two orders of a VM that has another VM's order between them; 0: none
	RequireFence     bool     `toml:"require_fence"`     // runners refuse lower fencing tokens, so that TurnInterval is not needed
	StoreConcurrency int      `toml:"store_concurrency"` // bound on concurrent loads from the weight store; 0: as learnt
	AdapterInFlight  int      `toml:"adapter_in_flight"` // concurrent loads of adapters
	Prefetch         bool     `toml:"prefetch"`          // load models that no runner has on disk while the store is idle
}

// Gateway configures the gateway role.
type Gateway struct {
	Listen        string   `toml:"listen"` // IP:port for callers
	ReadyAddress  string   `toml:"ready"`  // IP:port of the readiness probe
	MaxBodyBytes  int64    `toml:"max_body_bytes"`
	MaxRequests   int      `toml:"max_requests"` // requests in progress at once
	IdleTimeout   Duration `toml:"idle_timeout"`
	DrainAnnounce Duration `toml:"drain_announce"` // first part of the drain: not ready, but still serving
	DrainLimit    Duration `toml:"drain_limit"`    // the whole drain, after which requests are cut off
	MaxStale      Duration `toml:"max_stale"`      // time to go on serving without contact with a coordinator
	FailClosed    bool     `toml:"fail_closed"`    // refuse requests with a key when the last update is older than RevokeAfter
	RevokeAfter   Duration `toml:"revoke_after"`
	Source        string   `toml:"upstream_source"` // IP address from which upstreams are called; empty: any
	RetryPercent  int      `toml:"retry_percent"`   // retry budget, as a percentage of requests
	RetryBurst    int      `toml:"retry_burst"`     // unused retries that may accumulate
	RetrySlack    *float64 `toml:"retry_slack"`     // unused retries that may accumulate over all entries; nil: no such bound
}

// HTTP bounds what callers of all HTTP listeners of the roles gateway and coordinator may hold and take.
type HTTP struct {
	MemoryMiB      float64  `toml:"memory_mb"`        // bytes of requests and unsent answers in all, in MiB; 0: a fifth of node.memory_mb
	MaxConnections int      `toml:"max_connections"`  // of callers on an entry; 0: seven sixteenths of node.max_files
	MaxHeaderBytes int      `toml:"max_header_bytes"` // unless the operator's document names it
	MaxPipelined   int      `toml:"max_pipelined"`    // requests queued behind the running one of a connection
	MaxUnsentBytes int      `toml:"max_unsent_bytes"` // of one connection, at most a sixteenth of the memory
	HeaderTimeout  Duration `toml:"header_timeout"`   // unless the operator's document names it
	BodyTimeout    Duration `toml:"body_timeout"`     // from the first to the last byte of a request
	WriteTimeout   Duration `toml:"write_timeout"`    // in which a caller takes no byte of its answer
}

// Scheduler configures the scheduler role.
type Scheduler struct {
	Cell                 string   `toml:"cell"`
	StoreLoadsPerSecond  float64  `toml:"store_loads_per_s"`
	StoreConcurrency     int      `toml:"store_concurrency"`      // concurrent loads from the weight store
	AdapterInFlight      int      `toml:"adapter_in_flight"`      // concurrent loads of adapters
	UpstreamSuspectAfter Duration `toml:"upstream_suspect_after"` // silence after which an upstream is suspect
	UpstreamLostAfter    Duration `toml:"upstream_lost_after"`    // silence after which an upstream is lost
	OrderLife            Duration `toml:"order_life"`             // longest time for which an order may still take effect
	PlanInterval         Duration `toml:"plan_interval"`          // time between two placement plans
}

// Entry configures the entry role.
type Entry struct {
	Listen       string   `toml:"listen"` // IP:port for callers
	Cell         string   `toml:"cell"`
	CallersFile  string   `toml:"callers_file"` // lines "token caller"; empty: all callers are "anonymous"
	MaxBodyBytes int64    `toml:"max_body_bytes"`
	MaxRequests  int      `toml:"max_requests"` // requests in progress at once
	BodyTimeout  Duration `toml:"body_timeout"`
	DrainSettle  Duration `toml:"drain_settle"` // first part of the drain: not ready, but still serving
	DrainLimit   Duration `toml:"drain_limit"`  // the whole drain, after which requests are cut off
}

// Operator configures the operators' listener, which is separate from that of callers.
type Operator struct {
	Listen    string `toml:"listen"`
	TokenFile string `toml:"token_file"`
}

// Metrics configures the listener for metrics, probes and profiles.
type Metrics struct {
	Listen string `toml:"listen"`
}

// Tracing configures the export of spans; without an endpoint there is none.
type Tracing struct {
	OTLPEndpoint string  `toml:"otlp_endpoint"`
	SampleRatio  float64 `toml:"sample_ratio"`
}

// TLS names the PEM files for mutual TLS between nodes and for TLS on the operators'
// listener.
type TLS struct {
	Cert string `toml:"cert"`
	Key  string `toml:"key"`
	CA   string `toml:"ca"`
}

// Enabled reports whether TLS files are set.
func (t TLS) Enabled() bool { return t.Cert != "" }

// HasRole reports whether the node has the role.
func (s *Settings) HasRole(r Role) bool {
	for _, have := range s.Node.Roles {
		if have == r {
			return true
		}
	}
	return false
}

// Default returns the values of settings that a file omits.
func Default() Settings {
	return Settings{
		Node: Node{LogLevel: "info", LogTo: "stderr"},
		Control: Control{
			LeaseTTL:        Duration(3 * time.Second),
			ElectionTimeout: Duration(600 * time.Millisecond),
			Heartbeat:       Duration(100 * time.Millisecond),
		},
		Scheduler: Scheduler{
			StoreLoadsPerSecond:  3,
			StoreConcurrency:     4,
			AdapterInFlight:      32,
			UpstreamSuspectAfter: Duration(3 * time.Second),
			UpstreamLostAfter:    Duration(10 * time.Second),
			OrderLife:            Duration(5 * time.Second),
			PlanInterval:         Duration(100 * time.Millisecond),
		},
		Entry: Entry{
			MaxBodyBytes: 4 << 20,
			MaxRequests:  4096,
			BodyTimeout:  Duration(10 * time.Second),
			DrainSettle:  Duration(2 * time.Second),
			DrainLimit:   Duration(10 * time.Minute),
		},
		Coordinator: Coordinator{
			Heartbeat:       Duration(1200 * time.Millisecond),
			AdapterInFlight: 32,
			Prefetch:        true,
		},
		Gateway: Gateway{
			MaxBodyBytes:  4 << 20,
			MaxRequests:   4096,
			IdleTimeout:   Duration(time.Minute),
			DrainAnnounce: Duration(3 * time.Second),
			DrainLimit:    Duration(7 * time.Second),
			MaxStale:      Duration(20 * time.Second),
			RevokeAfter:   Duration(5 * time.Second),
			RetryPercent:  10,
			RetryBurst:    4,
		},
		HTTP: HTTP{
			MaxHeaderBytes: 32 << 10,
			MaxPipelined:   16,
			MaxUnsentBytes: 8 << 20,
			HeaderTimeout:  Duration(10 * time.Second),
			BodyTimeout:    Duration(10 * time.Second),
			WriteTimeout:   Duration(30 * time.Second),
		},
		Tracing: Tracing{SampleRatio: 1},
	}
}

// Load reads and validates a settings file.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "reading settings")
	}
	s, err := Parse(data)
	return s, errors.Wrap(err, path)
}

// Parse decodes and validates settings. Errors of unknown or mistyped fields name the field
// and its line.
func Parse(data []byte) (*Settings, error) {
	s := Default()
	dec := toml.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&s); err != nil {
		return nil, withPositions(err)
	}
	if err := s.Validate(); err != nil {
		return nil, err
	}
	return &s, nil
}

// withPositions adds fields and lines to an error of the TOML decoder.
func withPositions(err error) error {
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

// problems collects the messages of failed checks.
type problems []string

func (p *problems) addf(format string, args ...any) { *p = append(*p, fmt.Sprintf(format, args...)) }

func (p *problems) checkName(field, value string) {
	if !namePattern.MatchString(value) {
		p.addf("%s: %q is not a valid name; allowed are 1 to 63 letters, digits, '.', '_' and '-'", field, value)
	}
}

func (p *problems) checkAddress(field, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		p.addf("%s: %q is not an IP:port", field, value)
	}
}

func (p *problems) checkRange(field string, value, low, high Duration) {
	if value < low || value > high {
		p.addf("%s: %s is outside %s to %s", field, time.Duration(value), time.Duration(low), time.Duration(high))
	}
}

// Validate checks the settings and returns all problems in one error. The tables scheduler,
// entry, coordinator and gateway are checked only if the node has the role.
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
	s.validateRoutingRoles(&p)
	s.validateHTTP(&p)
	s.validateListeners(&p)
	if len(p) > 0 {
		return errors.New(strings.Join(p, "; "))
	}
	return nil
}

func (s *Settings) validateNode(p *problems) {
	p.checkName("node.id", s.Node.ID)
	p.checkName("node.zone", s.Node.Zone)
	p.checkAddress("node.address", s.Node.Address)
	if s.Node.Listen != "" {
		p.checkAddress("node.listen", s.Node.Listen)
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
	p.checkName("control.cluster", s.Control.Cluster)
	if len(s.Control.Peers) == 0 && len(s.Control.Seeds) == 0 {
		p.addf("control.peers: empty, as is control.seeds; every node needs addresses of the control group")
	}
	for i, seed := range s.Control.Seeds {
		p.checkAddress(fmt.Sprintf("control.seeds[%d]", i), seed)
	}
	if s.Control.TolerateVMs != math.Trunc(s.Control.TolerateVMs) || s.Control.TolerateZones != math.Trunc(s.Control.TolerateZones) {
		p.addf("control: tolerate_vms and tolerate_zones must be whole numbers")
	}
	if s.Control.TolerateVMs < 0 || s.Control.TolerateVMs > 4 || s.Control.TolerateZones < 0 || s.Control.TolerateZones > 2 {
		p.addf("control: tolerate_vms must be within 0 to 4 and tolerate_zones within 0 to 2")
	}
	seen := map[string]bool{}
	for i, peer := range s.Control.Peers {
		field := fmt.Sprintf("control.peers[%d]", i)
		p.checkName(field+".id", peer.ID)
		p.checkName(field+".zone", peer.Zone)
		p.checkAddress(field+".address", peer.Address)
		if seen[peer.ID] {
			p.addf("%s.id: %q is used twice", field, peer.ID)
		}
		seen[peer.ID] = true
	}
	p.checkRange("control.lease_ttl", s.Control.LeaseTTL, Duration(time.Second), Duration(time.Minute))
	p.checkRange("control.election_timeout", s.Control.ElectionTimeout, Duration(100*time.Millisecond), Duration(30*time.Second))
	p.checkRange("control.heartbeat", s.Control.Heartbeat, Duration(10*time.Millisecond), s.Control.ElectionTimeout/3)
}

func (s *Settings) validateScheduler(p *problems) {
	p.checkName("scheduler.cell", s.Scheduler.Cell)
	if s.Scheduler.StoreLoadsPerSecond <= 0 || s.Scheduler.StoreConcurrency <= 0 || s.Scheduler.AdapterInFlight <= 0 {
		p.addf("scheduler: store_loads_per_s, store_concurrency and adapter_in_flight must be above 0")
	}
	p.checkRange("scheduler.upstream_suspect_after", s.Scheduler.UpstreamSuspectAfter, Duration(time.Second), Duration(time.Minute))
	p.checkRange("scheduler.upstream_lost_after", s.Scheduler.UpstreamLostAfter, s.Scheduler.UpstreamSuspectAfter, Duration(time.Hour))
	p.checkRange("scheduler.order_life", s.Scheduler.OrderLife, Duration(100*time.Millisecond), Duration(time.Minute))
	p.checkRange("scheduler.plan_interval", s.Scheduler.PlanInterval, Duration(10*time.Millisecond), Duration(10*time.Second))
}

func (s *Settings) validateEntry(p *problems) {
	p.checkAddress("entry.listen", s.Entry.Listen)
	p.checkName("entry.cell", s.Entry.Cell)
	if s.Entry.MaxBodyBytes < 1<<10 || s.Entry.MaxBodyBytes > 256<<20 {
		p.addf("entry.max_body_bytes: %d is outside 1024 to 268435456", s.Entry.MaxBodyBytes)
	}
	if s.Entry.MaxRequests < 1 || s.Entry.MaxRequests > 1<<20 {
		p.addf("entry.max_requests: %d is outside 1 to 1048576", s.Entry.MaxRequests)
	}
	p.checkRange("entry.body_timeout", s.Entry.BodyTimeout, Duration(100*time.Millisecond), Duration(10*time.Minute))
	p.checkRange("entry.drain_settle", s.Entry.DrainSettle, 0, Duration(time.Minute))
	p.checkRange("entry.drain_limit", s.Entry.DrainLimit, Duration(time.Second), Duration(24*time.Hour))
}

func (s *Settings) validateRoutingRoles(p *problems) {
	if s.HasRole(RoleCoordinator) {
		p.checkAddress("coordinator.listen", s.Coordinator.Listen)
		p.checkRange("coordinator.heartbeat", s.Coordinator.Heartbeat, Duration(100*time.Millisecond), Duration(time.Minute))
		if !s.HasRole(RoleControl) {
			p.addf("node.roles: coordinator requires control on the same node")
		}
		p.checkRange("coordinator.turn_interval", s.Coordinator.TurnInterval, 0, Duration(time.Minute))
		if s.Coordinator.StoreConcurrency < 0 {
			p.addf("coordinator.store_concurrency: %d is below 0", s.Coordinator.StoreConcurrency)
		}
		if s.Coordinator.AdapterInFlight < 1 {
			p.addf("coordinator.adapter_in_flight must be above 0")
		}
	}
	if s.HasRole(RoleGateway) {
		p.checkAddress("gateway.listen", s.Gateway.Listen)
		p.checkAddress("gateway.ready", s.Gateway.ReadyAddress)
		p.checkRange("gateway.idle_timeout", s.Gateway.IdleTimeout, Duration(time.Second), Duration(time.Hour))
		p.checkRange("gateway.drain_announce", s.Gateway.DrainAnnounce, 0, Duration(time.Minute))
		p.checkRange("gateway.drain_limit", s.Gateway.DrainLimit, s.Gateway.DrainAnnounce, Duration(time.Hour))
		p.checkRange("gateway.max_stale", s.Gateway.MaxStale, Duration(time.Second), Duration(time.Hour))
		p.checkRange("gateway.revoke_after", s.Gateway.RevokeAfter, 0, Duration(24*time.Hour))
		if _, err := netip.ParseAddr(s.Gateway.Source); s.Gateway.Source != "" && err != nil {
			p.addf("gateway.upstream_source: %q is not an IP address", s.Gateway.Source)
		}
		if s.Gateway.RetryPercent < 0 || s.Gateway.RetryPercent > 100 || s.Gateway.RetryBurst < 0 || s.Gateway.RetrySlack != nil && *s.Gateway.RetrySlack < 0 {
			p.addf("gateway: retry_percent must be within 0 to 100 and retry_burst and retry_slack must not be below 0")
		}
	}
	if s.HasRoutingRole() && (s.HasRole(RoleEntry) || s.HasRole(RoleScheduler)) {
		p.addf("node.roles: gateway and coordinator can't be combined with entry and scheduler")
	}
}

func (s *Settings) validateHTTP(p *problems) {
	h := s.HTTP
	if h.MemoryMiB < 0 || h.MemoryMiB > 1<<20 || s.Node.MemoryMiB > 0 && h.MemoryMiB > s.Node.MemoryMiB {
		p.addf("http.memory_mb: %g is below 0 or above node.memory_mb", h.MemoryMiB)
	}
	if h.MaxConnections < 0 || s.Node.MaxFiles > 0 && float64(h.MaxConnections) > s.Node.MaxFiles {
		p.addf("http.max_connections: %d is below 0 or above node.max_files", h.MaxConnections)
	}
	if h.MaxHeaderBytes < 1<<10 || h.MaxHeaderBytes > 1<<20 {
		p.addf("http.max_header_bytes: %d is outside 1024 to 1048576", h.MaxHeaderBytes)
	}
	if h.MaxPipelined < 1 || h.MaxPipelined > 1<<10 {
		p.addf("http.max_pipelined: %d is outside 1 to 1024", h.MaxPipelined)
	}
	if h.MaxUnsentBytes < 512<<10 || h.MaxUnsentBytes > 256<<20 {
		p.addf("http.max_unsent_bytes: %d is outside 524288 to 268435456", h.MaxUnsentBytes)
	}
	p.checkRange("http.header_timeout", h.HeaderTimeout, Duration(100*time.Millisecond), Duration(10*time.Minute))
	p.checkRange("http.body_timeout", h.BodyTimeout, Duration(100*time.Millisecond), Duration(10*time.Minute))
	p.checkRange("http.write_timeout", h.WriteTimeout, Duration(time.Second), Duration(time.Hour))
}

// HasRoutingRole reports whether the node has the role coordinator or gateway.
func (s *Settings) HasRoutingRole() bool { return s.HasRole(RoleCoordinator) || s.HasRole(RoleGateway) }

// Voters returns the number of voters of the group: 2n+1 to tolerate the loss of n VMs, and
// at least five if a zone may be lost, since five voters over three zones keep three then.
func (c *Control) Voters() int {
	n := 2*int(c.TolerateVMs) + 1
	if c.TolerateZones > 0 {
		n = max(n, 5)
	}
	return n
}

// SeedAddresses returns the addresses at which other nodes dial the seeds.
func (c *Control) SeedAddresses() []string {
	out := make([]string, 0, len(c.Seeds))
	for _, seed := range c.Seeds {
		ap, err := netip.ParseAddrPort(seed)
		if err != nil {
			continue // Validate has rejected it
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
		p.checkAddress("operator.listen", s.Operator.Listen)
		if s.Operator.TokenFile == "" {
			p.addf("operator.token_file: empty; the operators' listener needs credentials")
		}
		if s.Operator.Listen == s.Entry.Listen {
			p.addf("operator.listen: %s is the callers' address", s.Operator.Listen)
		}
	}
	if s.Metrics.Listen != "" {
		p.checkAddress("metrics.listen", s.Metrics.Listen)
	}
	if s.Tracing.SampleRatio < 0 || s.Tracing.SampleRatio > 1 {
		p.addf("tracing.sample_ratio: %g is outside 0 to 1", s.Tracing.SampleRatio)
	}
	if (s.TLS.Cert == "") != (s.TLS.Key == "") || (s.TLS.Cert == "") != (s.TLS.CA == "") {
		p.addf("tls: cert, key and ca must be set together or not at all")
	}
}
