package grant_test

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"gentiankeel/internal/grant"
	"gentiankeel/internal/grant/granttest"
	"gentiankeel/internal/wire"
)

const (
	interactive = wire.Class_CLASS_INTERACTIVE
	normal      = wire.Class_CLASS_NORMAL
	batch       = wire.Class_CLASS_BATCH
)

// policy is one set of settings to compare.
type policy struct {
	name   string
	change func(*grant.Settings)
	direct *granttest.Direct
}

func policies() []policy {
	return []policy{
		{"default", nil, nil},
		{"random pick", func(s *grant.Settings) { s.Pick = grant.PickRandom }, nil},
		{"least reported", func(s *grant.Settings) { s.Pick = grant.PickLeastReported }, nil},
		{"least in flight", func(s *grant.Settings) { s.Pick = grant.PickLeastInFlight }, nil},
		{"FIFO queue", func(s *grant.Settings) { s.Queue = grant.QueueFIFO }, nil},
		{"no reserve", func(s *grant.Settings) { s.ShortReserve = 0 }, nil},
		{"no avoidance", func(s *grant.Settings) { s.AvoidStragglers = false }, nil},
		{"no hedge", func(s *grant.Settings) { s.Hedge = false }, nil},
		{"no hedge or avoid", func(s *grant.Settings) { s.Hedge, s.AvoidStragglers = false, false }, nil},
		{"no early refusal", func(s *grant.Settings) { s.EarlyRefusal = false }, nil},
		{"no prefix hint", func(s *grant.Settings) { s.PrefixAffinity = false }, nil},
		{"fixed limit", func(s *grant.Settings) { s.AdaptiveLimit = false }, nil},
		{"direct, least", nil, &granttest.Direct{}},
		{"direct, two choices", nil, &granttest.Direct{TwoChoices: true}},
	}
}

// fleet returns the configuration of the scenarios under a policy.
func fleet(p policy, seed uint64) granttest.Config {
	settings := grant.DefaultSettings()
	if p.change != nil {
		p.change(&settings)
	}
	c := granttest.Fleet(settings, seed)
	c.Direct = p.direct
	return c
}

func quantile(list []time.Duration, q float64) float64 {
	if len(list) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(list))
	return sorted[int(q*float64(len(sorted)-1))].Seconds()
}

// metric computes one figure of a policy from a seeded run.
type metric struct {
	name string
	of   func(policy, uint64) float64
}

func metrics() []metric {
	return []metric{
		{"short p99 s", func(p policy, seed uint64) float64 { return shortP99(p, seed, 0.4, nil) }},
		{"with long", func(p policy, seed uint64) float64 {
			return shortP99(p, seed, 0.4, func(c *granttest.Config) { c.Workloads = append(c.Workloads, granttest.LongWork()) })
		}},
		{"long completed", longCompleted},
		{"p99 at half", func(p policy, seed uint64) float64 { return shortP99(p, seed, 0.5, nil) }},
		{"one slow", func(p policy, seed uint64) float64 { return shortP99(p, seed, 0.5, granttest.OneSlowRunner) }},
		{"slow phases", func(p policy, seed uint64) float64 { return shortP99(p, seed, 0.5, granttest.RotateSlowRunner) }},
		{"goodput 1.2x", func(p policy, seed uint64) float64 { return goodput(p, seed, 1.2, "") }},
		{"goodput 3x", func(p policy, seed uint64) float64 { return goodput(p, seed, 3, "") }},
		{"premium 3x", func(p policy, seed uint64) float64 { return goodput(p, seed, 3, "premium") }},
		{"refused after", refusedAfter},
		{"long premium 3x", longPremium},
	}
}

// shortP99 returns the p99 in seconds from the request to the last token of short work.
func shortP99(p policy, seed uint64, share float64, change func(*granttest.Config)) float64 {
	c := fleet(p, seed)
	c.Workloads = []granttest.Workload{granttest.ShortWork(c, share)}
	if change != nil {
		change(&c)
	}
	return quantile(granttest.Run(c).Workloads["short"].Latency, 0.99)
}

// longCompleted returns the number of long answers completed within eight minutes beside
// short work.
func longCompleted(p policy, seed uint64) float64 {
	c := fleet(p, seed)
	c.Duration = 8 * time.Minute
	c.Workloads = []granttest.Workload{granttest.ShortWork(c, 0.4), granttest.LongWork()}
	return float64(granttest.Run(c).Workloads["long"].Completed)
}

