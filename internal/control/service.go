package control

import (
	"context"
	"slices"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"gentiankeel/internal/state"
	"gentiankeel/internal/wire"
)

// Propose implements wire.ControlServer. Commands that apply a file are refused: files
// are accepted on the operators' listener only.
func (s *Server) Propose(ctx context.Context, cmd *wire.Command) (*wire.Result, error) {
	if mayApplyFile(cmd) {
		return nil, status.Error(codes.PermissionDenied, "files are applied on the operators' listener")
	}
	res, err := s.propose(ctx, cmd)
	if err != nil {
		return nil, s.toStatus(err)
	}
	return res, nil
}

// mayApplyFile reports whether a command applies a file, directly or in a batch. A
// compressed command counts as one, because its content is not checked.
func mayApplyFile(cmd *wire.Command) bool {
	if cmd.GetApplyFile() != nil || cmd.GetGzip() != nil {
		return true
	}
	return slices.ContainsFunc(cmd.GetBatch().GetCommands(), mayApplyFile)
}

// KeepAlive implements wire.ControlServer. It renews leases only after a read barrier, so
// that a deposed leader renews none.
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
		if !s.keeper.Renew(s.uptime(), l.Name, l.Fence) {
			resp.Lost = append(resp.Lost, l.Name)
		}
	}
	return resp, nil
}

// Placements implements wire.ControlServer. Any replica that reaches the leader can answer;
// the read is linearizable.
func (s *Server) Placements(ctx context.Context, req *wire.PlacementsRequest) (*wire.PlacementsResponse, error) {
	if err := s.replica.ReadBarrier(ctx); err != nil {
		return nil, s.toStatus(err)
	}
	resp := s.state.Placements(req.Cell)
	resp.Entries = s.sessionEntries()
	return resp, nil
}

// sessionEntries returns the entries that hold a session lease.
func (s *Server) sessionEntries() []string {
	var out []string
	for _, l := range s.state.Leases() {
		if entry, ok := EntryOfSessionLease(l.Name); ok {
			out = append(out, entry)
		}
	}
	return out
}

// ReportNode implements wire.ControlServer. Reports are kept in memory at the leader.
func (s *Server) ReportNode(ctx context.Context, rep *wire.NodeReport) (*wire.NodeReportAck, error) {
	if err := s.leaderBarrier(ctx); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastReports[rep.Node] = &receivedReport{report: rep, reportedAt: time.Now()}
	return &wire.NodeReportAck{Index: s.state.Index(), Drain: s.draining[rep.Node]}, nil
}

// Identity implements wire.ControlServer. It returns the identity of this replica, which an
// operator adds to the group with Replace.
func (s *Server) Identity(context.Context, *wire.IdentityRequest) (*wire.Member, error) {
	return &wire.Member{Id: s.replica.Status().ID, Name: s.nodeID, Address: s.address, Zone: s.zone}, nil
}

// watchHeartbeat is the interval of the empty deltas sent on an idle watch.
const watchHeartbeat = 3 * time.Second

// Watch implements wire.ControlServer. Session leases of entries are left out of the
// stream, whose size must not grow with the number of nodes. A replica without a leader
// ends its watches, so that nodes don't keep following a partitioned control VM.
func (s *Server) Watch(req *wire.WatchRequest, stream grpc.ServerStreamingServer[wire.Delta]) error {
	s.metrics.watchers.Inc()
	defer s.metrics.watchers.Dec()
	after := req.AfterIndex
	heartbeat := time.NewTicker(watchHeartbeat)
	defer heartbeat.Stop()
	for {
		changed := s.stateMachine.nextChange()
		sentIndex, err := s.sendSince(stream, after)
		if err != nil {
			return err
		}
		after = sentIndex
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

// sendSince sends the changes after an index, if there are any, and returns the index
// that the watcher has reached.
func (s *Server) sendSince(stream grpc.ServerStreamingServer[wire.Delta], after uint64) (uint64, error) {
	d := watchedDelta(s.state, after)
	if d == nil {
		return after, nil
	}
	if !hasChanges(d) {
		return d.Index, nil
	}
	return d.Index, s.send(stream, d)
}

// watchedDelta returns the state's changes after an index without the session leases of
// entries; nil if there are none.
func watchedDelta(st *state.Machine, after uint64) *wire.Delta {
	d := st.DeltaSince(after)
	if d == nil {
		return nil
	}
	d.PutLeases = slices.DeleteFunc(d.PutLeases, func(l *wire.Lease) bool { return isSession(l.Name) })
	d.DropLeases = slices.DeleteFunc(d.DropLeases, isSession)
	return d
}

func isSession(lease string) bool {
	_, ok := EntryOfSessionLease(lease)
	return ok
}

func hasChanges(d *wire.Delta) bool {
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
