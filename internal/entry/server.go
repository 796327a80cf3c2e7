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

// Server is the entry role. Start it once.
type Server struct {
	opts    Options
	log     *slog.Logger
	m       *metrics
	tracer  trace.Tracer
	http    *httpserver.Server
	budget  budget
	begin   time.Time // zero of the cores' clock
	shared  *http.Transport
	single  *http.Transport // for calls that may be sent at most once
	control *http.Transport // for cancels: they must not wait behind calls
	trails  *trails
	tasks   sync.WaitGroup // everything that outlives its request

	unready  atomic.Bool
	draining atomic.Bool
	open     atomic.Int64 // requests without a final answer
}

// New returns a server that does not listen yet.
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
		opts:    opts,
		log:     opts.Logger.With("part", "entry"),
		m:       m,
		tracer:  opts.Tracer.Tracer(tracerName),
		budget:  budget{retry.NewShareBudget(opts.RetryPercent, opts.RetryBurst)},
		begin:   opts.Now(),
		shared:  newTransport(opts.MaxConnsPerUpstream, false),
		single:  newTransport(opts.MaxConnsPerUpstream, true),
		control: newTransport(0, false),
		trails:  newTrails(keptTrails),
	}
	s.http, err = httpserver.New(httpserver.Options{
		Listen:       opts.Listen,
		Handler:      http.HandlerFunc(s.serve),
		MaxBodyBytes: opts.MaxBodyBytes,
		BodyTimeout:  opts.BodyTimeout,
		IdleTimeout:  opts.IdleTimeout,
		MaxInFlight:  opts.MaxInFlight,
		Refuse:       s.refuse,
		Fatal:        isBroken,
		Logger:       opts.Logger,
	})
	return s, errors.WithMessage(err, "entry")
}

// isBroken tells whether a panic is a broken invariant, after which the process must
// not go on.
func isBroken(p any) bool {
	_, ok := p.(*retry.Broken)
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

// Addr returns the address listened on, known after Start.
func (s *Server) Addr() string { return s.http.Addr() }

// Shutdown drains: /readyz fails first, after the settle time new requests are
// refused, and those in progress finish. When ctx ends first the rest is cut off and
// an error tells how many there were.
func (s *Server) Shutdown(ctx context.Context) error {
	s.unready.Store(true)
	s.log.Info("Entry drains.", "settle", s.opts.Settle)
	_ = pause.For(ctx, s.opts.Settle)
	s.draining.Store(true)
	err := s.http.Shutdown(ctx)
	if taskErr := s.waitTasks(ctx); err == nil {
		err = taskErr
	}
	s.shared.CloseIdleConnections()
	s.single.CloseIdleConnections()
	s.control.CloseIdleConnections()
	if n := s.open.Load(); n != 0 {
		s.log.Error("Requests were cut off without a final answer.", "count", n)
		return errors.Errorf("entry: %d requests have no final answer", n)
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

// serve routes one request. Probes and announcements are not counted as requests.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case pathHealth:
		s.health(w)
	case pathReady:
		s.ready(w)
	case upstream.PathAnnounce:
		s.announce(w, r)
	default:
		s.counted(w, r)
	}
}

// counted gives a request exactly one final answer and counts it.
func (s *Server) counted(w http.ResponseWriter, r *http.Request) {
	s.open.Add(1)
	s.m.entered.Inc()
	s.m.inFlight.Inc()
	ctx := propagation.TraceContext{}.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := s.tracer.Start(ctx, "request", trace.WithSpanKind(trace.SpanKindServer),
		trace.WithAttributes(attribute.String("path", r.URL.Path)))
	q := &request{s: s, w: w, r: r.WithContext(ctx), id: s.opts.NewID(), span: span, entered: s.opts.Now()}
	defer q.lost()
	q.route()
}

// request is one counted request.
type request struct {
	s        *Server
	w        http.ResponseWriter
	r        *http.Request
	id       string
	caller   string
	span     trace.Span
	entered  time.Time
	answered bool
	trail    trail
}

// route answers the request by its path.
func (q *request) route() {
	if q.s.draining.Load() {
		q.fail(errkind.New(errkind.Draining, "this node takes no new requests"))
		return
	}
	caller, err := q.s.identify(q.r)
	if err != nil {
		q.fail(err)
		return
	}
	q.caller = caller
	path := q.r.URL.Path
	switch {
	case path == upstream.PathCompletions:
		q.generate(openai.Completions)
	case path == upstream.PathChatCompletions:
		q.generate(openai.ChatCompletions)
	case path == pathModels:
		q.models()
	case strings.HasPrefix(path, pathServices):
		q.service()
	default:
		q.fail(errkind.New(errkind.NotFound, "no endpoint %s", path))
	}
}

// settled records the one final answer; err nil means whole.
func (q *request) settled(err *errkind.Error) {
	if q.answered {
		panic(&retry.Broken{Reason: "request " + q.id + " got a second final answer"})
	}
	q.answered = true
	q.keep(err)
	q.s.m.answered(err)
	q.s.m.inFlight.Dec()
	q.s.open.Add(-1)
	if err != nil {
		q.span.SetAttributes(attribute.String("kind", string(err.Kind)))
	}
	q.span.End()
}

// lost runs when the handler returns or panics.
func (q *request) lost() {
	if !q.answered {
		q.settled(errkind.New(errkind.Internal, "the handler gave no answer"))
	}
}

// fail answers with a problem.
func (q *request) fail(err *errkind.Error) {
	writeProblem(q.w, problemOf(err, q.id))
	q.settled(err)
}

// budget is a retry budget that a test can switch off.
type budget struct{ *retry.ShareBudget }

// Take implements retry.Budget.
func (b budget) Take() bool { return b.ShareBudget.Take() || skipBudget }
