package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"review/stand2/platform"
)

// answer is what a client got for one request.
type answer struct {
	ID     string
	Status int // 0: none
	Header http.Header
	Body   []byte
	Err    error // the body did not end as it must, or there was no answer
}

// client sends requests to one entry.
type client struct {
	http http.Client
	addr string
}

func newClient(addr string) *client { return &client{addr: addr} }

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send sends one request with a new id and waits for the whole answer.
func (c *client) send(ctx context.Context, method, path, body string, header map[string]string, deadline time.Duration) answer {
	a := answer{ID: newID()}
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.addr+path, strings.NewReader(body))
	if err != nil {
		a.Err = err
		return a
	}
	req.Host = hostName
	req.Header.Set(platform.HeaderRequestID, a.ID)
	req.Header.Set(platform.HeaderDeadline, fmt.Sprint(deadline.Milliseconds()))
	for k, v := range header {
		req.Header.Set(k, v)
	}
	res, err := c.http.Do(req)
	if err != nil {
		a.Err = err
		return a
	}
	defer res.Body.Close()
	a.Status, a.Header = res.StatusCode, res.Header
	a.Body, a.Err = io.ReadAll(res.Body)
	return a
}

// streamAdapters sends streaming requests for adapters in random order to all entries until ctx ends.
func streamAdapters(ctx context.Context, d *deployment, perSecond int, wg *sync.WaitGroup) {
	var clients []*client
	for _, v := range d.all(false) {
		clients = append(clients, newClient(fmt.Sprintf("%s:%d", v.ip, d.ports.front)))
	}
	tick := time.NewTicker(time.Second / time.Duration(perSecond))
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		c := clients[n%len(clients)]
		adapter := fmt.Sprintf("a%d", 1+rand.IntN(adapterCount))
		wg.Go(func() {
			a := c.send(ctx, http.MethodPost, streamPath, "a prompt", map[string]string{
				platform.HeaderModel: modelName + "/" + adapter, platform.HeaderTokens: "100,20", platform.HeaderPrompt: "5c1e07a2:60," + newID()[:8] + ":40"}, 8*time.Second)
			d.rec.add("request %s for %s/%s: status %d, error %v", a.ID, modelName, adapter, a.Status, a.Err)
		})
	}
}