// goodput returns the share of the fleet's capacity that goes into answers completed in
// time, or the share of one workload's requests that are.
func goodput(p policy, seed uint64, share float64, workload string) float64 {
	c := fleet(p, seed)
	c.Workloads = granttest.PeakLoad(c, share)
	r := granttest.Run(c)
	if workload != "" {
		x := r.Workloads[workload]
		return float64(x.Completed) / float64(max(1, x.Requests))
	}
	return r.CompletedWork / (c.WorkPerSecond() * (c.Duration - c.Warmup).Seconds())
}

func burstMetrics() []metric {
	return []metric{
		{"first p99 s", func(p policy, seed uint64) float64 { return firstP99(p, seed, nil) }},
		{"first, phases", func(p policy, seed uint64) float64 { return firstP99(p, seed, granttest.RotateSlowRunner) }},
		{"cold wait", func(p policy, seed uint64) float64 {
			return quantile(coldStart(p, seed).Workloads["short"].Wait, 0.99)
		}},
		{"cold completed", func(p policy, seed uint64) float64 {
			x := coldStart(p, seed).Workloads["short"]
			return float64(x.Completed) / float64(x.Requests)
		}},
		{"steady wait", steadyCallerWait},
		{"rare model wait", rareModelWait},
		{"cache hits", cacheHits},
		{"prefix p99", func(p policy, seed uint64) float64 {
			return quantile(granttest.Run(sharedPrefixes(p, seed)).Workloads["short"].Latency, 0.99)
		}},
		{"in target 64", inTarget},
		{"goodput 64", func(p policy, seed uint64) float64 {
			c := wideRunners(p, seed)
			return granttest.Run(c).CompletedWork / (c.WorkPerSecond() * (c.Duration - c.Warmup).Seconds())
		}},
	}
}

// firstP99 returns the p99 in seconds from the request to the first token of short work.
func firstP99(p policy, seed uint64, change func(*granttest.Config)) float64 {
	c := fleet(p, seed)
	c.Workloads = []granttest.Workload{granttest.ShortWork(c, 0.5)}
	if change != nil {
		change(&c)
	}
	return quantile(granttest.Run(c).Workloads["short"].FirstToken, 0.99)
}

// coldStart sends 150 bulk and 50 interactive requests at once to a model that no runner
// holds. Two runners load it in 8 s and 11 s.
func coldStart(p policy, seed uint64) granttest.Result {
	c := fleet(p, seed)
	cold := []string{"cold"}
	c.Workloads = []granttest.Workload{
		granttest.ShortWork(c, 0.3),
		{Name: "bulk", Models: cold, Class: batch, From: 70 * time.Second, Burst: 150, Tokens: 80, MaxTokens: 256,
			Deadline: 2 * time.Minute},
	}
	c.Workloads[0].Name = "others"
	c.Workloads = append(c.Workloads, granttest.Workload{
		Name: "short", Models: cold, Callers: 5, Class: interactive, From: 70 * time.Second, Burst: 50, Tokens: 80,
		MaxTokens: 256, Deadline: 25 * time.Second,
	})
	c.Loads = []granttest.Load{
		{Model: "cold", Runner: 0, Duration: 8 * time.Second}, {Model: "cold", Runner: 5, Duration: 11 * time.Second},
	}
	return granttest.Run(c)
}

// steadyCallerWait returns the p99 in seconds of one caller's wait while others send
// bursts of the same class.
func steadyCallerWait(p policy, seed uint64) float64 {
	c := fleet(p, seed)
	c.Workloads = []granttest.Workload{granttest.ShortWork(c, 0.4)}
	c.Workloads[0].Name = "steady"
	c.Workloads[0].Callers = 1
	for i := range 8 {
		from := time.Duration(60+20*i) * time.Second
		c.Workloads = append(c.Workloads, granttest.Workload{
			Name: fmt.Sprint("burst", i), Models: granttest.AllModels(), Class: interactive, From: from, Burst: 300, Tokens: 80,
			MaxTokens: 256, Deadline: 30 * time.Second,
		})
	}
	return quantile(granttest.Run(c).Workloads["steady"].Wait, 0.99)
}

