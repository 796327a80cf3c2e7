// Package telemetry sets up logging, metrics and tracing of a process.
package telemetry

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/pprof"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracegrpc"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"go.opentelemetry.io/otel/attribute"

	"gentiankeel/internal/settings"
)

// NewLogger returns a logger that writes records of the level and above as JSON lines, each
// with the node's id. The level is debug, info, warn or error.
func NewLogger(w io.Writer, level, node string) (*slog.Logger, error) {
	var minLevel slog.Level
	if err := minLevel.UnmarshalText([]byte(level)); err != nil {
		return nil, errors.Wrapf(err, "log level %q", level)
	}
	h := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: minLevel})
	return slog.New(h).With("node", node), nil
}

// NewRegistry returns a registry with the collectors for the process and the Go runtime.
func NewRegistry() *prometheus.Registry {
	r := prometheus.NewRegistry()
	r.MustRegister(
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		collectors.NewGoCollector(),
	)
	return r
}

// NewTracerProvider returns a provider that exports spans over OTLP, or a no-op one if no
// endpoint is set, and the function that flushes and shuts it down.
func NewTracerProvider(ctx context.Context, s settings.Tracing, node string) (trace.TracerProvider, func(context.Context) error, error) {
	if s.OTLPEndpoint == "" {
		return noop.NewTracerProvider(), func(context.Context) error { return nil }, nil
	}
	exporter, err := otlptracegrpc.New(ctx,
		otlptracegrpc.WithEndpoint(s.OTLPEndpoint), otlptracegrpc.WithInsecure())
	if err != nil {
		return nil, nil, errors.Wrap(err, "starting the span exporter")
	}
	tp := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(s.SampleRatio))),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "gentiankeeld"),
			attribute.String("service.instance.id", node))),
	)
	return tp, tp.Shutdown, nil
}

// Handler returns a handler for metrics, profiles and the probes for liveness and
// readiness. ready returns nil if the node is ready; the text of its error is sent in the
// response.
func Handler(g prometheus.Gatherer, ready func() error) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/metrics", promhttp.HandlerFor(g, promhttp.HandlerOpts{}))
	mux.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if err := ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	mux.HandleFunc("/debug/pprof/", pprof.Index)
	mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("/debug/pprof/trace", pprof.Trace)
	return mux
}
