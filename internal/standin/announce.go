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

// fullEvery is the number of announcements after which the state is announced in full
// again, changed or not.
const fullEvery = 60

// announcer tells the entries of the upstream: at its start, on a change and as a
// heartbeat. It goes on to the next entry when one fails.
type announcer struct {
	s        *Server
	client   *http.Client
	entry    int
	sequence uint64
	full     uint64 // sequence number of the last full announcement; 0: it was lost
	told     string // the state in it, without the load
	kick     chan struct{}
}

func newAnnouncer(s *Server) *announcer {
	return &announcer{
		s:      s,
		client: &http.Client{Timeout: announceTimeout},
		kick:   make(chan struct{}, 1),
	}
}

// changed asks for an announcement soon; it never blocks.
func (a *announcer) changed() {
	select {
	case a.kick <- struct{}{}:
	default:
	}
}

func (a *announcer) run(ctx context.Context) {
	defer a.client.CloseIdleConnections()
	for {
		pause := a.s.o.Latency.Heartbeat
		if !a.s.faults.isSilent() {
			pause = max(pause, a.announce(ctx))
		}
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-a.kick:
		}
		timer.Stop()
		if ctx.Err() != nil {
			return
		}
	}
}

// announce sends the next announcement and returns how long the scheduler wants to wait
// for the one after it.
func (a *announcer) announce(ctx context.Context) time.Duration {
	body, err := a.next()
	if err != nil {
		a.s.o.Log.Error("The announcement can't be encoded.", "err", err)
		return 0
	}
	for range a.s.o.Entries {
		reply, err := a.post(ctx, a.s.o.Entries[a.entry%len(a.s.o.Entries)], body)
		if err == nil {
			return a.answered(reply)
		}
		if ctx.Err() != nil {
			return 0
		}
		a.s.o.Log.Debug("An entry did not take the announcement.", "err", err)
		a.entry++
	}
	a.full = 0
	return 0
}

func (a *announcer) answered(reply upstream.AnnounceReply) time.Duration {
	if !reply.Known {
		a.full = 0
	}
	return time.Duration(reply.NextAfterMs) * time.Millisecond
}

// next encodes the next announcement: a full one when the state has changed or the last
// full one did not reach an entry, and now and then; else a brief one.
func (a *announcer) next() ([]byte, error) {
	a.sequence++
	ann := a.s.announcement(a.sequence)
	state := ann.State
	state.Running, state.Queued = 0, 0
	data, err := json.Marshal(state)
	if err != nil {
		return nil, err
	}
	if a.full == 0 || string(data) != a.told || a.sequence-a.full >= fullEvery {
		a.full, a.told = a.sequence, string(data)
		return json.Marshal(ann)
	}
	ann.LoadOnly, ann.FullSequence = true, a.full
	ann.State = upstream.State{Incarnation: ann.State.Incarnation, Running: ann.State.Running, Queued: ann.State.Queued}
	return json.Marshal(ann)
}

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
	return upstream.Announcement{
		ID:            s.o.ID,
		Incarnation:   s.o.Incarnation,
		Sequence:      sequence,
		Address:       s.Addr(),
		Zone:          s.o.Zone,
		Cell:          s.o.Cell,
		Service:       s.o.Service,
		ChecksFencing: s.o.ChecksFencing,
		MemoryMiB:     s.o.MemoryMiB,
		Slots:         uint32(s.o.Slots),
		Leaving:       s.leaving.Load(),
		State:         s.State(),
		CacheEvents:   s.cache.due(time.Now()),
	}
}
