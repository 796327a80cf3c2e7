package coordinator

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"gentiankeel/internal/spec"
	"gentiankeel/internal/wire"
)

// API is what a listener of a control VM offers to upstreams and operators, whatever
// their form. Any control VM serves it: calls are passed on to the acting coordinator.
type API interface {
	// Heartbeat returns once every attached entry has been sent what an upstream says.
	Heartbeat(ctx context.Context, s *wire.UpstreamState) error
	// PutRouting commits a configuration that was checked. After an error it may be in
	// force or not; it may be sent again.
	PutRouting(ctx context.Context, version uint64, document []byte) (wire.ApplyOutcome, error)
	// Routing returns the document in force, read linearizably.
	Routing(ctx context.Context) ([]byte, error)
	// LeaderAddress is the inner address of the acting coordinator; empty: unknown.
	LeaderAddress() string
	// Rejected logs input that was refused.
	Rejected(what string, err error)
}

var _ API = (*adapter)(nil)

const (
	// heartbeatTimeout lies below the second in which upstreams want their answer.
	heartbeatTimeout = 800 * time.Millisecond
	// operatorTimeout lies below the second after which an operator asks another node.
	operatorTimeout = 950 * time.Millisecond
)

// local calls this node's own server, or the leader through the group's client.
func local[T any](s *Server, own func() (T, error), remote func() (T, error)) (T, error) {
	if _, err := s.acting(); err == nil {
		return own()
	}
	return remote()
}

// Heartbeat implements API; as a gRPC method it has another form.
func (a *adapter) Heartbeat(ctx context.Context, st *wire.UpstreamState) error {
	s := a.s
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	_, err := local(s,
		func() (*wire.HeartbeatAck, error) { return s.Heartbeat(ctx, st) },
		func() (*wire.HeartbeatAck, error) { return nil, s.o.Group.Heartbeat(ctx, st) })
	if err != nil {
		s.log.Info("Heartbeat not acknowledged.", "upstream", st.Id, "error", err)
	}
	return err
}

// adapter gives the server the form of an API.
type adapter struct{ s *Server }

// API returns the calls for listeners.
func (s *Server) API() API { return &adapter{s} }

// PutRouting implements API.
func (a *adapter) PutRouting(ctx context.Context, version uint64, document []byte) (wire.ApplyOutcome, error) {
	s := a.s
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	req := &wire.PutRoutingRequest{Version: version, Document: document, Digest: spec.Digest(document)}
	res, err := local(s,
		func() (*wire.PutRoutingResponse, error) { return s.PutRouting(ctx, req) },
		func() (*wire.PutRoutingResponse, error) { return s.o.Group.PutRouting(ctx, req) })
	if err != nil {
		s.log.Warn("Configuration not acknowledged.", "version", version, "digest", req.Digest, "error", err)
		return 0, err
	}
	return res.Outcome, nil
}

// Routing implements API.
func (a *adapter) Routing(ctx context.Context) ([]byte, error) {
	s := a.s
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	rec, err := local(s,
		func() (*wire.RoutingRecord, error) { return s.GetRouting(ctx, &wire.GetRoutingRequest{}) },
		func() (*wire.RoutingRecord, error) { return s.o.Group.GetRouting(ctx) })
	if err != nil {
		s.log.Info("Configuration not read.", "error", err)
		return nil, err
	}
	if len(rec.GetDocument()) == 0 {
		return nil, status.Error(codes.Unavailable, "no configuration is known")
	}
	return rec.Document, nil
}

// LeaderAddress implements API.
func (a *adapter) LeaderAddress() string {
	st := a.s.o.Control.Status()
	return st.Member(st.Leader).GetAddress()
}

// Rejected implements API.
func (a *adapter) Rejected(what string, err error) {
	a.s.log.Warn("Input refused.", "what", what, "error", err)
}
