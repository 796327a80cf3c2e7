package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"gentiankeel/internal/upstream"
)

const announceTimeout = 2 * time.Second

// fullAnnounceInterval is the number of announcements after which an unchanged state is
// announced in full again.
const fullAnnounceInterval = 60

// announcer announces the upstream to an entry at its start, on a change and periodically.
// When an entry fails, it tries the next one.
type announcer struct {
	server        *Server
	client        *http.Client
	entryIndex    int
	sequence      uint64
	lastFull      uint64 // sequence number of the last full announcement; 0: the next must be full
	lastFullState string // JSON of the state in it, without the load
	trigger       chan struct{}
}

func newAnnouncer(s *Server) *announcer {
	return &announcer{
		server:  s,
		client:  &http.Client{Timeout: announceTimeout},
		trigger: make(chan struct{}, 1),
	}
}

// notify requests an announcement without waiting for the next heartbeat. It never
// blocks.
func (a *announcer) notify() {
	select {
	case a.trigger <- struct{}{}:
	default:
	}
}

func (a *announcer) run(ctx context.Context) {
	defer a.client.CloseIdleConnections()
	for {
		delay := a.server.opts.Latency.Heartbeat
		if !a.server.faults.areAnnouncementsPaused() {
			delay = max(delay, a.announce(ctx))
		}
		timer := time.NewTimer(delay)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-a.trigger:
		}
		timer.Stop()
		if ctx.Err() != nil {
			return
		}
	}
}

// announce sends the next announcement and returns the delay that the scheduler requests
// before the following one; 0 if no entry accepted it.
func (a *announcer) announce(ctx context.Context) time.Duration {
	body, err := a.encodeNext()
	if err != nil {
		a.server.opts.Log.Error("Encoding an announcement failed.", "err", err)
		return 0
	}
	for range a.server.opts.Entries {
		reply, err := a.post(ctx, a.server.opts.Entries[a.entryIndex%len(a.server.opts.Entries)], body)
		if err == nil {
			return a.handleReply(reply)
		}
		if ctx.Err() != nil {
			return 0
		}
		a.server.opts.Log.Debug("Sending an announcement to an entry failed.", "err", err)
		a.entryIndex++
	}
	a.lastFull = 0
	return 0
}

func (a *announcer) handleReply(reply upstream.AnnounceReply) time.Duration {
	if !reply.Known {
		a.lastFull = 0
	}
	return time.Duration(reply.NextAfterMs) * time.Millisecond
}

// encodeNext encodes the next announcement. It is brief unless the state has changed,
// the last full one did not arrive, or fullAnnounceInterval has passed.
func (a *announcer) encodeNext() ([]byte, error) {
	a.sequence++
	ann := a.server.announcement(a.sequence)
	state := ann.State
	state.Running, state.Queued = 0, 0
	data, err := json.Marshal(state)
	if err != nil {
		return nil, err
	}
	if a.lastFull == 0 || string(data) != a.lastFullState || a.sequence-a.lastFull >= fullAnnounceInterval {
		a.lastFull, a.lastFullState = a.sequence, string(data)
		return json.Marshal(ann)
	}
	ann.LoadOnly, ann.FullSequence = true, a.lastFull
	ann.State = upstream.State{Incarnation: ann.State.Incarnation, Running: ann.State.Running, Queued: ann.State.Queued}
	return json.Marshal(ann)
}

// post sends an encoded announcement to an entry.
func (a *announcer) post(ctx context.Context, entry string, body []byte) (upstream.AnnounceReply, error) {
	var reply upstream.AnnounceReply
	url := "http://" + entry + upstream.PathAnnounce
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return reply, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := a.client.Do(req)
	if err != nil {
		return reply, err
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusMultipleChoices {
		_, _ = io.Copy(io.Discard, resp.Body)
		return reply, fmt.Errorf("entry %s answered %s", entry, resp.Status)
	}
	return reply, json.NewDecoder(resp.Body).Decode(&reply)
}

func (s *Server) announcement(sequence uint64) upstream.Announcement {
	var limit *float64
	if s.opts.MaxPerSecond > 0 {
		limit = &s.opts.MaxPerSecond
	}
	return upstream.Announcement{
		ID:            s.opts.ID,
		Incarnation:   s.opts.Incarnation,
		Sequence:      sequence,
		Address:       s.Addr(),
		Zone:          s.opts.Zone,
		Cell:          s.opts.Cell,
		Service:       s.opts.Service,
		ChecksFencing: s.opts.ChecksFencing,
		MemoryMiB:     s.opts.MemoryMiB,
		Slots:         uint32(s.opts.Slots),
		Leaving:       s.leaving.Load(),
		State:         s.State(),
		MaxPerSecond:  limit,
		CacheEvents:   s.cache.takeDueEvents(time.Now()),
	}
}
