package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"

	"review/stand2/platform"
)

// wholeAnswer returns the body of a plain server's answer: lines with a number each, and a last line.
func wholeAnswer(id string) string {
	var b strings.Builder
	for n := range 20 {
		fmt.Fprintf(&b, "%s line %d\n", id, n)
	}
	return b.String() + "end of " + id + "\n"
}

// servePlain is a plain server that answers without a length, at the pace of one line each 20 ms. It runs until it is killed.
func servePlain(args []string) error {
	if len(args) < 3 {
		return errors.New("usage: stand2 serve ID ADDRESS CONTROL...")
	}
	s := &server{ID: args[0], Service: plainName, Slots: 6, Controls: args[2:]}
	s.Answer = func(conn net.Conn, id string, _ []byte) {
		defer conn.Close()
		fmt.Printf("runs %s\n", id)
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n%s: %s\r\n%s: %s\r\nConnection: close\r\n\r\n",
			platform.HeaderRequestID, id, platform.HeaderServerStamp, stamp)
		for _, line := range strings.SplitAfter(wholeAnswer(id), "\n") {
			fmt.Fprint(conn, line)
			time.Sleep(20 * time.Millisecond)
		}
		fmt.Printf("answered %s\n", id)
	}
	if err := startServer(s, args[1]); err != nil {
		return err
	}
	select {}
}

// plainProcess is a plain server in a process of its own, started again under another id after it was killed.
type plainProcess struct {
	d      *deployment
	addr   string
	name   string
	starts int

	mu  sync.Mutex
	cmd *exec.Cmd
}

func (p *plainProcess) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.starts++
	self, err := os.Executable()
	if err != nil {
		return err
	}
	p.cmd = exec.Command(self, append([]string{"serve", fmt.Sprintf("%s-%d", p.name, p.starts), p.addr}, p.d.controlAddresses()...)...)
	p.cmd.Stdout = recordWriter{p.d.rec, p.name}
	p.cmd.Stderr = os.Stderr
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return p.cmd.Start()
}

func (p *plainProcess) kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Kill()
		_ = p.cmd.Wait()
		p.cmd = nil
	}
}

type recordWriter struct {
	rec  *record
	name string
}

// Write implements io.Writer.
func (w recordWriter) Write(p []byte) (int, error) {
	w.rec.add("server %s: %s", w.name, strings.TrimSpace(string(p)))
	return len(p), nil
}

// desks is the number of plain servers. One of them is an eighth, less than the share of servers that crash.
const desks = 8

// runPart kills one of the plain servers, which answer without a length, while it answers, and looks whether a client gets a
// part of an answer as a success.
func runPart(rec *record, trouble bool) (broken []string, err error) {
	d, err := newDeployment(rec, 1)
	if err != nil {
		return nil, err
	}
	defer d.close()
	if err := d.startAll(); err != nil {
		return nil, err
	}
	var servers []*plainProcess
	for i := range desks {
		p := &plainProcess{d: d, name: fmt.Sprintf("i-desk-%d", i+1), addr: fmt.Sprintf("%s:%d", d.address(220+i), d.ports.front)}
		if err := p.start(); err != nil {
			return nil, err
		}
		defer p.kill()
		servers = append(servers, p)
	}
	if err := d.putConfig(desiredState(7), 15*time.Second); err != nil {
		return nil, err
	}
	if err := d.awaitReady(10 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	front := d.all(false)[0]
	c := newClient(fmt.Sprintf("%s:%d", front.ip, d.ports.front))
	whole := 0
	for round := range 5 {
		var wg sync.WaitGroup
		var mu sync.Mutex
		for range 3 * desks {
			time.Sleep(10 * time.Millisecond)
			wg.Go(func() {
				a := c.send(context.Background(), http.MethodPost, unsafePath, "a booking", nil, 4*time.Second)
				rec.add("request %s: status %d, stamp %q, %d bytes, error %v", a.ID, a.Status, a.Header.Get(platform.HeaderServerStamp), len(a.Body), a.Err)
				mu.Lock()
				defer mu.Unlock()
				switch isWhole := string(a.Body) == wholeAnswer(a.ID); {
				case a.Status == http.StatusOK && a.Err == nil && isWhole:
					whole++
				case a.Status == http.StatusOK && a.Err == nil:
					broken = append(broken, fmt.Sprintf("request %s was answered 200 as complete with %d of %d bytes", a.ID, len(a.Body), len(wholeAnswer(a.ID))))
				}
			})
		}
		p := servers[round%len(servers)]
		if trouble {
			time.Sleep(150 * time.Millisecond)
			rec.add("server %s is killed", p.name)
			p.kill()
		}
		wg.Wait()
		if trouble {
			time.Sleep(2 * time.Second)
			if err := p.start(); err != nil {
				return nil, err
			}
			time.Sleep(3 * time.Second)
		}
	}
	if whole == 0 {
		return broken, errors.New("no request was served")
	}
	return broken, nil
}
