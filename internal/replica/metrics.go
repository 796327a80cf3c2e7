package replica

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

type metrics struct {
	proposals    prometheus.Counter
	elections    prometheus.Counter
	losses       *prometheus.CounterVec
	snapshots    prometheus.Counter
	fatal        *prometheus.CounterVec
	sync         prometheus.Histogram
	commit       prometheus.Histogram
	batch        prometheus.Histogram
	term         prometheus.Gauge
	commitIndex  prometheus.Gauge
	appliedIndex prometheus.Gauge
	leading      prometheus.Gauge
	repaired     prometheus.Gauge
}

const (
	minSecondsBucket = 50e-6
	bucketFactor     = 2
	bucketCount      = 16
)

func newMetrics(reg prometheus.Registerer) *metrics {
	f := promauto.With(reg)
	counter := func(name, help string) prometheus.Counter {
		return f.NewCounter(prometheus.CounterOpts{Name: "gentiankeel_raft_" + name, Help: help})
	}
	gauge := func(name, help string) prometheus.Gauge {
		return f.NewGauge(prometheus.GaugeOpts{Name: "gentiankeel_raft_" + name, Help: help})
	}
	histogram := func(name, help string, minBucket float64) prometheus.Histogram {
		return f.NewHistogram(prometheus.HistogramOpts{
			Name: "gentiankeel_raft_" + name, Help: help,
			Buckets: prometheus.ExponentialBuckets(minBucket, bucketFactor, bucketCount),
		})
	}
	return &metrics{
		proposals: counter("proposals_total", "Proposals made at this replica."),
		elections: counter("elections_won_total", "Times that this replica began to lead."),
		losses: f.NewCounterVec(prometheus.CounterOpts{
			Name: "gentiankeel_raft_leader_losses_total",
			Help: "Times that this replica ceased to lead, by reason.",
		}, []string{"reason"}),
		snapshots: counter("snapshots_total", "Snapshots of the own state that were stored."),
		fatal: f.NewCounterVec(prometheus.CounterOpts{
			Name: "gentiankeel_raft_fatal_total",
			Help: "Errors that stopped the replica, by kind.",
		}, []string{"kind"}),
		sync:         histogram("sync_seconds", "Time of one synced write.", minSecondsBucket),
		commit:       histogram("commit_seconds", "Time from a proposal to its answer.", minSecondsBucket),
		batch:        histogram("batch_entries", "Proposals that shared one append.", 1),
		term:         gauge("term", "Current term."),
		commitIndex:  gauge("commit_index", "Highest committed index."),
		appliedIndex: gauge("applied_index", "Highest applied index."),
		leading:      gauge("leading", "1 while this replica leads."),
		repaired:     gauge("repaired", "1 while the loss of one more voter would lose nothing; the leader's view."),
	}
}

func (m *metrics) observe(s *Status) {
	m.term.Set(float64(s.Term))
	m.commitIndex.Set(float64(s.Commit))
	m.appliedIndex.Set(float64(s.Applied))
	m.leading.Set(boolToFloat(s.IsLeader))
	m.repaired.Set(boolToFloat(s.Repaired))
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
