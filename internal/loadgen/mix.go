// Package loadgen generates open-loop load on entries, modelled on the two users, and
// accounts for the final answer of every request.
package loadgen

import (
	"time"

	"github.com/pkg/errors"
)

// Workload is one kind of request in a mix.
type Workload struct {
	Name     string
	Weight   float64 // relative to the other weights of the mix
	Class    string  // X-Priority: interactive, normal or batch
	Deadline time.Duration

	// Generation.
	Models       []string // model names, or prefixes followed by "*"
	AdapterShare float64  // probability of naming an adapter, if the model has any
	MinTokens    int
	MaxTokens    int
	Long         bool // takes many times longer than other requests

	// Calls of a plain service; Models is empty then.
	Service string
	Method  string
	Path    string
	Keyed   bool // carries an Idempotency-Key and is resent if its answer is lost
}

// Mix is the set of request kinds of one user.
type Mix struct {
	Name      string
	Workloads []Workload
}

// KestrelFold returns the mix of the user Kestrel Fold Messages.
func KestrelFold() Mix {
	return Mix{Name: "kestrel-fold", Workloads: []Workload{
		{Name: "bulk-fortunes", Weight: 30, Class: "normal", Deadline: 30 * time.Second,
			Models: []string{"fortune-bulk", "slip-*"}, AdapterShare: 0.3, MinTokens: 16, MaxTokens: 48},
		{Name: "premium-batch", Weight: 2, Class: "batch", Deadline: 5 * time.Minute, Long: true,
			Models: []string{"fortune-premium", "occasion-*"}, AdapterShare: 0.5, MinTokens: 600, MaxTokens: 1500},
		{Name: "premium-proof", Weight: 6, Class: "interactive", Deadline: 20 * time.Second,
			Models: []string{"fortune-premium", "occasion-*"}, AdapterShare: 0.5, MinTokens: 12, MaxTokens: 32},
		{Name: "translation", Weight: 25, Class: "interactive", Deadline: 20 * time.Second,
			Models: []string{"tin-translate", "tin-translate-*"}, AdapterShare: 0.1, MinTokens: 8, MaxTokens: 24},
		{Name: "print-booking", Weight: 4, Class: "normal", Deadline: 20 * time.Second,
			Service: "print-orders", Method: "POST", Path: "/jobs", Keyed: true},
		{Name: "proof-status", Weight: 8, Class: "interactive", Deadline: 10 * time.Second,
			Service: "proof-status", Method: "GET", Path: "/proofs/7"},
	}}
}

// TopperTrial returns the mix of the user Trial Bedding Office.
func TopperTrial() Mix {
	return Mix{Name: "topper-trial", Workloads: []Workload{
		{Name: "diary-summary", Weight: 25, Class: "interactive", Deadline: 30 * time.Second,
			Models: []string{"diary-summary", "ward-*", "scale-*"}, AdapterShare: 0.3, MinTokens: 40, MaxTokens: 120},
		{Name: "reply-draft", Weight: 25, Class: "normal", Deadline: 20 * time.Second,
			Models: []string{"reply-draft", "plain-language-*"}, AdapterShare: 0.3, MinTokens: 24, MaxTokens: 80},
		{Name: "month-of-diaries", Weight: 2, Class: "batch", Deadline: 5 * time.Minute, Long: true,
			Models: []string{"diary-month", "diary-summary"}, AdapterShare: 0.3, MinTokens: 800, MaxTokens: 2000},
		{Name: "hotline", Weight: 10, Class: "interactive", Deadline: 10 * time.Second,
			Models: []string{"hotline-triage"}, MinTokens: 8, MaxTokens: 24},
		{Name: "topper-dispatch", Weight: 4, Class: "normal", Deadline: 20 * time.Second,
			Service: "topper-dispatch", Method: "POST", Path: "/dispatches", Keyed: true},
		{Name: "stock-lookup", Weight: 8, Class: "interactive", Deadline: 10 * time.Second,
			Service: "stock-lookup", Method: "GET", Path: "/stock/90x200"},
	}}
}

// MixByName returns the mix with the name, or an error if there is none.
func MixByName(name string) (Mix, error) {
	for _, m := range []Mix{KestrelFold(), TopperTrial()} {
		if m.Name == name {
			return m, nil
		}
	}
	return Mix{}, errors.Errorf("no mix %q", name)
}
