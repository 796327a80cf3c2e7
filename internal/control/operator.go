package control

import (
	"context"
	"slices"
	"sort"
	"strings"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"gentiankeel/internal/replica"
	"gentiankeel/internal/spec"
	"gentiankeel/internal/wire"
)

// nodeCallTimeout limits a call to another node.
const nodeCallTimeout = 2 * time.Second

// maxHistoryRecords is the maximum number of records that History returns.
const maxHistoryRecords = 1000

// Operator implements the operators' service. It is registered on the operators'
// listener only.
type Operator struct {
	wire.UnimplementedOperatorServer
	s *Server
}

// MaxOperatorMessageBytes is the maximum size of a message on the operators' listener: an
// applied file and the other fields of the request.
const MaxOperatorMessageBytes = spec.MaxFileBytes + 64<<10

// Operator returns the operators' service of the server.
func (s *Server) Operator() *Operator { return &Operator{s: s} }

// Register registers the operators' service on a gRPC server.
func (o *Operator) Register(g grpc.ServiceRegistrar) { wire.RegisterOperatorServer(g, o) }

// Apply implements wire.OperatorServer. It is idempotent: applying the accepted file again
// returns its record with the outcome APPLY_SAME.
func (o *Operator) Apply(ctx context.Context, req *wire.ApplyRequest) (*wire.FileRecord, error) {
	if len(req.File) > spec.MaxFileBytes {
		// A proposal can't be withdrawn once it is in the log, and its size would slow
		// every replica.
		return nil, status.Errorf(codes.InvalidArgument, "the file has %d bytes, at most %d are allowed",
			len(req.File), spec.MaxFileBytes)
	}
	cmd := &wire.Command{Op: &wire.Command_ApplyFile{ApplyFile: &wire.ApplyFile{
		File: req.File, Version: req.Version, Digest: req.Digest, Who: req.Who}}}
	res, err := o.s.propose(ctx, cmd)
	if err != nil {
		return nil, o.s.toStatus(err)
	}
	if res.File == nil {
		return nil, status.Error(codes.Internal, res.Detail)
	}
	return res.File, nil
}

// History implements wire.OperatorServer.
func (o *Operator) History(ctx context.Context, req *wire.HistoryRequest) (*wire.HistoryResponse, error) {
	if err := o.s.leaderBarrier(ctx); err != nil {
		return nil, err
	}
	limit := int(req.Limit)
	if limit == 0 || limit > maxHistoryRecords {
		limit = maxHistoryRecords
	}
	return &wire.HistoryResponse{Records: o.s.state.History(req.BeforeIndex, limit)}, nil
}

// Status implements wire.OperatorServer.
func (o *Operator) Status(ctx context.Context, _ *wire.StatusRequest) (*wire.StatusResponse, error) {
	if err := o.s.leaderBarrier(ctx); err != nil {
		return nil, err
	}
	st := o.s.replica.Status()
	placements := o.s.state.Placements("")
	resp := &wire.StatusResponse{
		AnsweredBy:   o.s.nodeID,
		Term:         st.Term,
		CommitIndex:  st.Commit,
		AppliedIndex: st.Applied,
		Leases:       o.s.state.Leases(),
		Placements:   placements.Placements,
		Upstreams:    placements.Upstreams,
		Suspects:     o.s.state.Suspects(),
		Nodes:        o.s.nodeStatuses(time.Now()),
		Repaired:     st.Repaired,
	}
	for _, m := range st.Members {
		resp.Members = append(resp.Members, &wire.MemberStatus{
			Id: m.Name, Address: m.Address, Zone: m.Zone, Learner: m.Learner,
			Leader: m.Id == st.Leader, MatchIndex: st.Match[m.Id]})
	}
	if applied := o.s.state.Spec(); applied != nil {
		resp.Applied = &wire.FileRecord{Index: applied.Index, Version: applied.Version, Digest: applied.Digest}
	}
	return resp, nil
}

func (s *Server) nodeStatuses(now time.Time) []*wire.NodeStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*wire.NodeStatus, 0, len(s.lastReports))
	for _, n := range s.lastReports {
		out = append(out, &wire.NodeStatus{Report: n.report, AgeMs: now.Sub(n.reportedAt).Milliseconds()})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Report.Node < out[j].Report.Node })
	return out
}

