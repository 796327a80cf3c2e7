package grant

import "time"

// PickPolicy names the way in which a free upstream is chosen for an ask.
type PickPolicy int

// The ways to choose an upstream. PickTwoChoices is the default; the others are
// baselines for comparison.
const (
	// PickTwoChoices draws two upstreams weighted by free slots and takes the better one.
	PickTwoChoices PickPolicy = iota
	// PickRandom takes any upstream with a free slot.
	PickRandom
	// PickLeastReported takes the upstream with the lowest late load report.
	PickLeastReported
	// PickLeastInFlight takes the upstream with the fewest exact attempts in flight.
	PickLeastInFlight
)

// QueuePolicy names the order in which waiting asks are served.
type QueuePolicy int

// The queue orders. QueueFair is the default; QueueFIFO is the baseline.
const (
	// QueueFair orders by class with ageing, then by caller share, then by deadline.
	QueueFair QueuePolicy = iota
	// QueueFIFO serves in order of arrival.
	QueueFIFO
)

// Settings holds the policy parameters of a Core.
type Settings struct {
	Pick  PickPolicy
	Queue QueuePolicy

	// UseBy is the time in which the entry must write the first byte after a grant.
	UseBy time.Duration
	// LongestLife bounds how long an attempt of a lost entry can go on running.
	LongestLife time.Duration
	// RecoveryTimeout is the time after which an entry that has not said hello to a new
	// scheduler counts as expired.
	RecoveryTimeout time.Duration
	// DoubtFor is the longest time after a cut answer in which the end of the upstream's
	// incarnation counts as a death of its body; a proof that the upstream lives ends it
	// sooner. It must exceed the time in which a dead upstream is noticed.
	DoubtFor time.Duration
	// TickInterval is the longest time between two ticks while asks wait.
	TickInterval time.Duration

	// QueuePerModel bounds the asks waiting for one model or service when the applied
	// file names no limit.
	QueuePerModel int
	// MaxWaiting bounds the asks waiting in the whole cell.
	MaxWaiting int
	// NormalDelay is the wait after which normal work earns a share of the grants to
	// interactive work.
	NormalDelay time.Duration
	// BatchDelay is the same wait for batch work.
	BatchDelay time.Duration
	// AgedShare is that share: one grant in 1/AgedShare goes to the aged class.
	AgedShare float64
	// Patience bounds the effect of deadlines on the order: an ask that waited this long
	// goes before all newer ones of its caller and class.
	Patience time.Duration

	// EarlyRefusal refuses asks whose deadline can't be met by the learnt estimates.
	EarlyRefusal bool
	// DefaultWake is the assumed time to load a model before one was observed; 0: unknown.
	DefaultWake time.Duration

	// LongTokens is the expected length, in tokens, from which work counts as long.
	LongTokens int
	// DefaultTokens is the expected length of work of which nothing is known.
	DefaultTokens int
	// ShortReserve is the share of every runner's slots that long work can't take.
	ShortReserve float64

	// AvoidStragglers turns the outlier score on.
	AvoidStragglers bool
	// OutlierRatio is the score, in multiples of the peers' median, from which an
	// upstream is avoided.
	OutlierRatio float64
	// MaxAvoidShare bounds the share of a peer group that may be avoided.
	MaxAvoidShare float64
	// AvoidFor is the shortest time for which an outlier is avoided.
	AvoidFor time.Duration
	// ProbeGood is the number of good probes in a row after which an upstream is trusted.
	ProbeGood int
	// ScoreInterval is the time between two looks at the peers' median.
	ScoreInterval time.Duration

	// Hedge turns hedging on.
	Hedge bool
	// HedgeShare is the share of recent requests that may be hedged.
	HedgeShare float64
	// HedgeQuantile is the quantile of the time to the first token after which a hedge pays.
	HedgeQuantile float64
	// HedgeSpare is the share of an upstream's slots that must be free for a hedge.
	HedgeSpare float64

	// PrefixAffinity turns the prefix-cache hint on.
	PrefixAffinity bool
	// PrefixSlack is the load, as a share of slots, by which a holder of the prefix may
	// exceed the upstream that would be chosen without the hint.
	PrefixSlack float64
	// PrefixesPerUpstream bounds the prefixes remembered for one upstream.
	PrefixesPerUpstream int

	// AdaptiveLimit turns the learnt concurrency limit per upstream on.
	AdaptiveLimit bool
	// TargetGap is the mean time between two tokens that the limit aims at.
	TargetGap time.Duration
	// TargetFirstToken is the time to the first token that the limit aims at.
	TargetFirstToken time.Duration
	// MinLimitShare is the share of an upstream's slots that the limit never goes below.
	MinLimitShare float64
	// LimitInterval is the shortest time between two cuts of one upstream's limit.
	LimitInterval time.Duration
}

// DefaultSettings returns the settings in use.
func DefaultSettings() Settings {
	return Settings{
		UseBy:               time.Second,
		LongestLife:         10 * time.Minute,
		RecoveryTimeout:     3 * time.Second,
		DoubtFor:            2 * time.Minute,
		TickInterval:        50 * time.Millisecond,
		QueuePerModel:       256,
		MaxWaiting:          16384,
		NormalDelay:         time.Second,
		BatchDelay:          10 * time.Second,
		AgedShare:           0.1,
		Patience:            30 * time.Second,
		EarlyRefusal:        true,
		LongTokens:          512,
		DefaultTokens:       128,
		ShortReserve:        0.5,
		AvoidStragglers:     true,
		OutlierRatio:        2,
		MaxAvoidShare:       0.34,
		AvoidFor:            2 * time.Second,
		ProbeGood:           3,
		ScoreInterval:       50 * time.Millisecond,
		Hedge:               true,
		HedgeShare:          0.05,
		HedgeQuantile:       0.95,
		HedgeSpare:          0.25,
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
