package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"gentiankeelreview/platform"
)

// node is one process of the system, started with the command of the deploy file.
type node struct {
	name     string
	role     string
	zone     string
	ip       string
	dir      string
	starts   int
	command  []string
	template string
	cmd      *exec.Cmd
	exited   chan struct{}
}

// cluster is a small deployment on loopback addresses.
type cluster struct {
	rec      *record
	dir      string
	net      int // second byte of the addresses
	internal int // first internal port
	control  int // port of control
	front    int
	ready    int
	seeds    []string
	controls []*node
	entries  []*node
}

var errSetup = errors.New("the case could not run")

// record is the file record.txt of a case.
type record struct {
	mu    sync.Mutex
	f     *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{f: f, start: time.Now()}, nil
}

// note writes one line with the time since the start.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
	_, _ = r.f.WriteString(line)
	fmt.Print(line)
}

var (
	keyPattern     = regexp.MustCompile(`(?m)^(\w+)\s*=\s*(.+)$`)
	sectionPattern = regexp.MustCompile(`(?s)\{\{#([\w.]+)\}\}(.*?)\{\{/[\w.]+\}\}`)
	valuePattern   = regexp.MustCompile(`\{\{([\w.]+)(\|json)?\}\}`)
)

// deployRole reads the command and the template of the role that serves something.
func deployRole(serves string) (command []string, template string, err error) {
	text, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, "", err
	}
	for _, section := range strings.Split(string(text), "[roles.")[1:] {
		values := map[string]string{}
		for _, kv := range keyPattern.FindAllStringSubmatch(section, -1) {
			values[kv[1]] = strings.Trim(kv[2], `"[] `)
		}
		if values["serves"] == serves {
			body, err := os.ReadFile(values["template"])
			return strings.Fields(values["run"]), string(body), err
		}
	}
	return nil, "", fmt.Errorf("no role serves %s", serves)
}

// newCluster prepares a deployment with the given numbers of control VMs and entries.
func newCluster(rec *record, controls, entries int) (*cluster, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	c := &cluster{rec: rec, dir: dir}
	if err := c.choosePorts(controls + entries); err != nil {
		return nil, err
	}
	for i := range controls {
		c.controls = append(c.controls, &node{name: fmt.Sprintf("core-%d", i+1), role: "control", ip: c.ip(1, i+1)})
	}
	for i := range entries {
		c.entries = append(c.entries, &node{name: fmt.Sprintf("front-%d", i+1), role: "front", ip: c.ip(2, i+1)})
	}
	for i, n := range append(append([]*node{}, c.controls...), c.entries...) {
		n.zone = "z" + strconv.Itoa(i%3+1)
		n.dir = filepath.Join(dir, n.name)
		n.command, n.template, err = deployRole(n.role)
		if err != nil {
			return nil, err
		}
		if err := os.MkdirAll(filepath.Join(n.dir, "data"), 0o700); err != nil {
			return nil, err
		}
	}
	for _, n := range c.controls[:min(3, len(c.controls))] {
		c.seeds = append(c.seeds, net.JoinHostPort(n.ip, strconv.Itoa(c.control)))
	}
	return c, nil
}

func (c *cluster) ip(group, i int) string { return fmt.Sprintf("127.%d.%d.%d", c.net, group, i) }

// choosePorts picks a block of loopback addresses and ports that are free on all of them.
func (c *cluster) choosePorts(nodes int) error {
	for range 50 {
		c.net = 20 + rand.IntN(200)
		base := 20000 + rand.IntN(10000)
		c.internal, c.control, c.front, c.ready = base, base+20, base+21, base+22
		free := true
		for _, p := range []int{base, base + 1, c.control, c.front, c.ready} {
			for g := 1; g <= 2; g++ {
				for i := range nodes {
					ln, err := net.Listen("tcp", net.JoinHostPort(c.ip(g, i+1), strconv.Itoa(p)))
					if err != nil {
						free = false
						continue
					}
					_ = ln.Close()
				}
			}
		}
		if free {
			return nil
		}
	}
	return errSetup
}

