package control

import (
	"context"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"gentiankeel/internal/wire"
)

// Propose implements wire.ControlServer.
func (s *Server) Propose(ctx context.Context, cmd *wire.Command) (*wire.Result, error) {
	if cmd.GetApplyFile() != nil {
		return nil, status.Error(codes.PermissionDenied, "files are applied on the operators' listener")
	}
	res, err := s.propose(ctx, cmd)
	if err != nil {
		return nil, s.toStatus(err)
	}
	return res, nil
}

// KeepAlive implements wire.ControlServer. It answers only after a barrier, so that a
// leader that has been replaced renews nothing.
func (s *Server) KeepAlive(ctx context.Context, req *wire.KeepAliveRequest) (*wire.KeepAliveResponse, error) {
	if err := s.leaderBarrier(ctx); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.keeper.Leading() {
		return nil, status.Error(codes.Unavailable, "the leader has not taken over the leases yet")
	}
	resp := &wire.KeepAliveResponse{SpecIndex: s.state.Spec().GetIndex()}
	for _, l := range req.Leases {
		if !s.keeper.Renew(s.now(), l.Name, l.Fence) {
			resp.Lost = append(resp.Lost, l.Name)
		}
	}
	return resp, nil
}

// Placements implements wire.ControlServer.
func (s *Server) Placements(ctx context.Context, req *wire.PlacementsRequest) (*wire.PlacementsResponse, error) {
	if err := s.replica.ReadBarrier(ctx); err != nil {
		return nil, s.toStatus(err)
	}
	resp := s.state.Placements(req.Cell)
	resp.Entries = s.openEntries()
	return resp, nil
}

func (s *Server) openEntries() []string {
	var out []string
	for _, l := range s.state.Leases() {
		if entry, ok := EntryOfSession(l.Name); ok {
			out = append(out, entry)
		}
	}
	return out
}

// ReportNode implements wire.ControlServer.
func (s *Server) ReportNode(ctx context.Context, rep *wire.NodeReport) (*wire.NodeReportAck, error) {
	if err := s.leaderBarrier(ctx); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nodes[rep.Node] = &nodeEntry{report: rep, seen: time.Now()}
	return &wire.NodeReportAck{Index: s.state.Index(), Drain: s.drains[rep.Node]}, nil
}

// Identity implements wire.ControlServer.
func (s *Server) Identity(context.Context, *wire.IdentityRequest) (*wire.Member, error) {
	return &wire.Member{Id: s.replica.Status().ID, Name: s.nodeID, Address: s.address, Zone: s.zone}, nil
}

// watchHeartbeat is the time between two empty deltas on a quiet watch.
const watchHeartbeat = 3 * time.Second

// Watch implements wire.ControlServer. Entries' sessions stay out of the stream: it
// must not grow with the number of nodes. A replica without a leader ends its watches,
// so that nodes do not go on following a control VM that is cut off.
func (s *Server) Watch(req *wire.WatchRequest, stream grpc.ServerStreamingServer[wire.Delta]) error {
	s.metrics.watchers.Inc()
	defer s.metrics.watchers.Dec()
	after := req.AfterIndex
	heartbeat := time.NewTicker(watchHeartbeat)
	defer heartbeat.Stop()
	for {
		changed := s.machine.wait()
		if d := s.deltaSince(after); d != nil {
			after = d.Index
			if worthSending(d) {
				if err := s.send(stream, d); err != nil {
					return err
				}
			}
		}
		select {
		case <-stream.Context().Done():
			return nil
		case <-changed:
		case <-heartbeat.C:
			if !s.Ready() {
				return status.Error(codes.Unavailable, "this replica knows no leader")
			}
			if err := s.send(stream, &wire.Delta{Index: after}); err != nil {
				return err
			}
		}
	}
}

func (s *Server) deltaSince(after uint64) *wire.Delta {
	d := s.state.DeltaSince(after)
	if d == nil {
		return nil
	}
	var puts []*wire.Lease
	for _, l := range d.PutLeases {
		if _, ok := EntryOfSession(l.Name); !ok {
			puts = append(puts, l)
		}
	}
	var drops []string
	for _, name := range d.DropLeases {
		if _, ok := EntryOfSession(name); !ok {
			drops = append(drops, name)
		}
	}
	d.PutLeases, d.DropLeases = puts, drops
	return d
}

func worthSending(d *wire.Delta) bool {
	return d.Snapshot || d.Spec != nil || len(d.PutLeases) > 0 || len(d.DropLeases) > 0 ||
		len(d.PutSuspects) > 0 || len(d.DropSuspects) > 0
}

func (s *Server) send(stream grpc.ServerStreamingServer[wire.Delta], d *wire.Delta) error {
	if err := stream.Send(d); err != nil {
		return err
	}
	s.metrics.deltas.Inc()
	s.metrics.deltaBytes.Add(float64(proto.Size(d)))
	return nil
}
