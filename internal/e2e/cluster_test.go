package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gentiankeel/internal/standin"
	"gentiankeel/internal/wire"
)

// waitTimeout bounds every wait for a condition. It is long, so that tests don't fail on a
// slow machine.
const waitTimeout = 60 * time.Second

var binDir string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "gentiankeel-e2e")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	build := exec.Command("go", "build", "-race", "-o", dir+"/", "gentiankeel/cmd/gentiankeeld", "gentiankeel/cmd/gentiankeel")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "building the binaries:", err)
		os.Exit(1)
	}
	binDir = dir
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// node is one daemon process.
type node struct {
	id              string
	config          string // path of the settings file
	address         string // gRPC, for other nodes
	operatorAddress string // control nodes only
	callerAddress   string // entries only
	metricsAddress  string
	cmd             *exec.Cmd // nil: not running
	log             *os.File
	exited          chan error // receives the result of cmd.Wait
}

// cluster consists of three control nodes, which are also scheduler candidates, of
// entries, and of stand-in upstreams within the test process.
type cluster struct {
	t         *testing.T
	dir       string
	control   []*node
	entries   []*node
	upstreams []*standin.Server

	leaderClient wire.OperatorClient // of the last known leader; nil: unknown
}

// specTemplate is an applied file with verbs for its version and the replicas of writer.
const specTemplate = `
name = "e2e"
version = %d

[limits]
queue_per_model = 100
ledger_window = "1h"
default_deadline = "40s"
max_deadline = "60s"

[[models]]
name = "writer"
version = "1"
replicas = %d
min_replicas = 1
memory_mib = 6000
idle_after = "10m"

[[models]]
name = "quiet"
version = "1"
replicas = 2
memory_mib = 6000
idle_after = "10m"

[[adapters]]
name = "gold"
model = "writer"
version = "1"
memory_mib = 100

[[services]]
name = "print-orders"
idempotent = false
`

const (
	// firstPort and lastPort lie below the kernel's range of ephemeral ports. Otherwise an
	// outgoing connection could take a node's port before the node listens on it.
	firstPort = 20000
	lastPort  = 32000
)

// lastTriedPort is the port at which the last search for a free port ended. It starts at a
// different port in each process; tests of this package run sequentially.
var lastTriedPort = firstPort + os.Getpid()%(lastPort-firstPort)

// freeAddresses returns n loopback addresses whose ports are free.
func freeAddresses(t *testing.T, n int) []string {
	t.Helper()
	var addresses []string
	for range lastPort - firstPort {
		if len(addresses) == n {
			return addresses
		}
		lastTriedPort++
		if lastTriedPort >= lastPort {
			lastTriedPort = firstPort
		}
		ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", lastTriedPort))
		if err != nil {
			continue
		}
		addresses = append(addresses, ln.Addr().String())
		ln.Close()
	}
	t.Fatalf("found only %d of %d free ports", len(addresses), n)
	return nil
}

// newCluster starts a cluster that is stopped, and its logs checked, at the end of the test.
func newCluster(t *testing.T, entries, runners int) *cluster {
	t.Helper()
	c := &cluster{t: t, dir: t.TempDir()}
	c.writeFile("token", "a-token-for-operators-only\n")
	addresses := freeAddresses(t, 9+3*entries)
	for i := range 3 {
		c.control = append(c.control, &node{id: fmt.Sprintf("c%d", i+1), address: addresses[i], operatorAddress: addresses[3+i], metricsAddress: addresses[6+i]})
	}
	for i := range entries {
		c.entries = append(c.entries, &node{id: fmt.Sprintf("e%d", i+1), address: addresses[9+3*i], callerAddress: addresses[10+3*i], metricsAddress: addresses[11+3*i]})
	}
	for i, n := range c.control {
		n.config = c.writeFile(n.id+".toml", c.controlSettings(n, i, true))
	}
	for i, n := range c.entries {
		n.config = c.writeFile(n.id+".toml", c.nodeSettings(n, i%3, true, `"entry"`, fmt.Sprintf(
			"[entry]\nlisten = %q\ncell = \"tay\"\ndrain_settle = \"200ms\"\n", n.callerAddress)))
	}
	t.Cleanup(c.stop)
	t.Cleanup(http.DefaultClient.CloseIdleConnections)
	for _, n := range append(append([]*node{}, c.control...), c.entries...) {
		c.startNode(n)
	}
	c.startUpstreams(runners)
	return c
}