// Explain implements wire.OperatorServer.
func (o *Operator) Explain(ctx context.Context, req *wire.ExplainRequest) (*wire.ExplainResponse, error) {
	if err := o.s.leaderBarrier(ctx); err != nil {
		return nil, err
	}
	lines := o.s.state.Explain(req.Subject)
	for _, addr := range o.s.explainAddresses(req.Subject) {
		lines = append(lines, o.s.explainAt(ctx, addr, req)...)
	}
	return &wire.ExplainResponse{Lines: lines}, nil
}

// Drain implements wire.OperatorServer. The order to drain is sent to the node in the
// acknowledgement of its next report.
func (o *Operator) Drain(ctx context.Context, req *wire.DrainRequest) (*wire.DrainResponse, error) {
	if err := o.s.leaderBarrier(ctx); err != nil {
		return nil, err
	}
	o.s.mu.Lock()
	defer o.s.mu.Unlock()
	if _, ok := o.s.lastReports[req.Node]; !ok {
		return nil, status.Errorf(codes.NotFound, "no node %q has reported here", req.Node)
	}
	o.s.draining[req.Node] = true
	return &wire.DrainResponse{}, nil
}

// Replace implements wire.OperatorServer. It may be repeated after any failure and
// continues where the previous call stopped.
func (o *Operator) Replace(req *wire.ReplaceRequest, stream grpc.ServerStreamingServer[wire.ReplaceProgress]) error {
	ctx := stream.Context()
	if err := o.s.leaderBarrier(ctx); err != nil {
		return err
	}
	var lostID uint64
	for _, m := range o.s.replica.Status().Members {
		if m.Name == req.LostId {
			lostID = m.Id
		}
	}
	member, err := o.s.fetchIdentity(ctx, req)
	if err != nil {
		return err
	}
	err = o.s.replica.Replace(ctx, lostID, member, func(step replica.ReplaceStep) {
		o.s.log.Info("Replacement progressed.", "lost", req.LostId, "new", req.NewId, "step", string(step))
		_ = stream.Send(&wire.ReplaceProgress{Step: string(step), Repaired: step == replica.ReplaceRepaired})
	})
	if err != nil {
		return o.s.toStatus(err)
	}
	return nil
}

// fetchIdentity reads the identity that the new control VM generated on its empty disk,
// and checks that name and availability zone are those of the request.
func (s *Server) fetchIdentity(ctx context.Context, req *wire.ReplaceRequest) (*wire.Member, error) {
	ctx, cancel := context.WithTimeout(ctx, nodeCallTimeout)
	defer cancel()
	m, err := s.IdentityAt(ctx, req.NewAddress)
	if err != nil {
		return nil, status.Errorf(codes.NotFound, "%s does not answer: %s", req.NewAddress, status.Convert(err).Message())
	}
	if m.Name != req.NewId || m.Zone != req.NewZone {
		return nil, status.Errorf(codes.InvalidArgument, "%s is %s in %s", req.NewAddress, m.Name, m.Zone)
	}
	return m, nil
}

// IdentityAt asks the control VM at an address for its identity. The call uses a connection of its
// own, so that the process which answers ran at the time of the call.
func (s *Server) IdentityAt(ctx context.Context, address string) (*wire.Member, error) {
	conn, err := grpc.NewClient(address, s.dialOptions...)
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	defer conn.Close()
	return wire.NewControlClient(conn).Identity(ctx, &wire.IdentityRequest{})
}

// explainAddresses returns the addresses of the nodes that can add details on a subject:
// the schedulers, and the entry whose node id is the prefix of a request id.
func (s *Server) explainAddresses(subject string) []string {
	var out []string
	for _, l := range s.state.Leases() {
		if _, ok := CellOfSchedulerLease(l.Name); ok {
			out = append(out, l.Address)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for node, n := range s.lastReports {
		if strings.HasPrefix(subject, node+"-") {
			out = append(out, n.report.Address)
		}
	}
	sort.Strings(out)
	return slices.Compact(out)
}

// explainAt forwards an explain request to a node. If the node can't be reached, the
// returned lines say so.
func (s *Server) explainAt(ctx context.Context, addr string, req *wire.ExplainRequest) []string {
	ctx, cancel := context.WithTimeout(ctx, nodeCallTimeout)
	defer cancel()
	conn, err := grpc.NewClient(addr, s.dialOptions...)
	if err != nil {
		return []string{addr + ": " + err.Error()}
	}
	defer conn.Close()
	resp, err := wire.NewNodeClient(conn).Explain(ctx, req)
	if err != nil {
		return []string{addr + ": no answer: " + status.Convert(err).Message()}
	}
	return resp.Lines
}
