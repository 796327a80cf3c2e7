package scheduler

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	active           prometheus.Gauge
	sessions         prometheus.Gauge
	waiting          prometheus.Gauge
	running          prometheus.Gauge
	announcements    prometheus.Counter
	granted          prometheus.Counter
	refused          *prometheus.CounterVec
	orders           *prometheus.CounterVec
	ordersUnanswered prometheus.Counter
	planSeconds      prometheus.Histogram
	inboxFull        prometheus.Counter
}

func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		active: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "gentiankeel_scheduler_active", Help: "1 while this node decides for its cell."}),
		sessions: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "gentiankeel_scheduler_sessions", Help: "Open sessions of entries."}),
		waiting: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "gentiankeel_scheduler_waiting", Help: "Attempts that wait for a slot."}),
		running: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "gentiankeel_scheduler_running", Help: "Attempts that hold a slot."}),
		announcements: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "gentiankeel_scheduler_announcements_total", Help: "Announcements taken."}),
		granted: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "gentiankeel_scheduler_granted_total", Help: "Slots granted."}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gentiankeel_scheduler_refused_total", Help: "Attempts refused."}, []string{"kind"}),
		orders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gentiankeel_scheduler_orders_total", Help: "Orders sent to upstreams."}, []string{"kind"}),
		ordersUnanswered: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "gentiankeel_scheduler_order_unanswered_total", Help: "Orders without an answer."}),
		planSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "gentiankeel_scheduler_plan_seconds", Help: "Time to make one plan.",
			Buckets: prometheus.ExponentialBuckets(0.0001, 2, 14)}),
		inboxFull: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "gentiankeel_scheduler_inbox_full_total", Help: "Events that waited for room in the inbox."}),
	}
	r.MustRegister(m.active, m.sessions, m.waiting, m.running, m.announcements, m.granted,
		m.refused, m.orders, m.ordersUnanswered, m.planSeconds, m.inboxFull)
	return m
}
