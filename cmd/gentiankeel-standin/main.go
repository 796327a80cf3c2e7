// Command gentiankeel-standin runs stand-ins for the platform's upstreams, for demos and
// tests on a single machine.
package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"gentiankeel/internal/standin"
)

func main() {
	var f standin.Fleet
	kong.Parse(&f, kong.Name("gentiankeel-standin"),
		kong.Description("Stand-ins for model runners and desk services."))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	log := slog.New(slog.NewTextHandler(os.Stderr, nil)).With("part", "standin")
	if err := f.Run(ctx, log); err != nil {
		log.Error("Running the stand-ins failed.", "err", err)
		os.Exit(1)
	}
}
