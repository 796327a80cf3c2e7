package gateway

import (
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
)

type metrics struct {
	requests       *prometheus.CounterVec
	keyRefusals    *prometheus.CounterVec
	attempts       prometheus.Counter
	retries        prometheus.Counter
	cuts           *prometheus.CounterVec
	limited        prometheus.Gauge
	unready        *prometheus.GaugeVec
	suspects       prometheus.Gauge
	resumes        prometheus.Counter
	events         prometheus.Counter
	takenUp        *prometheus.CounterVec
	eventGaps      prometheus.Counter
	strayResponses prometheus.Counter
	malformed      prometheus.Counter
	responses      *prometheus.CounterVec
	connections    *prometheus.CounterVec
	processes      *prometheus.CounterVec
	attached       prometheus.Counter
	detached       prometheus.Counter
	version        prometheus.Gauge
	inFlight       prometheus.Gauge
	slotWait       prometheus.Histogram
	unitWait       prometheus.Histogram
	units          *prometheus.CounterVec
	unitsWaiting   prometheus.Gauge
	firstByte      prometheus.Histogram
	pace           *prometheus.GaugeVec
	prefillWaits   prometheus.Counter
}

func newMetrics(reg prometheus.Registerer) (*metrics, error) {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Name: "gentiankeel_gateway_" + name, Help: help})
	}
	gauge := func(name, help string) prometheus.Gauge {
		return prometheus.NewGauge(prometheus.GaugeOpts{Name: "gentiankeel_gateway_" + name, Help: help})
	}
	seconds := func(name, help string) prometheus.Histogram {
		return prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "gentiankeel_gateway_" + name, Help: help,
			Buckets: []float64{0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8, 25.6},
		})
	}
	m := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gentiankeel_gateway_requests_total", Help: "Requests with a final answer, by its kind.",
		}, []string{"kind"}),
		attempts:       counter("attempts_total", "Attempts sent to upstreams."),
		retries:        counter("retries_total", "Attempts beyond the first of a request."),
		resumes:        counter("resumes_total", "Streams that went on at another upstream."),
		events:         counter("events_total", "Events of streams passed on."),
		eventGaps:      counter("event_gaps_total", "Runs of streams that began after events that no run had sent."),
		strayResponses: counter("stray_answers_total", "Answers that belonged to another request."),
		malformed:      counter("malformed_responses_total", "Attempts whose upstream answered with what is not valid HTTP/1.1."),
		attached:       counter("attached_total", "Streams that a coordinator opened."),
		detached:       counter("detached_total", "Streams to a coordinator that ended."),
		version:        gauge("configuration_version", "Version of the configuration in force."),
		inFlight:       gauge("requests_in_flight", "Requests without a final answer."),
		limited:        gauge("limited_upstreams", "Upstreams that take a limited number of requests a second."),
		suspects:       gauge("suspect_requests", "Traits of requests known to have run on several upstreams when they ended."),
		slotWait:       seconds("wait_seconds", "Time that attempts waited for an upstream."),
		prefillWaits:   counter("prefill_waits_total", "Attempts for which a runner had a free slot, but too many prompt tokens to read."),
		unitWait:       seconds("quota_wait_seconds", "Time that requests of organisations with a limit waited for units."),
		unitsWaiting:   gauge("quota_waiting", "Requests that wait for units of their organisation."),
		firstByte:      seconds("first_byte_seconds", "Time from a request to the first byte of its answer."),
	}
	m.pace = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "gentiankeel_gateway_runner_pace", Help: "Time that runners take for the same work, relative to the mean of their service: min, median, max.",
	}, []string{"value"})
	m.unready = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "gentiankeel_gateway_unready_upstreams", Help: "Upstreams that take no requests by what they answered, by reason.",
	}, []string{"reason"})
	m.keyRefusals = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "gentiankeel_gateway_key_refusals_total", Help: "Requests refused for their key, by reason.",
	}, []string{"reason"})
	m.units = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "gentiankeel_gateway_quota_units_total", Help: "Units of organisations with a limit that requests asked for, by result.",
	}, []string{"result"})
	m.responses = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "gentiankeel_gateway_upstream_responses_total", Help: "Responses of upstreams by what marks their end: chunks, length or connection; none without a body.",
	}, []string{"framing"})
	m.processes = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "gentiankeel_gateway_upstream_processes_total", Help: "Attempts of streams that may be taken up, by the process that they reached: published, other, untold or silent.",
	}, []string{"process"})
	m.takenUp = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "gentiankeel_gateway_streams_taken_up_total", Help: "Streams that callers took up, by how the software version that began them was found, or why it was not.",
	}, []string{"origin"})
	m.connections = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "gentiankeel_gateway_upstream_connections_total", Help: "Attempts to connect to an upstream, by way (direct or relay) and result: open, refused, timeout, cancelled or failed.",
	}, []string{"way", "result"})
	m.cuts = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "gentiankeel_gateway_cut_attempts_total", Help: "Attempts whose upstream broke off, by whether it had sent output.",
	}, []string{"output"})
	for _, c := range []prometheus.Collector{m.requests, m.keyRefusals, m.cuts, m.suspects, m.limited, m.unready, m.attempts, m.retries, m.resumes, m.takenUp, m.events, m.eventGaps, m.strayResponses, m.malformed, m.responses, m.processes, m.connections,
		m.attached, m.detached, m.version, m.inFlight, m.slotWait, m.firstByte, m.pace, m.prefillWaits,
		m.unitWait, m.units, m.unitsWaiting} {
		if err := reg.Register(c); err != nil {
			return nil, errors.Wrap(err, "registering the gateway's metrics")
		}
	}
	return m, nil
}
