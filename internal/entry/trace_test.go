package entry

import (
	"testing"

	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
)

func TestTrace_SpansOfResumedStream(t *testing.T) {
	recorder := tracetest.NewSpanRecorder()
	u1 := newFakeUpstream(t, "u1", oneTokenThenCut)
	u2 := newFakeUpstream(t, "u2", completeStream(2))
	h := newHarness(t, newFakeScheduler(u1, u2), func(o *Options) {
		o.TracerProvider = sdktrace.NewTracerProvider(sdktrace.WithSpanProcessor(recorder))
	})
	const parent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
	h.is.Equal(h.stream("traceparent", parent).status, 200)
	h.shutdown()
	count := map[string]int{}
	for _, s := range recorder.Ended() {
		count[s.Name()]++
		h.is.Equal(s.SpanContext().TraceID().String(), "0af7651916cd43dd8448eb211c80319c")
	}
	h.is.Equal(count, map[string]int{"request": 1, "attempt": 2, "upstream call": 2})
	h.is.Equal(len(recorder.Started()), len(recorder.Ended()))
}
