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

// askNodeTimeout bounds a question passed on to another node.
const askNodeTimeout = 2 * time.Second

// maxHistory is the most records that one call of History returns.
const maxHistory = 1000

// Operator serves operators' calls; it is registered on the operators' listener only.
type Operator struct {
	wire.UnimplementedOperatorServer
	s *Server
}

// MaxOperatorBytes bounds a message on the operators' listener: a file and what goes
// with it.
const MaxOperatorBytes = spec.MaxFileBytes + 64<<10

// Operator returns the operators' side of the server.
func (s *Server) Operator() *Operator { return &Operator{s: s} }

// Register adds the operators' side to a gRPC server.
func (o *Operator) Register(g grpc.ServiceRegistrar) { wire.RegisterOperatorServer(g, o) }

// Apply implements wire.OperatorServer. The same file again gets its first outcome.
func (o *Operator) Apply(ctx context.Context, req *wire.ApplyRequest) (*wire.FileRecord, error) {
	if len(req.File) > spec.MaxFileBytes {
		// Once in the log it could not be taken back, and its size would slow every replica.
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
	if limit == 0 || limit > maxHistory {
		limit = maxHistory
	}
	return &wire.HistoryResponse{Records: o.s.state.History(req.BeforeIndex, limit)}, nil
}

// Status implements wire.OperatorServer.
func (o *Operator) Status(ctx context.Context, _ *wire.StatusRequest) (*wire.StatusResponse, error) {
	if err := o.s.leaderBarrier(ctx); err != nil {
		return nil, err
	}
	st := o.s.replica.Status()
	held := o.s.state.Placements("")
	resp := &wire.StatusResponse{
		AnsweredBy:   o.s.nodeID,
		Term:         st.Term,
		CommitIndex:  st.Commit,
		AppliedIndex: st.Applied,
		Leases:       o.s.state.Leases(),
		Placements:   held.Placements,
		Upstreams:    held.Upstreams,
		Suspects:     o.s.state.Suspects(),
		Nodes:        o.s.nodeStatus(time.Now()),
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

func (s *Server) nodeStatus(now time.Time) []*wire.NodeStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*wire.NodeStatus, 0, len(s.nodes))
	for _, n := range s.nodes {
		out = append(out, &wire.NodeStatus{Report: n.report, AgeMs: now.Sub(n.seen).Milliseconds()})
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
	for _, addr := range o.s.explainers(req.Subject) {
		lines = append(lines, o.s.askNode(ctx, addr, req)...)
	}
	return &wire.ExplainResponse{Lines: lines}, nil
}

// Drain implements wire.OperatorServer: the node is told with its next report.
func (o *Operator) Drain(ctx context.Context, req *wire.DrainRequest) (*wire.DrainResponse, error) {
	if err := o.s.leaderBarrier(ctx); err != nil {
		return nil, err
	}
	o.s.mu.Lock()
	defer o.s.mu.Unlock()
	if _, ok := o.s.nodes[req.Node]; !ok {
		return nil, status.Errorf(codes.NotFound, "no node %q has reported here", req.Node)
	}
	o.s.drains[req.Node] = true
	return &wire.DrainResponse{}, nil
}

// Replace implements wire.OperatorServer. It may be called again after any failure and
// goes on where the former call was.
func (o *Operator) Replace(req *wire.ReplaceRequest, stream grpc.ServerStreamingServer[wire.ReplaceProgress]) error {
	ctx := stream.Context()
	if err := o.s.leaderBarrier(ctx); err != nil {
		return err
	}
	var lost uint64
	for _, m := range o.s.replica.Status().Members {
		if m.Name == req.LostId {
			lost = m.Id
		}
	}
	member, err := o.s.identityAt(ctx, req)
	if err != nil {
		return err
	}
	err = o.s.replica.Replace(ctx, lost, member, func(step replica.ReplaceStep) {
		o.s.log.Info("Replacement goes on.", "lost", req.LostId, "new", req.NewId, "step", string(step))
		_ = stream.Send(&wire.ReplaceProgress{Step: string(step), Repaired: step == replica.ReplaceRepaired})
	})
	if err != nil {
		return o.s.toStatus(err)
	}
	return nil
}

// identityAt asks the new control VM for the identity that it drew on its empty disk.
func (s *Server) identityAt(ctx context.Context, req *wire.ReplaceRequest) (*wire.Member, error) {
	ctx, cancel := context.WithTimeout(ctx, askNodeTimeout)
	defer cancel()
	conn, err := grpc.NewClient(req.NewAddress, s.dial...)
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	defer conn.Close()
	m, err := wire.NewControlClient(conn).Identity(ctx, &wire.IdentityRequest{})
	if err != nil {
		return nil, status.Errorf(codes.NotFound, "%s does not answer: %s", req.NewAddress, status.Convert(err).Message())
	}
	if m.Name != req.NewId || m.Zone != req.NewZone {
		return nil, status.Errorf(codes.InvalidArgument, "%s is %s in %s", req.NewAddress, m.Name, m.Zone)
	}
	return m, nil
}

// explainers returns the addresses of the nodes that know more of a subject: the
// schedulers, and the entry that a request id begins with.
func (s *Server) explainers(subject string) []string {
	var out []string
	for _, l := range s.state.Leases() {
		if _, ok := CellOfScheduler(l.Name); ok {
			out = append(out, l.Address)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for node, n := range s.nodes {
		if strings.HasPrefix(subject, node+"-") {
			out = append(out, n.report.Address)
		}
	}
	sort.Strings(out)
	return slices.Compact(out)
}

// askNode passes a question on. A node that can't be reached is said so in the answer.
func (s *Server) askNode(ctx context.Context, addr string, req *wire.ExplainRequest) []string {
	ctx, cancel := context.WithTimeout(ctx, askNodeTimeout)
	defer cancel()
	conn, err := grpc.NewClient(addr, s.dial...)
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
