package opscli

import (
	"encoding/json"
	"os"

	"github.com/pkg/errors"

	"gentiankeel/internal/settings"
	"gentiankeel/internal/spec"
)

type configCmd struct {
	Check checkCmd `cmd:"" help:"Check an applied file, or a settings file with --settings."`
}

type checkCmd struct {
	File     string `arg:"" type:"existingfile" help:"File to check."`
	Settings bool   `help:"The file holds the daemon's settings."`
}

func (c *checkCmd) Run(e *env) error {
	if c.Settings {
		s, err := settings.Load(c.File)
		if err != nil {
			return err
		}
		return e.printOK(map[string]any{"file": c.File, "node": s.Node.ID, "ok": true})
	}
	data, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	s, err := spec.Parse(data)
	if err != nil {
		return errors.Wrap(err, c.File)
	}
	return e.printOK(map[string]any{"file": c.File, "version": s.Version, "digest": spec.Digest(data),
		"models": len(s.Models), "adapters": len(s.Adapters), "services": len(s.Services), "ok": true})
}

func (e *env) printOK(fields map[string]any) error {
	if e.cli.Output == "json" {
		return json.NewEncoder(e.out).Encode(fields)
	}
	e.printf("%s: ok\n", fields["file"])
	return nil
}
