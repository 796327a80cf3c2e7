package loadgen

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	minMicros         = 1
	maxMicros         = int64(time.Hour / time.Microsecond)
	significantDigits = 3
	maxExamples       = 10 // lost or wrong results listed in a report
)

// Latency is the summary of a latency histogram.
type Latency struct {
	Count int64         `json:"count"`
	P50   time.Duration `json:"p50_ns"`
	P95   time.Duration `json:"p95_ns"`
	P99   time.Duration `json:"p99_ns"`
	P999  time.Duration `json:"p999_ns"`
	Max   time.Duration `json:"max_ns"`
}

// Share is a fraction: Part of Whole.
type Share struct {
	Part  int `json:"part"`
	Whole int `json:"whole"`
}

// Percent returns the share in percent; 0 if Whole is 0.
func (s Share) Percent() float64 {
	if s.Whole == 0 {
		return 0
	}
	return 100 * float64(s.Part) / float64(s.Whole)
}

func (s *Share) add(part bool) {
	s.Whole++
	if part {
		s.Part++
	}
}

// Report holds the outcomes of a run and its five measures: cold start, idle
// accelerators, load peaks (the crest), short requests behind long ones, and the tails
// that slow upstreams cause.
type Report struct {
	Scheduled int             `json:"scheduled"`
	Outcomes  map[Outcome]int `json:"outcomes"`
	Refusals  map[string]int  `json:"refusals"` // by error kind
	Late      int             `json:"late"`     // complete, but past the deadline
	Resent    int             `json:"resent"`   // keyed requests sent more than once
	// Unaccounted requests have no outcome, which is a fault of the generator.
	Unaccounted int      `json:"unaccounted"`
	Examples    []string `json:"examples,omitempty"` // lost and wrong results

	// ColdStart is the time to the first token of requests for a cold model.
	ColdStart Latency `json:"cold_start"`
	// Idle is the idle accelerator time, if runners were sampled.
	Idle AcceleratorUsage `json:"idle"`
	// Crest is the share of requests arriving in the crest that completed in time.
	Crest Share `json:"crest"`
	// CrestFirstToken is the time to the first token of requests arriving in the crest.
	CrestFirstToken Latency `json:"crest_first_token"`
	// ShortFree is the time to the first token of short requests, cold ones excluded,
	// without a long request open on their model.
	ShortFree Latency `json:"short_free"`
	// ShortBehindLong is the same with a long request open on their model.
	ShortBehindLong Latency `json:"short_behind_long"`
	// WarmFirstToken is the time to the first token of short requests, cold ones excluded.
	// Its tail shows slow upstreams.
	WarmFirstToken Latency `json:"warm_first_token"`
	// LongestGap is the longest time between two tokens of each stream, cold ones excluded.
	// Its tail shows slow upstreams.
	LongestGap Latency `json:"longest_gap"`

	Workloads map[string]*WorkloadReport `json:"works"`
}

// WorkloadReport holds the outcomes of one kind of request.
type WorkloadReport struct {
	Outcomes map[Outcome]int `json:"outcomes"`
	InTime   Share           `json:"in_time"` // completed within the deadline
	Total    Latency         `json:"total"`   // of completed requests
}

// histogram records durations in microseconds, limited to minMicros and maxMicros.
type histogram struct{ h *hdrhistogram.Histogram }

func newHistogram() histogram {
	return histogram{hdrhistogram.New(minMicros, maxMicros, significantDigits)}
}

func (h histogram) record(d time.Duration) {
	_ = h.h.RecordValue(min(max(d.Microseconds(), minMicros), maxMicros))
}

func (h histogram) latency() Latency {
	at := func(q float64) time.Duration {
		return time.Duration(h.h.ValueAtQuantile(q)) * time.Microsecond
	}
	return Latency{
		Count: h.h.TotalCount(), P50: at(50), P95: at(95), P99: at(99), P999: at(99.9),
		Max: time.Duration(h.h.Max()) * time.Microsecond,
	}
}

// reportBuilder aggregates results into a report.
type reportBuilder struct {
	report                                                         *Report
	coldStart, crestFirst, shortFree, shortBehind, warmFirst, gaps histogram
	totals                                                         map[string]histogram
}

func newReport(arrivals []*Arrival, results []*Result) *Report {
	b := &reportBuilder{
		report: &Report{
			Scheduled: len(arrivals), Outcomes: map[Outcome]int{}, Refusals: map[string]int{}, Workloads: map[string]*WorkloadReport{},
		},
		coldStart: newHistogram(), crestFirst: newHistogram(), shortFree: newHistogram(), shortBehind: newHistogram(),
		warmFirst: newHistogram(), gaps: newHistogram(), totals: map[string]histogram{},
	}
	for _, r := range results {
		if r == nil || r.Outcome == "" {
			b.report.Unaccounted++
			continue
		}
		b.addResult(r)
	}
	return b.build()
}