func (c *cluster) path(name string) string { return filepath.Join(c.dir, name) }

func (c *cluster) writeFile(name, text string) string {
	c.t.Helper()
	if err := os.WriteFile(c.path(name), []byte(text), 0o600); err != nil {
		c.t.Fatal(err)
	}
	return c.path(name)
}

func (c *cluster) controlSettings(n *node, zone int, bootstrap bool) string {
	return c.nodeSettings(n, zone, bootstrap, `"control", "scheduler"`, fmt.Sprintf(
		"[operator]\nlisten = %q\ntoken_file = %q\n", n.operatorAddress, c.path("token")))
}

// nodeSettings returns a settings file; extra holds the sections of the node's roles.
func (c *cluster) nodeSettings(n *node, zone int, bootstrap bool, roles, extra string) string {
	var peers []string
	for i, p := range c.control {
		peers = append(peers, fmt.Sprintf(`{id = %q, address = %q, zone = "tay-%c"}`, p.id, p.address, 'a'+i))
	}
	return fmt.Sprintf(`
[node]
id = %q
zone = "tay-%c"
address = %q
data_dir = %q
roles = [%s]

[control]
cluster = "e2e"
bootstrap = %t
peers = [%s]

[scheduler]
cell = "tay"

[metrics]
listen = %q

%s`, n.id, 'a'+zone, n.address, c.path(n.id), roles, bootstrap, strings.Join(peers, ", "), n.metricsAddress, extra)
}

