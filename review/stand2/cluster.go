package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"review/stand2/platform"
)

// daemonPath is where the build of the deploy file puts the daemon, from the repository's root.
const daemonPath = "target/gentiankeeld"

// ports are the ports of a deployment, which are the same on all VMs.
type ports struct{ control, front, ready, node, metrics int }

// deployment is a small deployment of the project's own processes, each VM at a loopback address of its own.
type deployment struct {
	dir   string
	net   int // second byte of the loopback addresses
	ports ports
	rec   *record
	seeds []string

	mu  sync.Mutex
	vms []*vm
}

// vm is one VM with one process.
type vm struct {
	d        *deployment
	name, ip string
	control  bool
	first    bool // the next start is the first one of the whole deployment

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

const controlVMs = 5

// newDeployment prepares a deployment of five control VMs and the given number of entries.
func newDeployment(rec *record, entries int) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		return nil, err
	}
	d := &deployment{dir: dir, rec: rec, net: 40 + os.Getpid()%150}
	if d.ports, err = d.freePorts(); err != nil {
		return nil, err
	}
	for i := range controlVMs {
		d.add(fmt.Sprintf("core-%d", i+1), i+1, true).first = true
	}
	for i := range 3 {
		d.seeds = append(d.seeds, fmt.Sprintf("%s:%d", d.vms[i].ip, d.ports.control))
	}
	for i := range entries {
		d.add(fmt.Sprintf("front-%d", i+1), 100+i, false)
	}
	return d, nil
}

func (d *deployment) address(host int) string { return fmt.Sprintf("127.%d.0.%d", d.net, host) }

// freePorts returns five ports that are free on the deployment's first address.
func (d *deployment) freePorts() (ports, error) {
	var list []int
	for range 5 {
		ln, err := net.Listen("tcp", d.address(1)+":0")
		if err != nil {
			return ports{}, err
		}
		defer ln.Close()
		list = append(list, ln.Addr().(*net.TCPAddr).Port)
	}
	return ports{list[0], list[1], list[2], list[3], list[4]}, nil
}

func (d *deployment) add(name string, host int, control bool) *vm {
	d.mu.Lock()
	defer d.mu.Unlock()
	v := &vm{d: d, name: name, ip: d.address(host), control: control}
	d.vms = append(d.vms, v)
	return v
}

// all returns the VMs of one kind.
func (d *deployment) all(control bool) []*vm {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []*vm
	for _, v := range d.vms {
		if v.control == control {
			out = append(out, v)
		}
	}
	return out
}

// controlAddresses returns the addresses of the operator's list.
func (d *deployment) controlAddresses() []string {
	var out []string
	for _, v := range d.all(true) {
		out = append(out, fmt.Sprintf("%s:%d", v.ip, d.ports.control))
	}
	return out
}

func (d *deployment) startAll() error {
	for _, v := range append(d.all(true), d.all(false)...) {
		if err := v.start(); err != nil {
			return err
		}
	}
	return nil
}

// close ends all processes and removes the folder.
func (d *deployment) close() {
	d.mu.Lock()
	vms := d.vms
	d.mu.Unlock()
	for _, v := range vms {
		v.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	}
}

// fields returns the values of DEPLOY.md's settings for a VM.
func (v *vm) fields() map[string]any {
	d := v.d
	listen := map[string]any{}
	class := "front"
	if v.control {
		class = "core"
		listen["control"] = fmt.Sprintf("%s:%d", v.ip, d.ports.control)
	} else {
		listen["front"] = fmt.Sprintf("%s:%d", v.ip, d.ports.front)
		listen["ready"] = fmt.Sprintf("%s:%d", v.ip, d.ports.ready)
	}
	return map[string]any{
		"node_name": v.name, "machine_class": class, "ip": v.ip, "zone": "zone-a", "region": "region-a",
		"internal_ports": []any{d.ports.node, d.ports.metrics}, "seeds": d.seeds, "bootstrap": v.first && v.control,
		"heartbeat_ms": heartbeatMs, "data_dir": filepath.Join(d.dir, v.name, "data"), "listen": listen,
		"limits":          map[string]any{"memory_mb": 284, "max_fds": 4100},
		"fault_tolerance": map[string]any{"machines": 2, "zones": 0, "regions": 0},
		"bounds": map[string]any{"budget_slack": 56, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8,
			"config_apply_ms": 2000, "recover_s": 12, "require_fence": false, "lease_ms": 3000, "thaw_ms": 300},
	}
}

var section = regexp.MustCompile(`(?s)\{\{#([a-z_.0-9]+)\}\}(.*?)\{\{/([a-z_.0-9]+)\}\}`)
var placeholder = regexp.MustCompile(`\{\{([a-z_.0-9]+)(\|json)?\}\}`)