func (b *reportBuilder) addResult(r *Result) {
	report, a := b.report, r.Arrival
	report.Outcomes[r.Outcome]++
	w := report.Workloads[a.Workload.Name]
	if w == nil {
		w = &WorkloadReport{Outcomes: map[Outcome]int{}}
		report.Workloads[a.Workload.Name] = w
		b.totals[a.Workload.Name] = newHistogram()
	}
	w.Outcomes[r.Outcome]++
	inTime := r.Outcome == OutcomeWhole && !r.Late
	w.InTime.add(inTime)
	if a.InCrest {
		report.Crest.add(inTime)
	}
	if r.SendCount > 1 {
		report.Resent++
	}
	switch r.Outcome {
	case OutcomeRefused:
		report.Refusals[r.Kind]++
	case OutcomeLost, OutcomeWrong:
		if len(report.Examples) < maxExamples {
			report.Examples = append(report.Examples, fmt.Sprintf("%s %d %s: %s", r.Outcome, a.Number, a.Workload.Name, r.Detail))
		}
	case OutcomeWhole:
		b.addCompleted(r)
	}
}

func (b *reportBuilder) addCompleted(r *Result) {
	a := r.Arrival
	b.totals[a.Workload.Name].record(r.Total)
	if r.Late {
		b.report.Late++
	}
	if r.FirstToken == 0 {
		return
	}
	if a.InCrest {
		b.crestFirst.record(r.FirstToken)
	}
	if a.ColdModel {
		b.coldStart.record(r.FirstToken)
		return
	}
	b.gaps.record(r.MaxGap)
	if a.Workload.Long {
		return // its class may wait behind short requests
	}
	b.warmFirst.record(r.FirstToken)
	if r.BehindLong {
		b.shortBehind.record(r.FirstToken)
	} else {
		b.shortFree.record(r.FirstToken)
	}
}

func (b *reportBuilder) build() *Report {
	r := b.report
	r.ColdStart, r.CrestFirstToken = b.coldStart.latency(), b.crestFirst.latency()
	r.ShortFree, r.ShortBehindLong = b.shortFree.latency(), b.shortBehind.latency()
	r.WarmFirstToken, r.LongestGap = b.warmFirst.latency(), b.gaps.latency()
	for name, w := range r.Workloads {
		w.Total = b.totals[name].latency()
	}
	return r
}

// FailureReason returns why the run failed, or an empty string. A run fails if a request is
// unaccounted for, if an answer is wrong, or if more than allowLost answers are lost. Runs
// that kill processes allow some losses.
func (r *Report) FailureReason(allowLost int) string {
	switch {
	case r.Unaccounted > 0:
		return fmt.Sprintf("%d requests are unaccounted for", r.Unaccounted)
	case r.Outcomes[OutcomeWrong] > 0:
		return fmt.Sprintf("%d answers are wrong", r.Outcomes[OutcomeWrong])
	case r.Outcomes[OutcomeLost] > allowLost:
		return fmt.Sprintf("%d answers are lost, %d are allowed", r.Outcomes[OutcomeLost], allowLost)
	}
	return ""
}

// WriteJSON writes the report as one JSON document.
func (r *Report) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(r)
}

// WriteTable writes the outcomes and the five measures as a text table.
func (r *Report) WriteTable(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	p := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) }
	p("requests\t%d scheduled\t%d whole\t%d refused\t%d lost\t%d wrong\t%d unsent\t%d unaccounted",
		r.Scheduled, r.Outcomes[OutcomeWhole], r.Outcomes[OutcomeRefused], r.Outcomes[OutcomeLost], r.Outcomes[OutcomeWrong], r.Outcomes[OutcomeUnsent], r.Unaccounted)
	p("late\t%d past their deadline\t%d sent again", r.Late, r.Resent)
	for _, kind := range slices.Sorted(maps.Keys(r.Refusals)) {
		p("refused\t%s\t%d", kind, r.Refusals[kind])
	}
	for _, e := range r.Examples {
		p("example\t%s", e)
	}
	p("")
	p("measure\tcount\tp50\tp95\tp99\tp99.9\tmax")
	row := func(name string, l Latency) {
		p("%s\t%d\t%s\t%s\t%s\t%s\t%s", name, l.Count, formatMillis(l.P50), formatMillis(l.P95), formatMillis(l.P99), formatMillis(l.P999), formatMillis(l.Max))
	}
	row("1 cold start, first token", r.ColdStart)
	if r.Idle.Sampled {
		p("2 idle accelerator\t%.4f h of %.4f h held", r.Idle.IdleHours(), r.Idle.HeldTime.Hours())
	} else {
		p("2 idle accelerator\tnot measured: no upstreams were named")
	}
	p("3 crest, whole in time\t%.2f%% of %d", r.Crest.Percent(), r.Crest.Whole)
	row("3 crest, first token", r.CrestFirstToken)
	row("4 short work, no long beside it", r.ShortFree)
	row("4 short work behind long", r.ShortBehindLong)
	row("5 warm short, first token", r.WarmFirstToken)
	row("5 longest gap in a stream", r.LongestGap)
	p("")
	p("work\tin time\tp50\tp95\tp99\tp99.9\tmax")
	for _, name := range slices.Sorted(maps.Keys(r.Workloads)) {
		l := r.Workloads[name].Total
		p("%s\t%.2f%% of %d\t%s\t%s\t%s\t%s\t%s", name, r.Workloads[name].InTime.Percent(), r.Workloads[name].InTime.Whole,
			formatMillis(l.P50), formatMillis(l.P95), formatMillis(l.P99), formatMillis(l.P999), formatMillis(l.Max))
	}
	return w.Flush()
}

func formatMillis(d time.Duration) string {
	return fmt.Sprintf("%.1fms", float64(d.Microseconds())/1000)
}