func (c *cluster) startNode(n *node) {
	c.t.Helper()
	log, err := os.OpenFile(c.path(n.id+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		c.t.Fatal(err)
	}
	n.log = log
	n.cmd = exec.Command(filepath.Join(binDir, "gentiankeeld"), "--config", n.config)
	n.cmd.Stderr = log
	if err := n.cmd.Start(); err != nil {
		c.t.Fatal(err)
	}
	cmd, exited := n.cmd, make(chan error, 1)
	n.exited = exited
	go func() {
		exited <- cmd.Wait()
		log.Close()
	}()
}

func (c *cluster) signal(n *node, sig syscall.Signal) {
	c.t.Helper()
	if err := n.cmd.Process.Signal(sig); err != nil {
		c.t.Fatalf("signal %v to %s: %v", sig, n.id, err)
	}
}

// kill ends a node with SIGKILL and waits for its exit.
func (c *cluster) kill(n *node) {
	c.t.Helper()
	c.signal(n, syscall.SIGKILL)
	<-n.exited
	n.cmd = nil
}

// terminate ends a node with SIGTERM and returns the error of its exit.
func (c *cluster) terminate(n *node) error {
	c.t.Helper()
	c.signal(n, syscall.SIGTERM)
	err := <-n.exited
	n.cmd = nil
	return err
}

func (c *cluster) stop() {
	for _, n := range append(append([]*node{}, c.entries...), c.control...) {
		if n.cmd == nil {
			continue
		}
		_ = n.cmd.Process.Signal(syscall.SIGCONT)
		_ = n.cmd.Process.Kill()
		<-n.exited
	}
	for _, s := range c.upstreams {
		s.Close()
	}
	c.checkLogs()
	if c.t.Failed() {
		c.dumpLogs()
	}
}

// checkLogs fails the test if a node's log shows a data race, a violated invariant or a
// panic.
func (c *cluster) checkLogs() {
	for _, n := range append(append([]*node{}, c.control...), c.entries...) {
		data, err := os.ReadFile(c.path(n.id + ".log"))
		if err != nil {
			c.t.Error(err)
			continue
		}
		for _, pattern := range []string{"DATA RACE", "invariant", "panic:"} {
			if i := bytes.Index(data, []byte(pattern)); i >= 0 {
				c.t.Errorf("%s logged %q: %s", n.id, pattern, data[max(0, i-300):min(len(data), i+3000)])
			}
		}
	}
}

// dumpLogs prints the end of each node's log.
func (c *cluster) dumpLogs() {
	const tail = 6000
	for _, n := range append(append([]*node{}, c.control...), c.entries...) {
		data, err := os.ReadFile(c.path(n.id + ".log"))
		if err != nil {
			continue
		}
		if len(data) > tail {
			data = data[len(data)-tail:]
		}
		c.t.Logf("---- %s\n%s", n.id, data)
	}
}

func (c *cluster) entryAddresses() []string {
	var addresses []string
	for _, n := range c.entries {
		addresses = append(addresses, n.callerAddress)
	}
	return addresses
}

func (c *cluster) startUpstreams(runners int) {
	store := standin.NewWeightStore(standin.DefaultStoreLoadsPerSecond, standin.DefaultStoreConcurrency)
	adapters := standin.NewAdapterPool(standin.DefaultAdapterConcurrency)
	for i := range runners {
		c.addUpstream(standin.Options{
			ID: fmt.Sprintf("runner-%02d", i), MemoryMiB: 16000, Slots: 8,
			ChecksFencing: i%3 != 2, Store: store, Adapters: adapters, Zone: fmt.Sprintf("tay-%c", 'a'+i%3)})
	}
	for i := range 2 {
		c.addUpstream(standin.Options{ID: fmt.Sprintf("desk-%02d", i), Service: "print-orders", Slots: 8, Zone: "tay-a"})
	}
}

// addUpstream starts a stand-in upstream that announces itself to the entries. Unless o
// sets latencies, it is fast and a remote load takes 500 ms.
func (c *cluster) addUpstream(o standin.Options) *standin.Server {
	c.t.Helper()
	o.Cell = "tay"
	o.Entries = c.entryAddresses()
	o.Log = slog.New(slog.DiscardHandler)
	if o.Latency == (standin.Latency{}) {
		o.Latency = standin.FastLatency()
		o.Latency.LoadRemote = 500 * time.Millisecond
	}
	s, err := standin.New(o)
	if err != nil {
		c.t.Fatal(err)
	}
	c.upstreams = append(c.upstreams, s)
	return s
}

// eventually polls check until it returns nil, and fails the test after waitTimeout. The
// condition is named in the failure.
func (c *cluster) eventually(condition string, check func() error) {
	c.t.Helper()
	var err error
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if err = check(); err == nil {
			return
		}
	}
	c.t.Fatalf("timed out waiting for %s: %v", condition, err)
}

// runTool runs the operators' tool and returns its exit code and output.
func (c *cluster) runTool(args ...string) (int, string) {
	c.t.Helper()
	var servers []string
	for _, n := range c.control {
		servers = append(servers, n.operatorAddress)
	}
	argv := append([]string{"--server", strings.Join(servers, ","), "--token-file", c.path("token"), "--timeout", "30s"}, args...)
	cmd := exec.Command(filepath.Join(binDir, "gentiankeel"), argv...)
	out, err := cmd.CombinedOutput()
	if err != nil && cmd.ProcessState == nil {
		c.t.Fatal(err)
	}
	return cmd.ProcessState.ExitCode(), string(out)
}

// apply applies a version of specTemplate with the operators' tool.
func (c *cluster) apply(version, replicas int) {
	c.t.Helper()
	path := c.writeFile(fmt.Sprintf("spec-%d.toml", version), fmt.Sprintf(specTemplate, version, replicas))
	if code, out := c.runTool("apply", path); code != 0 {
		c.t.Fatalf("apply %d: exit %d: %s", version, code, out)
	}
}

