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
	lowestMicros  = 1
	highestMicros = int64(time.Hour / time.Microsecond)
	digits        = 3
	maxExamples   = 10 // results spelled out in a report, of each bad outcome
)

// Latency summarises a histogram.
type Latency struct {
	Count int64         `json:"count"`
	P50   time.Duration `json:"p50_ns"`
	P95   time.Duration `json:"p95_ns"`
	P99   time.Duration `json:"p99_ns"`
	P999  time.Duration `json:"p999_ns"`
	Max   time.Duration `json:"max_ns"`
}

// Share is a part of a count.
type Share struct {
	Part  int `json:"part"`
	Whole int `json:"whole"`
}

// Percent returns the share in percent, 0 of nothing.
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

// Report holds the final answers of a run and the five measures.
type Report struct {
	Scheduled int             `json:"scheduled"`
	Outcomes  map[Outcome]int `json:"outcomes"`
	Refusals  map[string]int  `json:"refusals"` // by error kind
	Late      int             `json:"late"`     // whole, but past the deadline
	Resent    int             `json:"resent"`   // keyed requests sent more than once
	// Unaccounted requests have no outcome. There must be none.
	Unaccounted int      `json:"unaccounted"`
	Examples    []string `json:"examples,omitempty"` // lost and wrong ones

	// ColdStart is the time to the first token of requests that met a cold model.
	ColdStart Latency `json:"cold_start"`
	// Idle holds the idle accelerator time, where runners were sampled.
	Idle Idle `json:"idle"`
	// Crest is the share answered whole in time of those that came in the crest, and
	// CrestFirst their time to the first token.
	Crest      Share   `json:"crest"`
	CrestFirst Latency `json:"crest_first_token"`
	// ShortFree and ShortBehind are the times to the first token of short requests
	// without and with a long request open on their model; cold ones are left out.
	ShortFree   Latency `json:"short_free"`
	ShortBehind Latency `json:"short_behind_long"`
	// Warm is the time to the first token of short requests, and Gap the longest pause
	// in any stream, cold ones left out: their tails show slow upstreams.
	Warm Latency `json:"warm_first_token"`
	Gap  Latency `json:"longest_gap"`

	Works map[string]*WorkReport `json:"works"`
}

// WorkReport holds the answers of one kind of work.
type WorkReport struct {
	Outcomes map[Outcome]int `json:"outcomes"`
	InTime   Share           `json:"in_time"`
	Total    Latency         `json:"total"`
}

// histogram records durations in microseconds.
type histogram struct{ h *hdrhistogram.Histogram }

func newHistogram() histogram {
	return histogram{hdrhistogram.New(lowestMicros, highestMicros, digits)}
}