// settings fills the template of a node's role with the values of a small deployment.
func (c *cluster) settings(n *node) string {
	seeds, _ := json.Marshal(c.seeds)
	values := map[string]string{
		"node_name": n.name, "zone": n.zone, "ip": n.ip, "data_dir": filepath.Join(n.dir, "data"),
		"internal_ports.0": strconv.Itoa(c.internal), "internal_ports.1": strconv.Itoa(c.internal + 1),
		"limits.memory_mb": map[string]string{"control": "280", "front": "284"}[n.role], "limits.max_fds": "4096", "bootstrap": strconv.FormatBool(n.starts == 0),
		"fault_tolerance.machines": "1", "fault_tolerance.zones": "0", "heartbeat_ms": "1200",
		"listen.control":      net.JoinHostPort(n.ip, strconv.Itoa(c.control)),
		"listen.front":        net.JoinHostPort(n.ip, strconv.Itoa(c.front)),
		"listen.ready":        net.JoinHostPort(n.ip, strconv.Itoa(c.ready)),
		"bounds.budget_slack": "56",
	}
	text := sectionPattern.ReplaceAllString(n.template, "$2")
	return valuePattern.ReplaceAllStringFunc(text, func(s string) string {
		m := valuePattern.FindStringSubmatch(s)
		if m[1] == "seeds" {
			return string(seeds)
		}
		if m[2] != "" {
			q, _ := json.Marshal(values[m[1]])
			return string(q)
		}
		return values[m[1]]
	})
}

func (c *cluster) startNode(n *node) error {
	path := filepath.Join(n.dir, "node.toml")
	if err := os.WriteFile(path, []byte(c.settings(n)), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(n.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	n.starts++
	cmd := exec.Command(n.command[0], n.command[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + n.dir, "LANG=C", "GENTIANKEEL_CONFIG=" + path}
	cmd.Stdout, cmd.Stderr = out, out
	// The process ends with this one, whatever happens.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	n.cmd, n.exited = cmd, make(chan struct{})
	go func(exited chan struct{}) {
		_ = cmd.Wait()
		_ = out.Close()
		close(exited)
	}(n.exited)
	return nil
}

func (c *cluster) start() error {
	for _, n := range append(append([]*node{}, c.controls...), c.entries...) {
		if err := c.startNode(n); err != nil {
			return err
		}
	}
	return nil
}

func (n *node) signal(s syscall.Signal) { _ = n.cmd.Process.Signal(s) }

// running reports whether the process has not ended.
func (n *node) running() bool {
	select {
	case <-n.exited:
		return false
	default:
		return true
	}
}

func (n *node) kill() {
	n.signal(syscall.SIGKILL)
	<-n.exited
}

// logTail returns the lines of a node's log that contain a text, at most the last ten.
func (n *node) logTail(text string) []string {
	raw, _ := os.ReadFile(filepath.Join(n.dir, "log"))
	var out []string
	for _, l := range strings.Split(string(raw), "\n") {
		if strings.Contains(l, text) {
			out = append(out, l)
		}
	}
	return out[max(0, len(out)-10):]
}

// stop ends all processes and removes the files.
func (c *cluster) stop() {
	for _, n := range append(append([]*node{}, c.controls...), c.entries...) {
		if n.cmd != nil && n.running() {
			n.signal(syscall.SIGCONT)
			n.kill()
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.dir)
	} else {
		fmt.Println("kept:", c.dir)
	}
}

func (c *cluster) frontAddr(i int) string {
	return net.JoinHostPort(c.entries[i].ip, strconv.Itoa(c.front))
}

func (c *cluster) controlAddr(i int) string {
	return net.JoinHostPort(c.controls[i].ip, strconv.Itoa(c.control))
}

// put sends a desired state as the operator does, to one node after another, until it is
// acknowledged or refused for good.
func (c *cluster) put(version int, routes, services []map[string]any, limit time.Duration) error {
	body, _ := json.Marshal(map[string]any{"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})
	end := time.Now().Add(limit)
	for i := 0; time.Now().Before(end); i++ {
		status, answer, err := call(http.MethodPost, "http://"+c.controlAddr(i%len(c.controls))+platform.PathPutConfig, body, time.Second)
		if err == nil && status == 200 {
			c.rec.note("operator: version %d acknowledged by %s", version, c.controls[i%len(c.controls)].name)
			return nil
		}
		if err == nil && status >= 400 && status < 500 && status != 408 && status != 429 {
			return fmt.Errorf("version %d refused with %d: %s", version, status, answer)
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("version %d was not acknowledged", version)
}

// call sends one request on a channel of its own.
func call(method, url string, body []byte, timeout time.Duration) (int, []byte, error) {
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	if len(body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	client := http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer res.Body.Close()
	answer, err := io.ReadAll(res.Body)
	return res.StatusCode, answer, err
}

// awaitReady waits until all entries say that they are ready.
func (c *cluster) awaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, n := range c.entries {
		for {
			status, _, err := call(http.MethodGet, "http://"+net.JoinHostPort(n.ip, strconv.Itoa(c.ready))+"/-/ready", nil, time.Second)
			if err == nil && status == 200 {
				break
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", n.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}