// statusOutput holds the fields of the tool's JSON status that tests read.
type statusOutput struct {
	AnsweredBy string
	Members    []struct {
		ID     string
		Leader bool
	}
	Nodes []struct {
		Report struct {
			Node        string
			SpecVersion string
		}
		AgeMs string
	}
	Leases []struct{ Name, Holder, Fence string }
}

func (c *cluster) readStatus() (*statusOutput, error) {
	code, out := c.runTool("-o", "json", "status")
	if code != 0 {
		return nil, fmt.Errorf("status: exit %d: %s", code, out)
	}
	var st statusOutput
	return &st, json.Unmarshal([]byte(out), &st)
}

// leader waits for a leader and returns its node.
func (c *cluster) leader() *node {
	c.t.Helper()
	var found *node
	c.eventually("a leader", func() error {
		st, err := c.readStatus()
		if err != nil {
			return err
		}
		for _, n := range c.control {
			if n.id == st.AnsweredBy {
				found = n
				return nil
			}
		}
		return fmt.Errorf("answered by %q", st.AnsweredBy)
	})
	return found
}

// schedulerNode waits for a holder of the cell's scheduler lease and returns its node.
func (c *cluster) schedulerNode() *node {
	c.t.Helper()
	var found *node
	c.eventually("a scheduler", func() error {
		st, err := c.readStatus()
		if err != nil {
			return err
		}
		for _, l := range st.Leases {
			for _, n := range c.control {
				if l.Name == "scheduler/tay" && strings.HasPrefix(l.Holder, n.id+"/") {
					found = n
					return nil
				}
			}
		}
		return fmt.Errorf("leases: %v", st.Leases)
	})
	return found
}

// waitEnforced waits until every running entry enforces the version of the applied file.
func (c *cluster) waitEnforced(version int) {
	c.t.Helper()
	c.eventually("the applied file on every entry", func() error {
		st, err := c.readStatus()
		if err != nil {
			return err
		}
		enforced := map[string]string{}
		for _, n := range st.Nodes {
			enforced[n.Report.Node] = n.Report.SpecVersion
		}
		for _, e := range c.entries {
			if e.cmd != nil && enforced[e.id] != fmt.Sprint(version) {
				return fmt.Errorf("%s enforces %q", e.id, enforced[e.id])
			}
		}
		return nil
	})
}

type response struct {
	status int
	header http.Header
	body   string
}

// post sends a request to an entry and reads the whole answer.
func (c *cluster) post(entry *node, path, body string, header map[string]string) (*response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry.callerAddress+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var buf bytes.Buffer
	if _, err := io.Copy(&buf, resp.Body); err != nil {
		return nil, err
	}
	return &response{resp.StatusCode, resp.Header, buf.String()}, nil
}

func completion(model string, tokens int) string {
	return fmt.Sprintf(`{"model":%q,"prompt":"a line","max_tokens":%d}`, model, tokens)
}

// waitServed waits until a completion of the model succeeds at the entry.
func (c *cluster) waitServed(entry *node, model string) {
	c.t.Helper()
	c.eventually("a completion by "+model, func() error {
		resp, err := c.post(entry, "/v1/completions", completion(model, 5), nil)
		if err != nil {
			return err
		}
		if resp.status != http.StatusOK {
			return fmt.Errorf("status %d: %s", resp.status, resp.body)
		}
		return nil
	})
}

// assertNoProtocolViolations checks that no upstream counted an order that overcommits
// memory, loads a model twice or unloads one under a request.
func (c *cluster) assertNoProtocolViolations() {
	c.t.Helper()
	for _, s := range c.upstreams {
		st := s.Stats()
		if st.MemoryViolations > 0 || st.DoubleLoads > 0 || st.BusyUnloads > 0 {
			c.t.Errorf("upstream %s counted protocol violations: %+v", s.ID(), st)
		}
	}
}