func (h histogram) record(d time.Duration) {
	_ = h.h.RecordValue(min(max(d.Microseconds(), lowestMicros), highestMicros))
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

// tally gathers results into histograms.
type tally struct {
	report                                 *Report
	cold, crest, free, behind, first, gaps histogram
	totals                                 map[string]histogram
}

func newReport(arrivals []*Arrival, results []*Result) *Report {
	t := &tally{
		report: &Report{
			Scheduled: len(arrivals), Outcomes: map[Outcome]int{}, Refusals: map[string]int{}, Works: map[string]*WorkReport{},
		},
		cold: newHistogram(), crest: newHistogram(), free: newHistogram(), behind: newHistogram(),
		first: newHistogram(), gaps: newHistogram(), totals: map[string]histogram{},
	}
	for _, r := range results {
		if r == nil || r.Outcome == "" {
			t.report.Unaccounted++
			continue
		}
		t.add(r)
	}
	return t.finish()
}

func (t *tally) add(r *Result) {
	rep, a := t.report, r.Arrival
	rep.Outcomes[r.Outcome]++
	w := rep.Works[a.Work.Name]
	if w == nil {
		w = &WorkReport{Outcomes: map[Outcome]int{}}
		rep.Works[a.Work.Name] = w
		t.totals[a.Work.Name] = newHistogram()
	}
	w.Outcomes[r.Outcome]++
	inTime := r.Outcome == Whole && !r.Late
	w.InTime.add(inTime)
	if a.Crest {
		rep.Crest.add(inTime)
	}
	if r.Sends > 1 {
		rep.Resent++
	}
	switch r.Outcome {
	case Refused:
		rep.Refusals[r.Kind]++
	case Lost, Wrong:
		if len(rep.Examples) < maxExamples {
			rep.Examples = append(rep.Examples, fmt.Sprintf("%s %d %s: %s", r.Outcome, a.Number, a.Work.Name, r.Detail))
		}
	case Whole:
		t.addWhole(r)
	}
}

func (t *tally) addWhole(r *Result) {
	a := r.Arrival
	t.totals[a.Work.Name].record(r.Total)
	if r.Late {
		t.report.Late++
	}
	if r.FirstToken == 0 {
		return
	}
	if a.Crest {
		t.crest.record(r.FirstToken)
	}
	if a.Cold {
		t.cold.record(r.FirstToken)
		return
	}
	t.gaps.record(r.MaxGap)
	if a.Work.Long {
		return // it may wait behind short work, as its class asks
	}
	t.first.record(r.FirstToken)
	if r.BehindLong {
		t.behind.record(r.FirstToken)
	} else {
		t.free.record(r.FirstToken)
	}
}

func (t *tally) finish() *Report {
	r := t.report
	r.ColdStart, r.CrestFirst = t.cold.latency(), t.crest.latency()
	r.ShortFree, r.ShortBehind = t.free.latency(), t.behind.latency()
	r.Warm, r.Gap = t.first.latency(), t.gaps.latency()
	for name, w := range r.Works {
		w.Total = t.totals[name].latency()
	}
	return r
}

// Failed tells why the run must count as failed: a request without a final answer, or
// with another's. Lost answers are allowed up to a number, for runs that end processes.
func (r *Report) Failed(allowLost int) string {
	switch {
	case r.Unaccounted > 0:
		return fmt.Sprintf("%d requests are unaccounted for", r.Unaccounted)
	case r.Outcomes[Wrong] > 0:
		return fmt.Sprintf("%d answers are wrong", r.Outcomes[Wrong])
	case r.Outcomes[Lost] > allowLost:
		return fmt.Sprintf("%d answers are lost, %d are allowed", r.Outcomes[Lost], allowLost)
	}
	return ""
}

// WriteJSON writes the report as one JSON document.
func (r *Report) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(r)
}

// WriteTable writes the answers and the five measures for people.
func (r *Report) WriteTable(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	p := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) }
	p("requests\t%d scheduled\t%d whole\t%d refused\t%d lost\t%d wrong\t%d unsent\t%d unaccounted",
		r.Scheduled, r.Outcomes[Whole], r.Outcomes[Refused], r.Outcomes[Lost], r.Outcomes[Wrong], r.Outcomes[Unsent], r.Unaccounted)
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
		p("%s\t%d\t%s\t%s\t%s\t%s\t%s", name, l.Count, ms(l.P50), ms(l.P95), ms(l.P99), ms(l.P999), ms(l.Max))
	}
	row("1 cold start, first token", r.ColdStart)
	if r.Idle.Sampled {
		p("2 idle accelerator\t%.4f h of %.4f h held", r.Idle.IdleHours(), r.Idle.HeldTime.Hours())
	} else {
		p("2 idle accelerator\tnot measured: no upstreams were named")
	}
	p("3 crest, whole in time\t%.2f%% of %d", r.Crest.Percent(), r.Crest.Whole)
	row("3 crest, first token", r.CrestFirst)
	row("4 short work, no long beside it", r.ShortFree)
	row("4 short work behind long", r.ShortBehind)
	row("5 warm short, first token", r.Warm)
	row("5 longest gap in a stream", r.Gap)
	p("")
	p("work\tin time\tp50\tp95\tp99\tp99.9\tmax")
	for _, name := range slices.Sorted(maps.Keys(r.Works)) {
		l := r.Works[name].Total
		p("%s\t%.2f%% of %d\t%s\t%s\t%s\t%s\t%s", name, r.Works[name].InTime.Percent(), r.Works[name].InTime.Whole,
			ms(l.P50), ms(l.P95), ms(l.P99), ms(l.P999), ms(l.Max))
	}
	return w.Flush()
}

func ms(d time.Duration) string {
	return fmt.Sprintf("%.1fms", float64(d.Microseconds())/1000)
}
