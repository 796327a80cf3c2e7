package pace

import (
	"time"
)

// Start holds the values that an engine's are learned from.
type Start struct {
	EventTime    time.Duration // between two events of a stream that has a runner to itself
	ReadPerToken time.Duration // to read one token of a prompt
	BatchSlope   float64       // share of EventTime that each other request in the batch adds
}

const (
	// engineHalfLife is the half-life of an entry's observations of a service's engines.
	engineHalfLife = 60 * time.Second
	// startGaps is the number of observed gaps that the values in Start count as.
	startGaps = 20
	// startReads is the number of observed first events that Start.ReadPerToken counts as. The tokens that
	// are read for other entries are known with a delay, so a few observations tell little.
	startReads = 15
	// startTokens and startBatch are the points at which the starting values of the two lines hold.
	startTokens, startBatch = 2000, 16
	// maxOff bounds how far learned values are from the starting ones.
	maxOff = 8
	// maxGapRatio bounds an observed gap, in expected ones, so that a runner that stands still for
	// seconds does not count as slow for as long as it takes to forget that.
	maxGapRatio = 5
)

// Engine holds what an entry has learned about the engine of a service, for a runner of average speed.
type Engine struct {
	start  Start
	all    mean
	models map[string]*mean
	batch  line // gap, in gaps of a stream that has the runner to itself, by the number of others
	read   line // time to the first event in seconds, by the prompt tokens ahead and its own
	run    mean // time of whole streams, in predicted ones
	fitted *fitted
}

// fitted holds the values of the two lines until the next observation. They are asked for each runner that a
// request may go to.
type fitted struct {
	slope float64
	first time.Duration
	read  time.Duration
}

// NewEngine returns an Engine that knows the starting values only.
func NewEngine(start Start) *Engine { return &Engine{start: start, models: map[string]*mean{}} }

// EventTime returns the time between two events of a stream of a model that has a runner to itself.
func (e *Engine) EventTime(model string) time.Duration {
	start := e.start.EventTime.Seconds()
	all := e.all.value(start, startGaps)
	if m := e.models[model]; m != nil {
		all = m.value(all, startGaps)
	}
	return seconds(min(max(all, start/maxOff), start*maxOff))
}

// values returns the values of the two lines.
func (e *Engine) values() *fitted {
	if e.fitted != nil {
		return e.fitted
	}
	v := &fitted{slope: e.start.BatchSlope}
	if a, b := e.batch.fit(1, e.start.BatchSlope, startBatch, startGaps); a > 0 {
		v.slope = min(max(b/a, e.start.BatchSlope/maxOff), e.start.BatchSlope*maxOff)
	}
	start := e.start.ReadPerToken.Seconds()
	a, b := e.read.fit(e.start.EventTime.Seconds(), start, startTokens, startReads)
	v.first = seconds(max(a, 0))
	v.read = max(1, seconds(min(max(b, start/maxOff), start*maxOff)))
	e.fitted = v
	return v
}

// BatchSlope returns the share of EventTime that each other request in the batch adds.
func (e *Engine) BatchSlope() float64 { return e.values().slope }

// ReadPerToken returns the time to read one token of a prompt.
func (e *Engine) ReadPerToken() time.Duration { return e.values().read }

// FirstEventTime returns the time to the first event of a stream with a number of prompt tokens ahead of it, its
// own included.
func (e *Engine) FirstEventTime(tokens int) time.Duration {
	return e.values().first + time.Duration(tokens)*e.values().read
}

// Work returns the expected gap between two events beside others, in gaps of a stream that has the runner to
// itself. tokens is the mean of the prompt tokens in prefill at both events.
func (e *Engine) Work(model string, others, tokens int) float64 {
	reading := float64(time.Duration(tokens)*e.ReadPerToken()) / float64(e.EventTime(model))
	return 1 + float64(e.BatchSlope()*float64(max(0, others))) + reading
}

// Gap is the time between two events of a stream.
type Gap struct {
	Time   time.Duration
	Factor float64 // of the runner
	Others int     // requests beside it
	Tokens int     // mean of the prompt tokens in prefill at the two events
}

// ObserveGap learns from a gap and returns it, bounded, with its expected length in relation to
// EventTime. ok is false if the prompts beside it hide the engine's speed.
func (e *Engine) ObserveGap(now Time, model string, g Gap) (gap time.Duration, work float64, ok bool) {
	event := e.EventTime(model)
	work = e.Work(model, g.Others, g.Tokens)
	if work > 2+float64(e.BatchSlope()*float64(g.Others)) {
		return 0, 0, false
	}
	expected := float64(event) * g.Factor * work
	gap = min(g.Time, time.Duration(maxGapRatio*expected))
	undisturbed := gap.Seconds() / (g.Factor * work)
	if e.models[model] == nil {
		e.models[model] = &mean{}
	}
	e.models[model].add(now, undisturbed)
	e.all.add(now, undisturbed)
	if g.Tokens == 0 {
		e.fitted = nil
		e.batch.add(now, float64(g.Others), gap.Seconds()/(g.Factor*event.Seconds()), 1)
	}
	return gap, work, true
}

