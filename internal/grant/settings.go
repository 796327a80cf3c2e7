package grant

import "time"

// PickPolicy selects how a free upstream is chosen for an attempt.
type PickPolicy int

// Pick policies. PickTwoChoices is the default; the others are baselines for comparison.
const (
	// PickTwoChoices draws two upstreams weighted by free slots and takes the less loaded
	// one.
	PickTwoChoices PickPolicy = iota
	// PickRandom takes any upstream with a free slot.
	PickRandom
	// PickLeastReported takes the upstream with the lowest reported load.
	PickLeastReported
	// PickLeastInFlight takes the upstream with the fewest attempts in flight.
	PickLeastInFlight
)

// QueuePolicy selects the order in which waiting attempts are served.
type QueuePolicy int

// Queue policies. QueueFair is the default; QueueFIFO is the baseline.
const (
	// QueueFair orders by class with ageing, then by the caller's share, then by deadline.
	QueueFair QueuePolicy = iota
	// QueueFIFO serves in order of arrival.
	QueueFIFO
)

// Settings holds the policy parameters of a Core.
type Settings struct {
	Pick  PickPolicy
	Queue QueuePolicy

	// UseBy is the time from a grant in which the entry must write the first byte.
	UseBy time.Duration
	// MaxAttemptTime bounds how long an attempt of a lost entry can go on running.
	MaxAttemptTime time.Duration
	// RecoveryTimeout is the time after which an entry that has not opened a session with
	// a new scheduler counts as lost.
	RecoveryTimeout time.Duration
	// CutWindow is the longest time after a cut answer in which the end of the upstream's
	// incarnation is attributed to the attempt's body. An UpstreamAlive as of a later time
	// ends the window early. It must exceed the time in which a failed upstream is detected.
	CutWindow time.Duration
	// TickInterval is the longest time between two ticks while attempts wait.
	TickInterval time.Duration

	// QueuePerModel bounds the attempts that wait for one model or service when the
	// applied file sets no limit.
	QueuePerModel int
	// MaxWaiting bounds the attempts that wait in the whole cell.
	MaxWaiting int
	// NormalDelay is the wait after which the normal class counts as aged and gets a share
	// of the grants that would go to interactive work.
	NormalDelay time.Duration
	// BatchDelay is the wait after which the batch class counts as aged.
	BatchDelay time.Duration
	// AgedShare is the share of an upstream's grants that an aged class gets.
	AgedShare float64
	// DeadlineHorizon caps the virtual deadline of a waiting attempt at its arrival plus
	// this time. An attempt that has waited this long is served before all newer ones of
	// its caller and class, whatever their deadlines.
	DeadlineHorizon time.Duration

	// EarlyRefusal refuses attempts whose deadline can't be met by the estimates.
	EarlyRefusal bool
	// DefaultLoadTime is the assumed load time of a model until one was observed; 0: unknown.
	DefaultLoadTime time.Duration

	// LongTokens is the expected length, in tokens, from which an attempt counts as long.
	LongTokens int
	// DefaultTokens is the expected length, in tokens, of an attempt without any estimate.
	DefaultTokens int
	// ShortReserve is the share of each runner's slots that long attempts can't take.
	ShortReserve float64

	// AvoidStragglers enables outlier detection by latency.
	AvoidStragglers bool
	// OutlierRatio is the score, in multiples of the peers' median, from which an upstream
	// is avoided.
	OutlierRatio float64
	// MaxAvoidShare bounds the share of a peer group that may be avoided at a time.
	MaxAvoidShare float64
	// AvoidFor is the shortest time for which an outlier is avoided.
	AvoidFor time.Duration
	// ProbeSuccesses is the number of consecutive successful probes after which an avoided
	// upstream is used normally again.
	ProbeSuccesses int
	// ScoreInterval is the time between two runs of outlier detection.
	ScoreInterval time.Duration

	// Hedge enables hedging.
	Hedge bool
	// HedgeShare is the share of recent requests that may be hedged.
	HedgeShare float64
	// HedgeQuantile is the quantile of the time to the first token after which a request
	// is hedged.
	HedgeQuantile float64
	// HedgeFreeShare is the share of an upstream's slots that must be free for a hedge.
	HedgeFreeShare float64

	// PrefixAffinity enables the prefix-cache hint.
	PrefixAffinity bool
	// PrefixSlack is the load, as a share of slots, by which an upstream that caches the
	// prefix may exceed the upstream that would be chosen without the hint.
	PrefixSlack float64
	// PrefixesPerUpstream bounds the prefixes recorded for one upstream.
	PrefixesPerUpstream int

	// AdaptiveLimit enables the adaptive concurrency limit of each upstream.
	AdaptiveLimit bool
	// TargetGap is the target of the limit for the mean time between two tokens.
	TargetGap time.Duration
	// TargetFirstToken is the target of the limit for the time to the first token.
	TargetFirstToken time.Duration
	// MinLimitShare is the lower bound of the limit, as a share of the upstream's slots.
	MinLimitShare float64
	// LimitInterval is the shortest time between two decreases of one upstream's limit.
	LimitInterval time.Duration
}

// DefaultSettings returns the default policy parameters.
func DefaultSettings() Settings {
	return Settings{
		UseBy:               time.Second,
		MaxAttemptTime:      10 * time.Minute,
		RecoveryTimeout:     3 * time.Second,
		CutWindow:           2 * time.Minute,
		TickInterval:        50 * time.Millisecond,
		QueuePerModel:       256,
		MaxWaiting:          16384,
		NormalDelay:         time.Second,
		BatchDelay:          10 * time.Second,
		AgedShare:           0.1,
		DeadlineHorizon:     30 * time.Second,
		EarlyRefusal:        true,
		LongTokens:          512,
		DefaultTokens:       128,
		ShortReserve:        0.5,
		AvoidStragglers:     true,
		OutlierRatio:        2,
		MaxAvoidShare:       0.34,
		AvoidFor:            2 * time.Second,
		ProbeSuccesses:      3,
		ScoreInterval:       50 * time.Millisecond,
		Hedge:               true,
		HedgeShare:          0.05,
		HedgeQuantile:       0.95,
		HedgeFreeShare:      0.25,
		PrefixAffinity:      true,
		PrefixSlack:         0.125,
		PrefixesPerUpstream: 4096,
		AdaptiveLimit:       true,
		TargetGap:           69 * time.Millisecond,
		TargetFirstToken:    1300 * time.Millisecond,
		MinLimitShare:       0.25,
		LimitInterval:       time.Second,
	}
}
