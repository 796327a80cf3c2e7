package coordinator

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"gentiankeel/internal/spec"
	"gentiankeel/internal/wire"
)

// API is the set of calls for upstreams and operators, independent of their wire format.
// Every control VM serves it and forwards calls to the acting coordinator.
type API interface {
	// Heartbeat returns once the upstream's state is queued for every attached entry.
	Heartbeat(ctx context.Context, s *wire.UpstreamState) error
	// PutRouting commits a validated configuration. After an error it may or may not be in
	// force; the call is idempotent and may be repeated.
	PutRouting(ctx context.Context, version uint64, document []byte) (wire.ApplyOutcome, error)
	// Routing returns the document in force by a linearizable read. It fails if there is
	// none yet.
	Routing(ctx context.Context) ([]byte, error)
	// LeaderAddress returns the gRPC address of the acting coordinator; empty: unknown.
	LeaderAddress() string
	// LogRejected logs that input of a kind was rejected as invalid.
	LogRejected(kind string, err error)
}

var _ API = (*apiAdapter)(nil)

const (
	// heartbeatTimeout lies below the second after which upstreams time out.
	heartbeatTimeout = 800 * time.Millisecond
	// operatorTimeout lies below the second after which operators try another node.
	operatorTimeout = 950 * time.Millisecond
)

// callActing calls local if this node is the acting coordinator, else remote, which calls
// the leader.
func callActing[T any](s *Server, local func() (T, error), remote func() (T, error)) (T, error) {
	if _, err := s.currentTerm(); err == nil {
		return local()
	}
	return remote()
}

// Heartbeat implements API.
func (a *apiAdapter) Heartbeat(ctx context.Context, st *wire.UpstreamState) error {
	s := a.server
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	_, err := callActing(s,
		func() (*wire.HeartbeatAck, error) { return s.Heartbeat(ctx, st) },
		func() (*wire.HeartbeatAck, error) { return nil, s.o.Group.Heartbeat(ctx, st) })
	if err != nil {
		s.log.Info("Heartbeat failed.", "upstream", st.Id, "error", err)
	}
	return err
}

// apiAdapter implements API. Server can't do so itself: some methods of the gRPC service
// have the same names and other signatures.
type apiAdapter struct{ server *Server }

// API returns the calls for the listeners of upstreams and operators.
func (s *Server) API() API { return &apiAdapter{s} }

// PutRouting implements API.
func (a *apiAdapter) PutRouting(ctx context.Context, version uint64, document []byte) (wire.ApplyOutcome, error) {
	s := a.server
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	req := &wire.PutRoutingRequest{Version: version, Document: document, Digest: spec.Digest(document)}
	res, err := callActing(s,
		func() (*wire.PutRoutingResponse, error) { return s.PutRouting(ctx, req) },
		func() (*wire.PutRoutingResponse, error) { return s.o.Group.PutRouting(ctx, req) })
	if err != nil {
		s.log.Warn("Storing the routing configuration failed.", "version", version, "digest", req.Digest, "error", err)
		return 0, err
	}
	return res.Outcome, nil
}

// Routing implements API.
func (a *apiAdapter) Routing(ctx context.Context) ([]byte, error) {
	s := a.server
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	rec, err := callActing(s,
		func() (*wire.RoutingRecord, error) { return s.GetRouting(ctx, &wire.GetRoutingRequest{}) },
		func() (*wire.RoutingRecord, error) { return s.o.Group.GetRouting(ctx) })
	if err != nil {
		s.log.Info("Reading the routing configuration failed.", "error", err)
		return nil, err
	}
	if len(rec.GetDocument()) == 0 {
		return nil, status.Error(codes.Unavailable, "no configuration is known")
	}
	return rec.Document, nil
}

// LeaderAddress implements API.
func (a *apiAdapter) LeaderAddress() string {
	st := a.server.o.Control.Status()
	return st.Member(st.Leader).GetAddress()
}

// LogRejected implements API.
func (a *apiAdapter) LogRejected(kind string, err error) {
	a.server.log.Warn("Invalid input was rejected.", "what", kind, "error", err)
}