// rareModelWait returns the p99 in seconds of the wait for a rarely used model while
// another model on the same runners gets bursts.
func rareModelWait(p policy, seed uint64) float64 {
	c := fleet(p, seed)
	c.Workloads = []granttest.Workload{{
		Name: "rare", Models: []string{"m1"}, Class: interactive, Rate: 2, Tokens: 80, MaxTokens: 256,
		Deadline: 30 * time.Second,
	}}
	for i := range 8 {
		c.Workloads = append(c.Workloads, granttest.Workload{
			Name: fmt.Sprint("burst", i), Models: []string{"m4"}, Class: interactive,
			From: time.Duration(60+20*i) * time.Second, Burst: 200, Tokens: 80, MaxTokens: 256, Deadline: 30 * time.Second,
		})
	}
	return quantile(granttest.Run(c).Workloads["rare"].Wait, 0.99)
}

// wideRunners returns an overload of runners that have more slots than they can run within
// the token targets.
func wideRunners(p policy, seed uint64) granttest.Config {
	c := fleet(p, seed)
	c.Slots = 64
	c.Workloads = []granttest.Workload{granttest.ShortWork(c, 1.2)}
	return c
}

// sharedPrefixes returns short work whose prompts share twelve prefixes for each model, at
// 0.6 of the capacity. A runner caches sixteen of the twenty-four prefixes of its two
// models.
func sharedPrefixes(p policy, seed uint64) granttest.Config {
	c := fleet(p, seed)
	c.Workloads = []granttest.Workload{granttest.ShortWork(c, 0.6)}
	c.Workloads[0].Prefixes = 12
	return c
}

// cacheHits returns the share of the attempts that found their prefix cached.
func cacheHits(p policy, seed uint64) float64 {
	c := sharedPrefixes(p, seed)
	c.Warmup = 0
	r := granttest.Run(c)
	return float64(r.CacheHits) / float64(r.Workloads["short"].Requests)
}

// inTarget returns the share of the completed answers that met the token targets on wide
// runners.
func inTarget(p policy, seed uint64) float64 {
	x := granttest.Run(wideRunners(p, seed)).Workloads["short"]
	return float64(x.InTarget) / float64(max(1, x.Completed))
}

// longPremium returns the share of premium batches of 1500 tokens, a tenth of the
// capacity, that complete within five minutes at three times the capacity.
func longPremium(p policy, seed uint64) float64 {
	c := fleet(p, seed)
	c.Duration = 8 * time.Minute
	c.Workloads = append(granttest.PeakLoad(c, 3), granttest.Workload{
		Name: "long premium", Models: granttest.AllModels(), Callers: 2, Class: interactive, Rate: 0.1 * c.Capacity(1500),
		Tokens: 1500, MaxTokens: 4096, Deadline: 5 * time.Minute, Until: 3 * time.Minute,
	})
	x := granttest.Run(c).Workloads["long premium"]
	return float64(x.Completed) / float64(max(1, x.Requests))
}

// refusedAfter returns the p95 in seconds from bulk requests to their refusals at three
// times the capacity. A request that times out counts with its deadline.
func refusedAfter(p policy, seed uint64) float64 {
	c := fleet(p, seed)
	c.Workloads = granttest.PeakLoad(c, 3)
	x := granttest.Run(c).Workloads["bulk"]
	waits := slices.Clone(x.RefusedAfter)
	for range x.TimedOut {
		waits = append(waits, c.Workloads[2].Deadline)
	}
	return quantile(waits, 0.95)
}

// BenchmarkPolicies prints a table with the minimum, the median and the maximum of each
// figure over the seeds, for each policy.
func BenchmarkPolicies(b *testing.B) { printTable(b, policies(), metrics()) }

// BenchmarkStragglers prints the table for a higher load, milder stragglers and two at
// once.
func BenchmarkStragglers(b *testing.B) { printTable(b, policies(), stragglerMetrics()) }

func stragglerMetrics() []metric {
	slowBy := func(factor float64, runners ...int) func(*granttest.Config) {
		return func(c *granttest.Config) {
			granttest.OverlapModels(c)
			for _, r := range runners {
				c.SlowPhases = append(c.SlowPhases, granttest.SlowPhase{
					Runner: r, From: 30 * time.Second, Until: c.Duration, Factor: factor,
				})
			}
		}
	}
	return []metric{
		{"p99 at 0.7", func(p policy, seed uint64) float64 { return shortP99(p, seed, 0.7, granttest.OverlapModels) }},
		{"one slow", func(p policy, seed uint64) float64 { return shortP99(p, seed, 0.7, slowBy(8, 4)) }},
		{"one 3x slow", func(p policy, seed uint64) float64 { return shortP99(p, seed, 0.7, slowBy(3, 4)) }},
		{"one 1.7x slow", func(p policy, seed uint64) float64 { return shortP99(p, seed, 0.7, slowBy(1.7, 4)) }},
		{"two slow", func(p policy, seed uint64) float64 { return shortP99(p, seed, 0.5, slowBy(8, 4, 8)) }},
		{"phases at 0.7", func(p policy, seed uint64) float64 {
			return shortP99(p, seed, 0.7, func(c *granttest.Config) {
				granttest.OverlapModels(c)
				granttest.RotateSlowRunner(c)
			})
		}},
	}
}

