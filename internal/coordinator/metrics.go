package coordinator

import (
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"gentiankeel/internal/fleet"
)

type metrics struct {
	acting       prometheus.Gauge
	entries      prometheus.Gauge
	withoutPath  prometheus.Gauge
	heartbeats   prometheus.Counter
	updates      prometheus.Counter
	orders       *prometheus.CounterVec
	reports      prometheus.Counter
	joinRequests *prometheus.CounterVec
	savedOrigins *prometheus.CounterVec
	handOvers    prometheus.Counter
	orderWait    prometheus.Histogram
	slowEntries  prometheus.Counter
	lostRuns     prometheus.Counter
	backlog      prometheus.Gauge
	replicas     *prometheus.GaugeVec
	storeLoads   *prometheus.GaugeVec
	throttled    prometheus.Gauge
}

func newMetrics(reg prometheus.Registerer) (*metrics, error) {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Name: "gentiankeel_coordinator_" + name, Help: help})
	}
	gauge := func(name, help string) prometheus.Gauge {
		return prometheus.NewGauge(prometheus.GaugeOpts{Name: "gentiankeel_coordinator_" + name, Help: help})
	}
	m := &metrics{
		acting:      gauge("acting", "1 while this node acts for the fleet."),
		entries:     gauge("entries", "Entries attached."),
		withoutPath: gauge("entries_without_path", "Entries attached that have no path of their own to upstreams."),
		backlog:     gauge("backlog_inputs", "Inputs that wait for the acting coordinator, beside heartbeats and configurations."),
		throttled:   gauge("throttled_organisations", "Organisations whose requests wait for their quota."),
		heartbeats:  counter("heartbeats_total", "Heartbeats of upstreams taken in."),
		updates:     counter("updates_total", "Updates sent to entries."),
		reports:     counter("reports_total", "Reports read from runners."),
		slowEntries: counter("slow_entries_total", "Entries cut off because they were too slow."),
		lostRuns:    counter("lost_runs_total", "Runs that ended without an answer, as entries reported them."),
		replicas: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "gentiankeel_coordinator_replicas", Help: "Replicas of the models with requests, summed, by service and whether they are wanted or held.",
		}, []string{"service", "state"}),
		storeLoads: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "gentiankeel_coordinator_store_concurrency", Help: "Concurrent loads that the weight store is taken to serve at full speed, by service.",
		}, []string{"service"}),
		orders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gentiankeel_coordinator_orders_total", Help: "Orders sent to runners, by result.",
		}, []string{"result"}),
		handOvers: counter("handovers_total", "Transfers of the leadership to a VM that may send orders at once."),
		orderWait: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "gentiankeel_coordinator_order_wait_seconds", Help: "Time from the start of a term to its first orders, where runners don't check fencing tokens.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 11),
		}),
		savedOrigins: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gentiankeel_coordinator_saved_origins_total", Help: "Origins of streams that were committed while several versions of software ran lately, by whether the commit is known to have succeeded.",
		}, []string{"saved"}),
		joinRequests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gentiankeel_coordinator_join_requests_total", Help: "Requests to join the control group that could change it, by result.",
		}, []string{"result"}),
	}
	for _, c := range []prometheus.Collector{m.acting, m.entries, m.withoutPath, m.heartbeats, m.updates, m.reports, m.slowEntries, m.lostRuns, m.orders, m.joinRequests, m.savedOrigins, m.handOvers, m.orderWait, m.backlog, m.replicas, m.storeLoads, m.throttled} {
		if err := reg.Register(c); err != nil {
			return nil, errors.Wrap(err, "registering the coordinator's metrics")
		}
	}
	return m, nil
}

// setSummaries sets the gauges of what the acting coordinator's last plan found.
func (m *metrics) setSummaries(summaries map[string]fleet.Summary) {
	for service, s := range summaries {
		m.replicas.WithLabelValues(service, "wanted").Set(float64(s.WantedReplicas))
		m.replicas.WithLabelValues(service, "held").Set(float64(s.HeldReplicas))
		m.storeLoads.WithLabelValues(service).Set(float64(s.StoreConcurrency))
	}
}

// resetSummaries removes these gauges when the node no longer acts.
func (m *metrics) resetSummaries() {
	m.replicas.Reset()
	m.storeLoads.Reset()
}
