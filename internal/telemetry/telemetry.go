// Package telemetry sets up logs, metrics and traces of a process.
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

// Logger returns a logger that writes one JSON object a line at the level or above.
func Logger(w io.Writer, level, node string) (*slog.Logger, error) {
	var l slog.Level
	if err := l.UnmarshalText([]byte(level)); err != nil {
		return nil, errors.Wrapf(err, "log level %q", level)
	}
	h := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: l})
	return slog.New(h).With("node", node), nil
}

// Registry returns a registry with the collectors of the process and the runtime.
func Registry() *prometheus.Registry {
	r := prometheus.NewRegistry()
	r.MustRegister(
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		collectors.NewGoCollector(),
	)
	return r
}

// Tracer returns a provider that exports spans over OTLP, or one that does nothing when
// no endpoint is set, and a function that flushes it.
func Tracer(ctx context.Context, s settings.Tracing, node string) (trace.TracerProvider, func(context.Context) error, error) {
	if s.OTLPEndpoint == "" {
		return noop.NewTracerProvider(), func(context.Context) error { return nil }, nil
	}
	exp, err := otlptracegrpc.New(ctx,
		otlptracegrpc.WithEndpoint(s.OTLPEndpoint), otlptracegrpc.WithInsecure())
	if err != nil {
		return nil, nil, errors.Wrap(err, "starting the span exporter")
	}
	tp := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exp),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(s.SampleRatio))),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "gentiankeeld"),
			attribute.String("service.instance.id", node))),
	)
	return tp, tp.Shutdown, nil
}

// Handler serves metrics, profiles, liveness and readiness. ready returns nil when the
// node takes work.
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