// BenchmarkSettings prints the table for other values of the default settings.
func BenchmarkSettings(b *testing.B) { printTable(b, settingVariants(), metrics()) }

func settingVariants() []policy {
	var list []policy
	add := func(name string, change func(*grant.Settings)) { list = append(list, policy{name, change, nil}) }
	for _, x := range []float64{0.25, 0.75} {
		add(fmt.Sprint("reserve ", x), func(s *grant.Settings) { s.ShortReserve = x })
	}
	for _, x := range []float64{1.5, 3} {
		add(fmt.Sprint("outlier ", x), func(s *grant.Settings) { s.OutlierRatio = x })
	}
	for _, x := range []int{1, 10} {
		add(fmt.Sprint("good probes ", x), func(s *grant.Settings) { s.ProbeSuccesses = x })
	}
	for _, x := range []time.Duration{500 * time.Millisecond, 10 * time.Second} {
		add(fmt.Sprint("avoid for ", x), func(s *grant.Settings) { s.AvoidFor = x })
	}
	for _, x := range []float64{0.01, 0.2} {
		add(fmt.Sprint("hedge share ", x), func(s *grant.Settings) { s.HedgeShare = x })
	}
	for _, x := range []float64{0.02, 0.5} {
		add(fmt.Sprint("aged share ", x), func(s *grant.Settings) { s.AgedShare = x })
	}
	return list
}

// BenchmarkBursts prints the table for first tokens, cold models, bursts of one caller and
// runners with too many slots.
func BenchmarkBursts(b *testing.B) { printTable(b, policies(), burstMetrics()) }

func printTable(b *testing.B, policies []policy, metrics []metric) {
	var header strings.Builder
	for _, m := range metrics {
		fmt.Fprintf(&header, "|%-17s", " "+m.name)
	}
	b.Logf("%-19s%s", "policy", header.String())
	for _, p := range policies {
		b.Run(strings.ReplaceAll(p.name, " ", "-"), func(b *testing.B) {
			var row strings.Builder
			for _, m := range metrics {
				fmt.Fprintf(&row, "| %s", spread(overSeeds(p, m)))
			}
			b.Logf("%-19s%s", p.name, row.String())
		})
	}
}

// overSeeds runs the seeds in parallel. The runs share no state.
func overSeeds(p policy, m metric) []float64 {
	values := make([]float64, 5)
	var wg sync.WaitGroup
	for i := range values {
		wg.Go(func() { values[i] = m.of(p, uint64(i)+1) })
	}
	wg.Wait()
	slices.Sort(values)
	return values
}

// spread formats the smallest, the median and the largest value.
func spread(sorted []float64) string {
	format := "%4.2f %4.2f %5.2f"
	if sorted[0] >= 100 {
		format = "%4.0f %4.0f %5.0f"
	}
	return fmt.Sprintf(format+" ", sorted[0], sorted[len(sorted)/2], sorted[len(sorted)-1])
}

// TestGrant_DefaultPolicyTargets checks the targets of the default policy in virtual time,
// for one seed: short work is not slowed much by long work or by one slow runner in nine,
// and goodput stays high at 1.2 times and three times the capacity.
func TestGrant_DefaultPolicyTargets(t *testing.T) {
	is := is.New(t)
	p := policies()[0]
	base := shortP99(p, 1, 0.4, nil)
	withLong := shortP99(p, 1, 0.4, func(c *granttest.Config) { c.Workloads = append(c.Workloads, granttest.LongWork()) })
	is.True(withLong <= 1.5*base)
	is.True(shortP99(p, 1, 0.5, granttest.OneSlowRunner) <= 1.5*shortP99(p, 1, 0.5, nil))
	peak, triplePeak := goodput(p, 1, 1.2, ""), goodput(p, 1, 3, "")
	is.True(peak >= 0.95)
	is.True(triplePeak >= peak-0.01)
	is.Equal(peak, goodput(p, 1, 1.2, "")) // the same seed gives the same run
}
