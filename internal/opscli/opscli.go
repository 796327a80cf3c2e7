// Package opscli implements the operators' command line tool.
package opscli

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// Exit codes of the tool.
const (
	ExitOK          = 0
	ExitUsage       = 1 // wrong arguments, settings or files
	ExitRefused     = 2 // the system refused the call
	ExitUnavailable = 3 // no answer: the outcome is unknown, and the call can be repeated
)

// refusedError reports that the system answered and refused; the exit code is ExitRefused.
type refusedError struct{ text string }

func (e refusedError) Error() string { return e.text }

// CLI defines the commands and flags.
type CLI struct {
	Server    []string      `help:"Operators' addresses of the control VMs." env:"GENTIANKEEL_SERVER" placeholder:"IP:PORT"`
	TokenFile string        `help:"File with the operators' token." env:"GENTIANKEEL_TOKEN_FILE" type:"path"`
	CA        string        `help:"Certificate authority; sets TLS." env:"GENTIANKEEL_CA" type:"path"`
	Output    string        `help:"Output form: ${enum}." enum:"text,json" default:"text" short:"o"`
	Timeout   time.Duration `help:"Longest time for a call." default:"10s"`

	Apply   applyCmd   `cmd:"" help:"Apply a file: as a whole or not at all."`
	Status  statusCmd  `cmd:"" help:"Show members, nodes, leases and what is loaded."`
	History historyCmd `cmd:"" help:"Show accepted and refused files, newest first."`
	Explain explainCmd `cmd:"" help:"Tell why a model is where it is, or what became of a request."`
	Trace   traceCmd   `cmd:"" help:"Follow a request id through the logs of several nodes."`
	Drain   drainCmd   `cmd:"" help:"Ask a node to finish its work and take no more."`
	Replace replaceCmd `cmd:"" help:"Replace a lost control VM by a new one."`
	Config  configCmd  `cmd:"" help:"Check files without applying them."`
}

// env is the environment in which a command runs.
type env struct {
	ctx context.Context
	cli *CLI
	out io.Writer
}

const description = `gentiankeel drives a deployment by applied files and reads back what happened.

Examples:
  gentiankeel config check examples/kestrel-fold.toml
  gentiankeel --server 127.0.0.1:9001 --token-file token apply examples/kestrel-fold.toml
  gentiankeel status -o json
  gentiankeel explain fortune-bulk
  gentiankeel trace 9c41d07be2a35f68 --around logs/*.log

Exit codes: 0 done, 1 wrong usage or file, 2 refused, 3 no answer (repeat the call).`

// Run parses args, runs the command and returns the exit code. Errors are written to
// errOut.
func Run(ctx context.Context, args []string, out, errOut io.Writer) int {
	var cli CLI
	code := ExitOK
	exited := false
	parser, err := kong.New(&cli,
		kong.Name("gentiankeel"), kong.Description(description),
		kong.Writers(out, errOut),
		kong.Exit(func(c int) { code, exited = c, true }))
	if err != nil {
		fmt.Fprintln(errOut, err)
		return ExitUsage
	}
	kctx, err := parser.Parse(args)
	if exited {
		return code
	}
	if err != nil {
		fmt.Fprintf(errOut, "gentiankeel: %v\n", err)
		return ExitUsage
	}
	ctx, cancel := context.WithTimeout(ctx, cli.Timeout)
	defer cancel()
	if err := kctx.Run(&env{ctx: ctx, cli: &cli, out: out}); err != nil {
		fmt.Fprintf(errOut, "gentiankeel: %v\n", err)
		return exitCode(err)
	}
	return ExitOK
}

// exitCode maps an error to an exit code. A gRPC status Unknown means no answer, while an
// error that is no gRPC status is a usage error.
func exitCode(err error) int {
	var refused refusedError
	if errors.As(err, &refused) {
		return ExitRefused
	}
	switch status.Code(errors.Cause(err)) {
	case codes.OK:
		return ExitOK
	case codes.Unavailable, codes.DeadlineExceeded, codes.Canceled, codes.FailedPrecondition:
		return ExitUnavailable
	case codes.Unknown:
		if _, ok := status.FromError(errors.Cause(err)); ok {
			return ExitUnavailable
		}
		return ExitUsage
	default:
		return ExitRefused
	}
}
