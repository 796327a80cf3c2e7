// Command gentiankeel-load sends the synthetic load of one user to entries and prints a
// report with five measures. It exits with status 1 if requests are unaccounted for, or if
// answers are wrong or lost.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"

	"gentiankeel/internal/loadgen"
	"gentiankeel/internal/spec"
	"gentiankeel/internal/standin"
)

type flags struct {
	Targets     []string      `help:"Entries, host:port." required:""`
	Spec        string        `help:"Applied file whose models are called." type:"existingfile" required:""`
	Mix         string        `help:"User whose work is sent." enum:"kestrel-fold,topper-trial" default:"kestrel-fold"`
	Seed        uint64        `help:"Seed of all chance." default:"1"`
	Duration    time.Duration `help:"Time in which requests arrive." default:"30s"`
	Requests    int           `help:"Most requests; 0 takes the tool's own bound." default:"0"`
	Rate        float64       `help:"Mean arrivals a second outside the crest." default:"20"`
	CrestAt     time.Duration `help:"Start of the crest." default:"10s"`
	CrestFor    time.Duration `help:"Length of the crest." default:"5s"`
	CrestFactor float64       `help:"The rate in the crest is this many times higher; 1: no crest." default:"5"`
	WakeEvery   time.Duration `help:"Mean time between bursts for one model; 0: none." default:"3s"`
	WakeSize    int           `help:"Requests of such a burst." default:"12"`
	WakeSpan    time.Duration `help:"Time in which they come." default:"200ms"`
	ColdAfter   time.Duration `help:"Quiet span after which a model counts as cold." default:"1m"`
	Caller      string        `help:"Caller named in X-Caller." default:"load"`
	TokenFile   string        `help:"File with the caller's bearer token." type:"existingfile" optional:""`
	Upstreams   []string      `help:"Runners to sample for idle time, host:port."`
	MaxOpen     int           `help:"Requests open at once; more are not sent." default:"4096"`
	AllowLost   int           `help:"Lost answers that do not fail the run." default:"0"`
	Verify      bool          `help:"Check each answer's text; the upstreams must be stand-ins."`
	JSON        string        `help:"File for the report as JSON." name:"json" optional:""`
}

func main() {
	var f flags
	kong.Parse(&f, kong.Name("gentiankeel-load"), kong.Description("Open-loop load for entries."))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, &f); err != nil {
		fmt.Fprintln(os.Stderr, "load:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, f *flags) error {
	arrivals, err := buildSchedule(f)
	if err != nil {
		return err
	}
	opts := loadgen.Options{Targets: f.Targets, Upstreams: f.Upstreams, Caller: f.Caller, MaxOpen: f.MaxOpen}
	if f.TokenFile != "" {
		token, err := os.ReadFile(f.TokenFile)
		if err != nil {
			return errors.Wrap(err, "reading the token")
		}
		opts.Token = strings.TrimSpace(string(token))
	}
	if f.Verify {
		opts.ExpectedText = standin.Text
	}
	report, err := loadgen.Run(ctx, opts, arrivals)
	if err != nil {
		return err
	}
	return writeReport(f, report)
}

func buildSchedule(f *flags) ([]*loadgen.Arrival, error) {
	data, err := os.ReadFile(f.Spec)
	if err != nil {
		return nil, errors.Wrap(err, "reading the applied file")
	}
	parsed, err := spec.Parse(data)
	if err != nil {
		return nil, errors.Wrap(err, f.Spec)
	}
	mix, err := loadgen.MixByName(f.Mix)
	if err != nil {
		return nil, err
	}
	return loadgen.Schedule(loadgen.Shape{
		Seed: f.Seed, Duration: f.Duration, Requests: f.Requests, Rate: f.Rate,
		CrestAt: f.CrestAt, CrestFor: f.CrestFor, CrestFactor: f.CrestFactor,
		WakeEvery: f.WakeEvery, WakeSize: f.WakeSize, WakeSpan: f.WakeSpan, ColdAfter: f.ColdAfter,
	}, mix, parsed, len(f.Targets))
}

func writeReport(f *flags, report *loadgen.Report) error {
	if err := report.WriteTable(os.Stdout); err != nil {
		return errors.Wrap(err, "writing the table")
	}
	if f.JSON != "" {
		out, err := os.Create(f.JSON)
		if err != nil {
			return errors.Wrap(err, "creating the report")
		}
		if err := report.WriteJSON(out); err != nil {
			return errors.Wrap(err, "writing the report")
		}
		if err := out.Close(); err != nil {
			return errors.Wrap(err, "writing the report")
		}
	}
	if reason := report.FailureReason(f.AllowLost); reason != "" {
		return errors.New(reason)
	}
	return nil
}
