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

// announcer tells the entries of the upstream: at its start, on a change and as a
// heartbeat. It goes on to the next entry when one fails.
type announcer struct {
	s        *Server
	client   *http.Client
	entry    int
	sequence uint64
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
	ticker := time.NewTicker(a.s.o.Latency.Heartbeat)
	defer ticker.Stop()
	for {
		if !a.s.faults.isSilent() {
			a.announce(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-a.kick:
		}
	}
}

func (a *announcer) announce(ctx context.Context) {
	a.sequence++
	body, err := json.Marshal(a.s.announcement(a.sequence))
	if err != nil {
		a.s.o.Log.Error("standin: announcement can't be encoded", "err", err)
		return
	}
	for range a.s.o.Entries {
		err := a.post(ctx, a.s.o.Entries[a.entry%len(a.s.o.Entries)], body)
		if err == nil || ctx.Err() != nil {
			return
		}
		a.s.o.Log.Debug("standin: entry did not take the announcement", "err", err)
		a.entry++
	}
}

func (a *announcer) post(ctx context.Context, entry string, body []byte) error {
	url := "http://" + entry + upstream.PathAnnounce
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := a.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	if resp.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("entry %s answered %s", entry, resp.Status)
	}
	return nil
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
