package rafttransport

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

type metrics struct {
	sent       prometheus.Counter
	received   prometheus.Counter
	snapshots  prometheus.Counter
	reconnects prometheus.Counter
	dropped    *prometheus.CounterVec
}

func newMetrics(reg prometheus.Registerer) *metrics {
	f := promauto.With(reg)
	counter := func(name, help string) prometheus.Counter {
		return f.NewCounter(prometheus.CounterOpts{Name: "gentiankeel_raft_transport_" + name, Help: help})
	}
	return &metrics{
		sent:       counter("sent_total", "Messages sent to peers."),
		received:   counter("received_total", "Messages received from peers."),
		snapshots:  counter("snapshots_sent_total", "Snapshots sent to peers."),
		reconnects: counter("reconnects_total", "Streams to peers that ended and were opened again."),
		dropped: f.NewCounterVec(prometheus.CounterOpts{
			Name: "gentiankeel_raft_transport_dropped_total",
			Help: "Messages dropped before they were sent, by reason.",
		}, []string{"reason"}),
	}
}