// ObserveFirstEvent learns from the time to the first event of a stream.
func (e *Engine) ObserveFirstEvent(now Time, took time.Duration, factor float64, tokens int) {
	expected := float64(e.FirstEventTime(tokens)) * factor
	took = min(took, time.Duration(maxGapRatio*expected))
	e.fitted = nil
	x := float64(tokens) / startTokens
	weight := 1 / (1 + float64(x*x)) // the error grows with the tokens, so that a few long prompts would decide
	e.read.add(now, float64(tokens), took.Seconds()/factor, weight)
}

// ObserveRun learns from the time of a whole stream and the one predicted without RunRatio.
func (e *Engine) ObserveRun(now Time, took, predicted time.Duration) {
	if took > 0 && predicted > 0 {
		e.run.add(now, min(max(took.Seconds()/predicted.Seconds(), 1.0/maxGapRatio), maxGapRatio))
	}
}

// RunRatio returns the mean time of whole streams in relation to the one predicted from the state at their start. It
// contains what changed afterwards, as prompts that came later.
func (e *Engine) RunRatio() float64 { return e.run.value(1, startGaps) }

// Confident reports whether enough streams have ended for their predicted times to be relied on.
func (e *Engine) Confident() bool { return e.run.n >= startGaps }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// mean is a mean of decayed observations.
type mean struct {
	n, sum  float64
	updated Time
}

func (m *mean) add(now Time, v float64) {
	d := decay(now-m.updated, engineHalfLife)
	m.n, m.sum, m.updated = float64(m.n*d)+1, float64(m.sum*d)+v, max(m.updated, now)
}

// value returns the mean together with a start that counts as a number of observations.
func (m *mean) value(start, weight float64) float64 {
	return (m.sum + float64(start*weight)) / (m.n + weight)
}

// line is a line fitted to decayed observations.
type line struct {
	n, x, y, xx, xy float64
	updated         Time
}

func (l *line) add(now Time, x, y, weight float64) {
	d := decay(now-l.updated, engineHalfLife)
	l.updated = max(l.updated, now)
	l.n = float64(l.n*d) + weight
	l.x = float64(l.x*d) + float64(weight*x)
	l.y = float64(l.y*d) + float64(weight*y)
	l.xx = float64(l.xx*d) + float64(weight*x*x)
	l.xy = float64(l.xy*d) + float64(weight*x*y)
}

// fit returns the line a + b*x. It starts from the line a0 + b0*x, which counts as half of weight
// observations each at 0 and at x0.
func (l *line) fit(a0, b0, x0, weight float64) (a, b float64) {
	w := weight / 2
	y0 := a0 + float64(b0*x0)
	n := l.n + weight
	x := l.x + float64(w*x0)
	y := l.y + float64(w*a0) + float64(w*y0)
	xx := l.xx + float64(w*x0*x0)
	xy := l.xy + float64(w*x0*y0)
	b = (float64(n*xy) - float64(x*y)) / (float64(n*xx) - float64(x*x))
	a = (y - float64(b*x)) / n
	return a, b
}

// recentHalfLife is the half-life of a runner's short-term observations. Slow phases caused by
// neighbours last 0.6 s.
const recentHalfLife = 500 * time.Millisecond

// Recent tells how a runner has been in the last moment, in relation to its factor, by an entry's own streams.
type Recent struct {
	took, expected float64 // decayed, in seconds
	updated        Time
}

// Add adds a gap and its expected length.
func (r *Recent) Add(now Time, took, expected time.Duration) {
	d := decay(now-r.updated, recentHalfLife)
	r.took, r.expected, r.updated = float64(r.took*d)+took.Seconds(), float64(r.expected*d)+expected.Seconds(), max(r.updated, now)
}

// Ratio returns the time that gaps have taken lately, in expected ones; 1 without observations. prior is
// the length of gaps as expected that it starts from.
func (r *Recent) Ratio(now Time, prior time.Duration) float64 {
	d := decay(now-r.updated, recentHalfLife)
	p := prior.Seconds()
	if p <= 0 {
		return 1
	}
	return (float64(r.took*d) + p) / (float64(r.expected*d) + p)
}
