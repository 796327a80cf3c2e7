package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"gentiankeelreview/platform"
)

func init() { cases["pipelined"] = pipelined }

const (
	packetBytes   = 1460
	lossShare     = 0.04                   // largest dose of lossy in the site file, for lossFor
	lossFor       = 5 * time.Second        // the same
	lossTime      = 200 * time.Millisecond // until a lost packet has come again
	batch         = 6
	pipeliners    = 24
	enoughChanged = 5
)

// lossyPath forwards the bytes of a requester to an entry. Each packet is lost with the given
// share: it comes again, with all behind it, after lossTime.
func lossyPath(target string, share float64) (net.Listener, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go func() {
		for {
			client, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer client.Close()
				server, err := net.DialTimeout("tcp", target, time.Second)
				if err != nil {
					return
				}
				defer server.Close()
				go func() {
					_, _ = io.Copy(client, server)
					_ = client.Close()
				}()
				buf := make([]byte, 64<<10)
				for {
					n, err := client.Read(buf)
					if n > 0 && forward(server, buf[:n], share) != nil {
						return
					}
					if err != nil {
						return
					}
				}
			}()
		}
	}()
	return ln, nil
}

// forward writes data to the entry. What comes before a lost packet arrives at once.
func forward(w io.Writer, data []byte, share float64) error {
	done := 0
	for at := 0; at < len(data); at += packetBytes {
		if rand.Float64() < share {
			if _, err := w.Write(data[done:at]); err != nil {
				return err
			}
			done = at
			time.Sleep(lossTime)
		}
	}
	_, err := w.Write(data[done:])
	return err
}

// pipelined: requesters send idempotent PUT requests of a safe route in batches on one channel,
// without waiting for each answer. With the disruption, packets are lost between requesters and
// entries. UNASKED is broken if a runner runs a request with an id that no requester sent, or with
// another target or body.
func pipelined(c *cluster, trouble bool) (bool, error) {
	var runners []*runner
	for i := range 3 {
		r, err := c.startRunner(fmt.Sprintf("i-desk-%d", i+1), "desk", c.ip(3, i+1), nil)
		if err != nil {
			return false, err
		}
		runners = append(runners, r)
	}
	if err := c.begin(deskRoutes(), deskServices); err != nil {
		return false, err
	}
	share := 0.0
	if trouble {
		share = lossShare
	}
	path, err := lossyPath(c.frontAddr(0), share)
	if err != nil {
		return false, err
	}
	defer path.Close()

	var mu sync.Mutex
	sent := map[string]string{} // target and body, by id
	changed := func() (list []run) {
		mu.Lock()
		defer mu.Unlock()
		for _, r := range runners {
			for _, x := range r.all() {
				if sent[x.ID] != x.Method+" "+x.Target+" "+x.Body {
					list = append(list, x)
				}
			}
		}
		return list
	}
	var batches, answers atomic.Int64
	var wg sync.WaitGroup
	end := time.Now().Add(lossFor - lossTime)
	for i := range pipeliners {
		wg.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				if n%10 == 9 && len(changed()) >= enoughChanged {
					return
				}
				batches.Add(1)
				var text strings.Builder
				for j := range batch {
					id := fmt.Sprintf("p%d-%d-%d", i, n, j)
					body := prettyBody(id)
					target := "/lookup/" + id
					mu.Lock()
					sent[id] = "PUT " + target + " " + body
					mu.Unlock()
					text.WriteString(request(http.MethodPut, target, id, body))
				}
				answers.Add(c.sendBatch(path.Addr().String(), fmt.Sprintf("p%d-%d", i, n), text.String()))
			}
		})
	}
	wg.Wait()
	list := changed()
	for _, x := range list {
		want := sent[x.ID]
		c.rec.note("CHANGED: runner %s ran id %q: %s %s, body of %d bytes; sent under that id: %d bytes", x.Runner, x.ID, x.Method, x.Target,
			len(x.Body), len(want)-len(x.Method+" "+x.Target+" "))
		c.rec.note("  body that was run: %q", x.Body)
		c.rec.note("  sent:              %q", want)
	}
	c.rec.note("%d batches of %d requests, %d answers, %d runs of what nobody sent", batches.Load(), batch, answers.Load(), len(list))
	if answers.Load() == 0 {
		return false, errSetup
	}
	return len(list) > 0, nil
}

// prettyBody returns a JSON document in lines.
func prettyBody(id string) string {
	var b strings.Builder
	b.WriteString("{\n  \"id\": \"" + id + "\"")
	for i := range 40 + rand.IntN(40) {
		fmt.Fprintf(&b, ",\n  \"f%d\": %d", i, rand.IntN(1000))
	}
	b.WriteString("\n}")
	return b.String()
}

// sendBatch sends a batch on a new channel and returns the number of answers.
func (c *cluster) sendBatch(addr, name, text string) (answers int64) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return 0
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(4 * time.Second))
	if _, err := io.WriteString(conn, text); err != nil {
		return 0
	}
	br := bufio.NewReader(conn)
	var got []string
	for range batch {
		res, err := http.ReadResponse(br, nil)
		if err != nil {
			got = append(got, err.Error())
			break
		}
		_, _ = io.Copy(io.Discard, res.Body)
		got = append(got, fmt.Sprintf("%d %s", res.StatusCode, res.Header.Get(platform.HeaderRequestID)))
		answers++
	}
	c.rec.note("requester sent batch %s (%d bytes), answers: %s", name, len(text), strings.Join(got, ", "))
	return answers
}
