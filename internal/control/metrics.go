package control

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	applied       prometheus.Counter
	proposeFailed prometheus.Counter
	leasesEnded   prometheus.Counter
	commitSeconds prometheus.Histogram
	leading       prometheus.Gauge
	watchers      prometheus.Gauge
	deltas        prometheus.Counter
	deltaBytes    prometheus.Counter
}

func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		applied: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "gentiankeel_control_applied_total", Help: "Commands applied to the state."}),
		proposeFailed: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "gentiankeel_control_propose_failed_total", Help: "Proposals without a sure commit."}),
		leasesEnded: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "gentiankeel_control_leases_ended_total", Help: "Leases ended for want of a renewal."}),
		commitSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "gentiankeel_control_commit_seconds", Help: "Time from a proposal to its answer.",
			Buckets: prometheus.ExponentialBuckets(0.0002, 2, 14)}),
		leading: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "gentiankeel_control_leading", Help: "1 while this replica leads."}),
		watchers: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "gentiankeel_control_watchers", Help: "Open watch streams."}),
		deltas: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "gentiankeel_control_deltas_total", Help: "Deltas sent to watchers."}),
		deltaBytes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "gentiankeel_control_delta_bytes_total", Help: "Bytes of deltas sent to watchers."}),
	}
	r.MustRegister(m.applied, m.proposeFailed, m.leasesEnded, m.commitSeconds, m.leading,
		m.watchers, m.deltas, m.deltaBytes)
	return m
}

func (m *metrics) setLeading(leading bool) {
	if leading {
		m.leading.Set(1)
		return
	}
	m.leading.Set(0)
}
