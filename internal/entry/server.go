package entry

import (
	"context"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"gentiankeel/internal/errkind"
	"gentiankeel/internal/httpserver"
	"gentiankeel/internal/openai"
	"gentiankeel/internal/pause"
	"gentiankeel/internal/respbuf"
	"gentiankeel/internal/retry"
	"gentiankeel/internal/upstream"
)

const (
	pathModels   = "/v1/models"
	pathServices = "/v1/services/"
	pathHealth   = "/healthz"
	pathReady    = "/readyz"
	tracerName   = "gentiankeel/entry"
)

// Server is an entry. It can be started once.
type Server struct {
	opts            Options
	log             *slog.Logger
	m               *metrics
	tracer          trace.Tracer
	http            *httpserver.Server
	budget          budget
	epoch           time.Time // zero of retry.Time
	sharedTransport *http.Transport
	onceTransport   *http.Transport // for calls that must be sent at most once
	cancelTransport *http.Transport // separate, so that cancels don't wait behind calls
	responses       *respbuf.Pool
	records         *recordLog
	tasks           sync.WaitGroup // goroutines that may outlive their request

	unready      atomic.Bool  // readiness fails
	draining     atomic.Bool  // new requests are refused
	openRequests atomic.Int64 // requests without a final response
}

// New returns a server; Start makes it listen.
func New(opts Options) (*Server, error) {
	opts, err := opts.withDefaults()
	if err != nil {
		return nil, err
	}
	m, err := newMetrics(opts.Registerer)
	if err != nil {
		return nil, err
	}
	s := &Server{
		opts:            opts,
		log:             opts.Logger.With("part", "entry"),
		m:               m,
		tracer:          opts.TracerProvider.Tracer(tracerName),
		budget:          budget{retry.NewRatioBudget(opts.RetryPercent, float64(opts.RetryBurst))},
		epoch:           opts.Now(),
		sharedTransport: newTransport(opts.MaxConnsPerUpstream, false),
		onceTransport:   newTransport(opts.MaxConnsPerUpstream, true),
		cancelTransport: newTransport(0, false),
		responses:       respbuf.NewPool(respbuf.MaxHeldBytes),
		records:         newRecordLog(maxRecords),
	}
	s.http, err = httpserver.New(httpserver.Options{
		Listen:       opts.Listen,
		Handler:      http.HandlerFunc(s.serve),
		MaxBodyBytes: opts.MaxBodyBytes,
		BodyTimeout:  opts.BodyTimeout,
		IdleTimeout:  opts.IdleTimeout,
		MaxInFlight:  opts.MaxInFlight,
		Refuse:       s.refuse,
		IsFatal:      isInvariantPanic,
		Logger:       opts.Logger,
	})
	return s, errors.WithMessage(err, "entry")
}

// isInvariantPanic reports whether a panic value is a violated invariant, after which
// the process must exit.
func isInvariantPanic(p any) bool {
	_, ok := p.(*retry.InvariantError)
	return ok
}

// Start listens and serves in the background.
func (s *Server) Start() error {
	if err := s.http.Start(); err != nil {
		return errors.WithMessage(err, "entry")
	}
	s.log.Info("Entry listens.", "address", s.Addr())
	return nil
}

// Addr returns the address that the server listens on; it is set by Start.
func (s *Server) Addr() string { return s.http.Addr() }

// Shutdown drains the server: /readyz fails at once, new requests are refused after the
// settle time, and requests in progress finish. If ctx ends first, the remaining
// requests are cut off and the error states their number.
func (s *Server) Shutdown(ctx context.Context) error {
	s.unready.Store(true)
	s.log.Info("Entry drains.", "settle", s.opts.DrainSettle)
	_ = pause.For(ctx, s.opts.DrainSettle)
	s.draining.Store(true)
	err := s.http.Shutdown(ctx)
	if taskErr := s.waitTasks(ctx); err == nil {
		err = taskErr
	}
	s.sharedTransport.CloseIdleConnections()
	s.onceTransport.CloseIdleConnections()
	s.cancelTransport.CloseIdleConnections()
	if n := s.openRequests.Load(); n != 0 {
		s.log.Error("Shutdown cut off requests without a final response.", "count", n)
		return errors.Errorf("entry: %d requests have no final response", n)
	}
	return errors.WithMessage(err, "entry")
}

func (s *Server) waitTasks(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		s.tasks.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "waiting for releases and ledger records")
	}
}

// serve dispatches one HTTP request. Probes and announcements are not counted as
// requests.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case pathHealth:
		s.serveHealth(w)
	case pathReady:
		s.serveReady(w)
	case upstream.PathAnnounce:
		s.serveAnnounce(w, r)
	default:
		s.serveRequest(w, r)
	}
}

// serveRequest counts a request and gives it exactly one final response.
func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	s.openRequests.Add(1)
	s.m.entered.Inc()
	s.m.inFlight.Inc()
	ctx := propagation.TraceContext{}.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := s.tracer.Start(ctx, "request", trace.WithSpanKind(trace.SpanKindServer),
		trace.WithAttributes(attribute.String("path", r.URL.Path)))
	q := &request{s: s, w: w, r: r.WithContext(ctx), id: s.opts.NewID(), span: span, entered: s.opts.Now()}
	defer q.ensureFinished()
	q.route()
}

// request is one counted request of a caller.
type request struct {
	s        *Server
	w        http.ResponseWriter
	r        *http.Request
	id       string
	caller   string
	span     trace.Span
	entered  time.Time
	finished bool
	record   requestRecord
}

// route serves the request by its path.
func (q *request) route() {
	if q.s.draining.Load() {
		q.fail(errkind.New(errkind.Draining, "this node takes no new requests"))
		return
	}
	caller, err := q.s.identifyCaller(q.r)
	if err != nil {
		q.fail(err)
		return
	}
	q.caller = caller
	path := q.r.URL.Path
	switch {
	case path == upstream.PathCompletions:
		q.serveGeneration(openai.Completions)
	case path == upstream.PathChatCompletions:
		q.serveGeneration(openai.ChatCompletions)
	case path == pathModels:
		q.serveModels()
	case strings.HasPrefix(path, pathServices):
		q.serveService()
	default:
		q.fail(errkind.New(errkind.NotFound, "no endpoint %s", path))
	}
}

// finish records the end of the request; a nil err means that the complete response was
// delivered. It must be called exactly once.
func (q *request) finish(err *errkind.Error) {
	if q.finished {
		panic(&retry.InvariantError{Detail: "request " + q.id + " was finished twice"})
	}
	q.finished = true
	q.recordOutcome(err)
	q.s.m.countFinished(err)
	q.s.m.inFlight.Dec()
	q.s.openRequests.Add(-1)
	if err != nil {
		q.span.SetAttributes(attribute.String("kind", string(err.Kind)))
	}
	q.span.End()
}

// ensureFinished finishes a request whose handler returned or panicked before that.
func (q *request) ensureFinished() {
	if !q.finished {
		q.finish(errkind.New(errkind.Internal, "the handler gave no answer"))
	}
}

// fail responds with a problem and finishes the request.
func (q *request) fail(err *errkind.Error) {
	writeProblem(q.w, newProblem(err, q.id))
	q.finish(err)
}

// budget is a retry budget whose limit tests can disable.
type budget struct{ *retry.RatioBudget }

// Take implements retry.Budget.
func (b budget) Take() bool { return b.RatioBudget.Take() || skipBudget }
