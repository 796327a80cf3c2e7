package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"review/stand2/platform"
)

const heartbeatMs = 1200

// server stands in for a runner of an engine, or a server of a plain service, as PROTOCOL.md describes them.
type server struct {
	ID       string
	Service  string
	Slots    int
	Engine   bool // it holds models and takes orders
	Controls []string
	// Answer, if set, answers a request of a plain service on the raw connection.
	Answer func(conn net.Conn, id string, body []byte)
	// OnOrder and OnRun are told of accepted orders and of requests that run.
	OnOrder func(o platform.Order, status int)
	OnRun   func(id string)

	ln       net.Listener
	born     int64
	beats    atomic.Uint64
	endpoint atomic.Value // string
	stop     chan struct{}

	mu       sync.Mutex
	models   map[string]map[string]bool // adapters by model
	sequence uint64
	running  int
	draining bool
}

// startServer listens at an address and sends heartbeats.
func startServer(s *server, addr string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	s.ln, s.born, s.stop = ln, time.Now().UnixMilli(), make(chan struct{})
	if s.models == nil {
		s.models = map[string]map[string]bool{}
	}
	go func() { _ = (&http.Server{Handler: http.HandlerFunc(s.serve)}).Serve(ln) }()
	go s.beat()
	return nil
}

func (s *server) close() {
	close(s.stop)
	s.ln.Close()
}

type modelDoc struct {
	Name     string   `json:"name"`
	Version  int      `json:"version"`
	Adapters []string `json:"adapters"`
}

func (s *server) modelDocs() []modelDoc {
	out := []modelDoc{}
	for name, adapters := range s.models {
		d := modelDoc{Name: name, Version: 1, Adapters: []string{}}
		for a := range adapters {
			d.Adapters = append(d.Adapters, a)
		}
		out = append(out, d)
	}
	return out
}

// beat sends heartbeats: to the endpoint that was named last, or else to one control VM after the other.
func (s *server) beat() {
	c := http.Client{Timeout: time.Second}
	next := 0
	for {
		s.mu.Lock()
		state := "ready"
		if s.draining {
			state = "draining"
		}
		doc := map[string]any{"service": s.Service, "address": s.ln.Addr().String(), "zone": "zone-a", "version": "v1", "slots": s.Slots,
			"state": state, "cold_remaining_ms": 0, "sequence": s.beats.Add(1), "born": s.born}
		if s.Engine {
			doc["stage"], doc["models"] = "both", s.modelDocs()
			doc["at_hand"] = map[string]any{"in_memory": []string{}, "on_disk": []string{}}
		}
		s.mu.Unlock()
		body, _ := json.Marshal(doc)
		for range len(s.Controls) + 1 {
			addr, _ := s.endpoint.Load().(string)
			if addr == "" {
				addr = s.Controls[next%len(s.Controls)]
				next++
			}
			res, err := c.Post("http://"+addr+platform.PathHeartbeat+s.ID, "application/json", bytes.NewReader(body))
			if err != nil || res.StatusCode/100 != 2 {
				if err == nil {
					res.Body.Close()
				}
				s.endpoint.Store("")
				continue
			}
			var ack platform.HeartbeatAck
			_ = json.NewDecoder(res.Body).Decode(&ack)
			res.Body.Close()
			s.endpoint.Store(ack.Endpoint)
			break
		}
		select {
		case <-s.stop:
			return
		case <-time.After(heartbeatMs * time.Millisecond):
		}
	}
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(platform.HeaderRequestID)
	if id != "" {
		w.Header().Set(platform.HeaderRequestID, id)
	}
	if want := r.Header.Get(platform.HeaderExpectInstance); want != "" && want != s.ID {
		w.Header().Set(platform.HeaderNotExecuted, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.URL.Path == "/health":
		w.Header().Set(platform.HeaderInstanceID, s.ID)
	case r.URL.Path == platform.PathReport:
		s.report(w)
	case r.URL.Path == platform.PathOrder && s.Engine:
		s.order(w, r)
	case strings.HasPrefix(r.URL.Path, "/-/"):
		w.WriteHeader(http.StatusNotFound)
	default:
		s.run(w, r, id)
	}
}

func (s *server) report(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"stage": "both", "models": s.modelDocs(), "busy": false, "sequence": s.sequence, "waiting": 0,
		"running": s.running, "kv_used": 100 * s.running, "kv_total": 120000, "handles": 0, "born": s.born, "coming": []string{},
		"at_hand": map[string]any{"in_memory": []string{}, "on_disk": []string{}}})
}

const adapterSlots = 8

// order carries out an order. Fences are not checked, as in a deployment whose bounds have require_fence = false.
func (s *server) order(w http.ResponseWriter, r *http.Request) {
	var o platform.Order
	status := http.StatusAccepted
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Holder == "" || o.FenceToken == nil {
		status = http.StatusBadRequest
	} else {
		status = s.apply(o)
	}
	if s.OnOrder != nil {
		s.OnOrder(o, status)
	}
	w.WriteHeader(status)
}

func (s *server) apply(o platform.Order) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.models[o.Model]
	switch {
	case o.Expected != nil && *o.Expected != s.sequence:
		return http.StatusConflict
	case o.Operation == "load" && o.Adapter == "" && held != nil, o.Operation == "load" && held[o.Adapter], o.Operation == "unload" && held == nil:
		return http.StatusOK
	}
	s.sequence++
	switch {
	case o.Operation == "load" && o.Adapter == "":
		s.models[o.Model] = map[string]bool{}
	case o.Operation == "load" && held != nil:
		held[o.Adapter] = true
	case o.Operation == "unload" && o.Adapter != "":
		delete(held, o.Adapter)
		return http.StatusOK
	case o.Operation == "unload":
		delete(s.models, o.Model)
	}
	return http.StatusAccepted
}

const stamp = "3e1b.07.5a2.600.0.c9f2a4d1"

func (s *server) run(w http.ResponseWriter, r *http.Request, id string) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if id == "" {
		w.Header().Set(platform.HeaderNotExecuted, "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if s.Engine {
		model, adapter, _ := strings.Cut(r.Header.Get(platform.HeaderModel), "/")
		s.mu.Lock()
		held := s.models[model]
		missing := held == nil || adapter != "" && !held[adapter]
		s.mu.Unlock()
		if missing {
			w.Header().Set(platform.HeaderNotExecuted, "1")
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
	}
	if s.OnRun != nil {
		s.OnRun(id)
	}
	if s.Answer != nil {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		s.Answer(conn, id, body)
		return
	}
	s.mu.Lock()
	s.running++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.running--
		s.mu.Unlock()
	}()
	w.Header().Set(platform.HeaderServerStamp, stamp)
	if !s.Engine {
		text := "answer to " + id + "\n"
		w.Header().Set("Content-Length", strconv.Itoa(len(text)))
		fmt.Fprint(w, text)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(platform.HeaderVersions, "1")
	for n := 1; n <= 5; n++ {
		fmt.Fprintf(w, "id: %d\ndata: event %d\n\n", n, n)
		w.(http.Flusher).Flush()
		time.Sleep(20 * time.Millisecond)
	}
}
