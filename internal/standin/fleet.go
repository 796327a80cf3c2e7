package standin

import (
	"context"
	stderrors "errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"gentiankeel/internal/spec"
	"gentiankeel/internal/upstream"
	"gentiankeel/internal/wire"
)

// Fleet holds the command line settings of a process that hosts several upstreams.
type Fleet struct {
	Entries       []string      `help:"Entries that take announcements, host:port." required:""`
	Host          string        `help:"IP number to listen on." default:"127.0.0.1"`
	Port          int           `help:"First port; 0 takes free ones." default:"0"`
	Zones         []string      `help:"Availability zones, taken in turn." default:"tay-a,tay-b,tay-c"`
	Cell          string        `help:"Cell of the upstreams." default:"tay"`
	Prefix        string        `help:"Prefix of the upstreams' names." default:"runner"`
	Runners       int           `help:"Model runners to host." default:"9"`
	Services      []string      `help:"Desk services to host, one upstream each."`
	MemoryMiB     uint64        `help:"Accelerator memory of a runner, in MiB." name:"memory-mib" default:"81920"`
	Slots         int           `help:"Requests that a runner runs at once." default:"8"`
	MaxPerSecond  float64       `help:"Requests a second that a runner announces to take; 0: any number."`
	IgnoreFencing int           `help:"Every n-th runner ignores fencing numbers; 0: none." default:"3"`
	Spec          string        `help:"Applied file whose models' checkpoints are spread over the tiers." type:"existingfile" optional:""`
	Seed          uint64        `help:"Seed of all chance." default:"1"`
	SlowEvery     time.Duration `help:"Mean time between slow phases; 0: none." default:"0s"`
	SlowFor       time.Duration `help:"Mean length of a slow phase." default:"2s"`
}

// Run hosts the upstreams until ctx ends. They then announce that they are leaving,
// finish their requests and stop.
func (f *Fleet) Run(ctx context.Context, log *slog.Logger) error {
	servers, err := f.startAll(log)
	defer func() {
		for _, s := range servers {
			s.Close()
		}
	}()
	if err != nil {
		return err
	}
	<-ctx.Done()
	log.Info("Stopping upstreams.", "upstreams", len(servers))
	return leaveAll(servers)
}

func leaveAll(servers []*Server) error {
	errs := make([]error, len(servers))
	var wg sync.WaitGroup
	for i, s := range servers {
		wg.Go(func() { errs[i] = s.Leave(context.Background()) })
	}
	wg.Wait()
	return stderrors.Join(errs...)
}

func (f *Fleet) startAll(log *slog.Logger) ([]*Server, error) {
	models, err := f.loadModels()
	if err != nil {
		return nil, err
	}
	var servers []*Server
	for i, o := range f.upstreamOptions(log, models) {
		if f.Port > 0 {
			o.Listen = net.JoinHostPort(f.Host, strconv.Itoa(f.Port+i))
		}
		s, err := New(o)
		if err != nil {
			return servers, errors.Wrap(err, "starting the upstreams")
		}
		log.Info("Upstream started.", "upstream", o.ID, "address", s.Addr(), "zone", o.Zone, "service", o.Service)
		servers = append(servers, s)
	}
	return servers, nil
}

func (f *Fleet) loadModels() ([]*wire.Model, error) {
	if f.Spec == "" {
		return nil, nil
	}
	data, err := os.ReadFile(f.Spec)
	if err != nil {
		return nil, errors.Wrap(err, "reading the applied file")
	}
	parsed, err := spec.Parse(data)
	return parsed.GetModels(), errors.Wrap(err, f.Spec)
}

func (f *Fleet) upstreamOptions(log *slog.Logger, models []*wire.Model) []Options {
	rng := rand.New(rand.NewPCG(f.Seed, 0))
	store := NewWeightStore(DefaultStoreLoadsPerSecond, DefaultStoreConcurrency)
	adapters := NewAdapterPool(DefaultAdapterConcurrency)
	latency := DefaultLatency()
	latency.SlowEvery, latency.SlowFor = f.SlowEvery, f.SlowFor
	var opts []Options
	for i := range f.Runners + len(f.Services) {
		o := Options{
			Listen: net.JoinHostPort(f.Host, "0"), Zone: f.Zones[i%len(f.Zones)], Cell: f.Cell,
			Entries: f.Entries, Slots: f.Slots, MaxPerSecond: f.MaxPerSecond, Seed: f.Seed + uint64(i), Latency: latency,
			Store: store, Adapters: adapters, Log: log, ChecksFencing: true,
		}
		if i < f.Runners {
			o.ID = fmt.Sprintf("%s-%02d", f.Prefix, i)
			o.MemoryMiB = f.MemoryMiB
			o.ChecksFencing = f.IgnoreFencing <= 0 || i%f.IgnoreFencing != f.IgnoreFencing-1
			o.Checkpoints = spreadCheckpoints(rng, models)
		} else {
			o.Service = f.Services[i-f.Runners]
			o.ID = fmt.Sprintf("%s-%02d", o.Service, i-f.Runners)
		}
		opts = append(opts, o)
	}
	return opts
}

// spreadCheckpoints places each model's checkpoint at random: 10 % in host memory, 30 %
// on disk, the rest remote.
func spreadCheckpoints(rng *rand.Rand, models []*wire.Model) []upstream.Checkpoint {
	var checkpoints []upstream.Checkpoint
	for _, m := range models {
		c := upstream.Checkpoint{Model: m.Name, Version: m.Version, Tier: "memory"}
		switch share := rng.Float64(); {
		case share < 0.1:
		case share < 0.4:
			c.Tier = "disk"
		default:
			continue
		}
		checkpoints = append(checkpoints, c)
	}
	return checkpoints
}