func lookup(fields map[string]any, path string) any {
	var cur any = fields
	for _, key := range strings.Split(path, ".") {
		switch c := cur.(type) {
		case map[string]any:
			cur = c[key]
		case []any:
			cur = c[key[0]-'0']
		default:
			return nil
		}
	}
	return cur
}

// render fills a template of the deploy file as DEPLOY.md says.
func render(text string, fields map[string]any) string {
	text = section.ReplaceAllStringFunc(text, func(m string) string {
		sub := section.FindStringSubmatch(m)
		if v := lookup(fields, sub[1]); v == nil || v == false {
			return ""
		}
		return sub[2]
	})
	return placeholder.ReplaceAllStringFunc(text, func(m string) string {
		sub := placeholder.FindStringSubmatch(m)
		v := lookup(fields, sub[1])
		if sub[2] != "" {
			b, _ := json.Marshal(v)
			return string(b)
		}
		if v == nil {
			return ""
		}
		return fmt.Sprint(v)
	})
}

// start writes the settings file and starts the process as the deploy file says.
func (v *vm) start() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	name := "deploy/entry.toml.tmpl"
	if v.control {
		name = "deploy/control.toml.tmpl"
	}
	tmpl, err := os.ReadFile(name)
	if err != nil {
		return err
	}
	folder := filepath.Join(v.d.dir, v.name)
	if err := os.MkdirAll(filepath.Join(folder, "data"), 0o700); err != nil {
		return err
	}
	config := filepath.Join(folder, "node.toml")
	if err := os.WriteFile(config, []byte(render(string(tmpl), v.fields())), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(daemonPath)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GENTIANKEEL_CONFIG=" + config}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	v.first = false
	exited := make(chan struct{})
	v.cmd, v.exited = cmd, exited
	v.d.rec.add("process %s started, pid %d", v.name, cmd.Process.Pid)
	go func() {
		_ = cmd.Wait()
		log.Close()
		close(exited)
	}()
	return nil
}

func (v *vm) signal(sig syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cmd != nil {
		_ = v.cmd.Process.Signal(sig)
	}
}

// kill kills the process and waits for its end.
func (v *vm) kill() {
	v.signal(syscall.SIGKILL)
	v.mu.Lock()
	exited := v.exited
	v.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// isLeader reports whether the process says in its metrics that it acts as the coordinator.
func (v *vm) isLeader() bool {
	body, err := v.metrics()
	return err == nil && bytes.Contains(body, []byte("\ngentiankeel_coordinator_acting 1\n"))
}

func (v *vm) metrics() ([]byte, error) {
	c := http.Client{Timeout: 300 * time.Millisecond}
	res, err := c.Get(fmt.Sprintf("http://%s:%d/metrics", v.ip, v.d.ports.metrics))
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	return io.ReadAll(res.Body)
}

// awaitLeader returns the acting control VM other than not.
func (d *deployment) awaitLeader(timeout time.Duration, not *vm) (*vm, error) {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for _, v := range d.all(true) {
			if v != not && v.isLeader() {
				return v, nil
			}
		}
	}
	return nil, errors.New("no control VM acts as the coordinator")
}

// putConfig sends a desired state until it is acknowledged.
func (d *deployment) putConfig(doc []byte, timeout time.Duration) error {
	c := http.Client{Timeout: time.Second}
	last := "nothing"
	for end, n := time.Now().Add(timeout), 0; time.Now().Before(end); n++ {
		list := d.controlAddresses()
		res, err := c.Post("http://"+list[n%len(list)]+platform.PathPutConfig, "application/json", bytes.NewReader(doc))
		if err == nil {
			_, _ = io.Copy(io.Discard, res.Body)
			res.Body.Close()
			if res.StatusCode == http.StatusOK {
				return nil
			}
			last = res.Status
		} else {
			last = err.Error()
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("the desired state was not acknowledged in %s, last: %s", timeout, last)
}

// getConfig reads the desired state at any control VM until one answers.
func (d *deployment) getConfig(timeout time.Duration) ([]byte, error) {
	c := http.Client{Timeout: time.Second}
	for end, n := time.Now().Add(timeout), 0; time.Now().Before(end); n++ {
		list := d.controlAddresses()
		res, err := c.Get("http://" + list[n%len(list)] + platform.PathGetConfig)
		if err == nil {
			body, rerr := io.ReadAll(res.Body)
			res.Body.Close()
			if res.StatusCode == http.StatusOK && rerr == nil {
				return body, nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return nil, fmt.Errorf("no desired state was read in %s", timeout)
}

// awaitReady waits until all entries say that they are ready.
func (d *deployment) awaitReady(timeout time.Duration) error {
	c := http.Client{Timeout: time.Second}
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, v := range d.all(false) {
			res, err := c.Get(fmt.Sprintf("http://%s:%d/-/ready", v.ip, d.ports.ready))
			if err != nil {
				continue
			}
			res.Body.Close()
			if res.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(d.all(false)) {
			return nil
		}
	}
	return errors.New("the entries do not get ready")
}
