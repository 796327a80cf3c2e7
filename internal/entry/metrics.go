package entry

import (
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"gentiankeel/internal/errkind"
)

const kindOK = "ok" // label value of a complete response

// metrics are the metrics of an entry. inFlight counts requests without a final
// response; it must be zero after a shutdown.
type metrics struct {
	requests       *prometheus.CounterVec // finished requests by kind
	inFlight       prometheus.Gauge
	entered        prometheus.Counter
	lateResponses  prometheus.Counter
	malformed      prometheus.Counter
	retries        prometheus.Counter
	hedges         prometheus.Counter
	resumed        prometheus.Counter
	tokens         prometheus.Counter
	unusedGrants   prometheus.Counter
	replayed       prometheus.Counter
	firstToken     prometheus.Histogram
	tokenGap       prometheus.Histogram
	requestsByKind map[string]prometheus.Counter // children of requests, looked up once
}

func newMetrics(reg prometheus.Registerer) (*metrics, error) {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Name: "gentiankeel_entry_" + name, Help: help})
	}
	histogram := func(name, help string, start float64) prometheus.Histogram {
		return prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "gentiankeel_entry_" + name,
			Help:    help,
			Buckets: prometheus.ExponentialBuckets(start, 2, 16),
		})
	}
	m := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gentiankeel_entry_requests_total",
			Help: "Final answers by error kind, ok for a whole answer.",
		}, []string{"kind"}),
		inFlight: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "gentiankeel_entry_in_flight",
			Help: "Requests that have entered and have no final answer.",
		}),
		entered:       counter("entered_total", "Requests that have entered."),
		lateResponses: counter("late_answers_total", "Answers dropped because they carried another attempt's identity."),
		malformed:     counter("malformed_responses_total", "Calls whose upstream answered with what is not valid HTTP/1.1."),
		retries:       counter("retries_total", "Attempts asked for after an earlier one was sent."),
		hedges:        counter("hedges_total", "Attempts asked for beside a slow one."),
		resumed:       counter("resumed_total", "Streams taken up again after a cut."),
		tokens:        counter("tokens_total", "Tokens passed on to callers."),
		unusedGrants:  counter("unused_grants_total", "Grants given back without a byte sent."),
		replayed:      counter("replayed_total", "Stored answers given to resends."),
		firstToken:    histogram("first_token_seconds", "Seconds from a request's entry to its first token.", 0.001),
		tokenGap:      histogram("token_gap_seconds", "Seconds between two tokens passed on.", 0.0001),
	}
	m.requestsByKind = map[string]prometheus.Counter{kindOK: m.requests.WithLabelValues(kindOK)}
	for _, k := range errkind.Kinds() {
		m.requestsByKind[string(k)] = m.requests.WithLabelValues(string(k))
	}
	for _, c := range []prometheus.Collector{
		m.requests, m.inFlight, m.entered, m.lateResponses, m.malformed, m.retries, m.hedges, m.resumed,
		m.tokens, m.unusedGrants, m.replayed, m.firstToken, m.tokenGap,
	} {
		if err := reg.Register(c); err != nil {
			return nil, errors.Wrap(err, "registering the entry's metrics")
		}
	}
	return m, nil
}

// countFinished counts one finished request; a nil err means that the complete response
// was delivered.
func (m *metrics) countFinished(err *errkind.Error) {
	kind := kindOK
	if err != nil {
		kind = string(err.Kind)
	}
	c, ok := m.requestsByKind[kind]
	if !ok {
		c = m.requestsByKind[string(errkind.Internal)]
	}
	c.Inc()
}
