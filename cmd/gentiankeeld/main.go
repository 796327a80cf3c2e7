// Command gentiankeeld is the serving daemon. Its settings file selects its roles.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"gentiankeel/internal/daemon"
	"gentiankeel/internal/logring"
	"gentiankeel/internal/settings"
	"gentiankeel/internal/telemetry"
	"gentiankeel/platform"
)

type cli struct {
	Config string `required:"" type:"existingfile" env:"GENTIANKEEL_CONFIG" help:"Settings file (TOML)."`
	Check  bool   `help:"Check the settings and exit."`
}

func main() {
	var c cli
	kong.Parse(&c, kong.Name("gentiankeeld"),
		kong.Description("The gentiankeel serving daemon. SIGTERM shuts it down gracefully."))
	if err := run(c); err != nil {
		fmt.Fprintf(os.Stderr, "gentiankeeld: %v\n", err)
		os.Exit(1)
	}
}

func run(c cli) error {
	cfg, err := settings.Load(c.Config)
	if err != nil {
		return err
	}
	if c.Check {
		fmt.Printf("%s: ok\n", c.Config)
		return nil
	}
	var out io.Writer = os.Stderr
	if cfg.Node.LogTo == "stdout" {
		logWriter := logring.New(os.Stdout, logring.DefaultBufferBytes, logring.DefaultFlushInterval)
		defer logWriter.Close()
		out = logWriter
	}
	log, err := telemetry.NewLogger(out, cfg.Node.LogLevel, cfg.Node.ID)
	if err != nil {
		return err
	}
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return daemon.Run(ctx, daemon.Options{
		Settings: cfg, SettingsPath: c.Config, Logger: log, Dialects: platform.Dialects(), Reload: reload,
	})
}
