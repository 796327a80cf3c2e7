package granttest

import (
	"fmt"
	"time"

	"gentiankeel/internal/grant"
	"gentiankeel/internal/wire"
)

// Short names of the classes.
const (
	interactive = wire.Class_CLASS_INTERACTIVE
	normal      = wire.Class_CLASS_NORMAL
	batch       = wire.Class_CLASS_BATCH
)

// modelCount is the number of models of a Fleet.
const modelCount = 6

// Fleet returns a configuration of nine runners of 16 slots with six models, each on three
// runners. It has no workloads.
func Fleet(s grant.Settings, seed uint64) Config {
	c := Config{
		Seed: seed, Settings: s, Duration: 240 * time.Second, Warmup: 60 * time.Second,
		Runners: 9, Slots: 16, FirstToken: 150 * time.Millisecond, TokenGap: 25 * time.Millisecond, Slowdown: 0.04,
	}
	for i := range c.Runners {
		c.Models = append(c.Models, []string{modelName(i), modelName(i + 3)})
	}
	return c
}

func modelName(i int) string { return fmt.Sprint("m", i%modelCount) }

// AllModels returns the names of the models of a Fleet.
func AllModels() []string {
	var list []string
	for i := range modelCount {
		list = append(list, modelName(i))
	}
	return list
}

// ShortWork returns a workload of short interactive answers that uses a share of the
// capacity.
func ShortWork(c Config, share float64) Workload {
	return Workload{
		Name: "short", Models: AllModels(), Callers: 6, Class: interactive, Rate: share * c.Capacity(80),
		Tokens: 80, MaxTokens: 256, Deadline: 15 * time.Second,
	}
}

// LongWork returns a workload of long batch answers that would fill every runner.
func LongWork() Workload {
	return Workload{
		Name: "long", Models: AllModels(), Callers: 2, Class: batch, Rate: 1.2,
		Tokens: 2000, MaxTokens: 4096, Deadline: 10 * time.Minute,
	}
}

// PeakLoad returns a mix of interactive, normal and batch workloads at a share of the capacity:
// a quarter of the requests each for the first two, half for the last.
func PeakLoad(c Config, share float64) []Workload {
	rate := share * c.Capacity(80) / 4
	workload := func(name string, class wire.Class, rate float64, deadline time.Duration) Workload {
		return Workload{
			Name: name, Models: AllModels(), Callers: 4, Class: class, Rate: rate, Tokens: 80, MaxTokens: 256,
			Deadline: deadline,
		}
	}
	return []Workload{
		workload("premium", interactive, rate, 10*time.Second),
		workload("translations", normal, rate, 15*time.Second),
		workload("bulk", batch, 2*rate, time.Minute),
	}
}

// OneSlowRunner makes one runner in nine slow from 30 s until the end of the run.
func OneSlowRunner(c *Config) {
	c.SlowPhases = []SlowPhase{{Runner: 4, From: 30 * time.Second, Until: c.Duration, Factor: 8}}
}

// RotateSlowRunner makes one runner after another slow, for ten seconds in every forty.
func RotateSlowRunner(c *Config) {
	for i := range 6 {
		from := time.Duration(40*i+20) * time.Second
		c.SlowPhases = append(c.SlowPhases, SlowPhase{
			Runner: (i * 4) % 9, From: from, Until: from + 10*time.Second, Factor: 8,
		})
	}
}

// OverlapModels places nine models on three runners each so that no two runners hold the same
// models, and makes the first workload request all nine. Load can thus shift from a slow
// runner to all others step by step.
func OverlapModels(c *Config) {
	name := func(i int) string { return fmt.Sprint("m", i%c.Runners) }
	c.Models = nil
	c.Workloads[0].Models = nil
	for i := range c.Runners {
		c.Models = append(c.Models, []string{name(i), name(i + 1), name(i + 3)})
		c.Workloads[0].Models = append(c.Workloads[0].Models, name(i))
	}
}
