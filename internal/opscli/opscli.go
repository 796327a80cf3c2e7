// Package opscli is the operators' command line.
package opscli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/user"
	"strings"
	"time"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"gentiankeel/internal/netsec"
	"gentiankeel/internal/settings"
	"gentiankeel/internal/spec"
	"gentiankeel/internal/wire"
)

// Exit codes of the tool.
const (
	ExitOK          = 0
	ExitUsage       = 1 // wrong arguments, settings or files
	ExitRefused     = 2 // the system refused, truthfully
	ExitUnavailable = 3 // no answer: the outcome is unknown; the call may be repeated
)

// refusedError is a refusal that has been printed already.
type refusedError struct{ text string }

func (e refusedError) Error() string { return e.text }

// CLI is the whole command line.
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
	Drain   drainCmd   `cmd:"" help:"Ask a node to finish its work and take no more."`
	Replace replaceCmd `cmd:"" help:"Replace a lost control VM by a new one."`
	Config  configCmd  `cmd:"" help:"Check files without applying them."`
}

// env is what commands run with.
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

Exit codes: 0 done, 1 wrong usage or file, 2 refused, 3 no answer (repeat the call).`

// Run parses args and runs the command. It returns the exit code.
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

// call runs f at one control VM after the other until the leader answers. Operators'
// calls are idempotent, so a call without an answer is safe to repeat.
func (e *env) call(f func(context.Context, wire.OperatorClient) error) error {
	if len(e.cli.Server) == 0 {
		return errors.New("--server is needed")
	}
	dial, err := e.dialOptions()
	if err != nil {
		return err
	}
	var last error
	for {
		for _, addr := range e.cli.Server {
			last = e.callAt(addr, dial, f)
			if last == nil || !retryable(last) {
				return last
			}
		}
		select {
		case <-e.ctx.Done():
			return last
		case <-time.After(callPause):
		}
	}
}

const (
	callPause   = 200 * time.Millisecond
	callTimeout = 3 * time.Second
	// maxAnswerBytes bounds an answer.
	maxAnswerBytes = 64 << 20
)

func (e *env) callAt(addr string, dial []grpc.DialOption, f func(context.Context, wire.OperatorClient) error) error {
	conn, err := grpc.NewClient(addr, dial...)
	if err != nil {
		return err
	}
	defer conn.Close()
	ctx, cancel := context.WithTimeout(e.ctx, callTimeout)
	defer cancel()
	return f(ctx, wire.NewOperatorClient(conn))
}

func retryable(err error) bool {
	switch status.Code(err) {
	case codes.Unavailable, codes.FailedPrecondition, codes.DeadlineExceeded, codes.Unknown:
		return true
	default:
		return false
	}
}

func (e *env) dialOptions() ([]grpc.DialOption, error) {
	token := ""
	if e.cli.TokenFile != "" {
		data, err := os.ReadFile(e.cli.TokenFile)
		if err != nil {
			return nil, errors.Wrap(err, "reading the token")
		}
		token = strings.TrimSpace(string(data))
	}
	creds, err := netsec.OperatorDial(e.cli.CA)
	if err != nil {
		return nil, err
	}
	// The status of a large deployment is larger than the library's default bound.
	size := grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxAnswerBytes))
	return []grpc.DialOption{creds, netsec.WithToken(token), size}, nil
}

// print writes a message as JSON, or calls text.
func (e *env) print(m proto.Message, text func()) error {
	if e.cli.Output != "json" {
		text()
		return nil
	}
	data, err := protojson.MarshalOptions{Multiline: true}.Marshal(m)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(e.out, string(data))
	return err
}

func (e *env) printf(format string, args ...any) { fmt.Fprintf(e.out, format, args...) }

type applyCmd struct {
	File string `arg:"" type:"existingfile" help:"Applied file (TOML)."`
	Who  string `help:"Name written into the history; default: the user's."`
}

func (c *applyCmd) Run(e *env) error {
	data, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	parsed, err := spec.Parse(data)
	if err != nil {
		return errors.Wrap(err, c.File)
	}
	req := &wire.ApplyRequest{File: data, Version: parsed.Version, Digest: spec.Digest(data), Who: c.who()}
	var rec *wire.FileRecord
	err = e.call(func(ctx context.Context, cl wire.OperatorClient) error {
		rec, err = cl.Apply(ctx, req)
		return err
	})
	if err != nil {
		return err
	}
	if err := e.print(rec, func() { e.printRecord(rec) }); err != nil {
		return err
	}
	if rec.Outcome == wire.ApplyOutcome_APPLY_ACCEPTED || rec.Outcome == wire.ApplyOutcome_APPLY_SAME {
		return nil
	}
	return refusedError{"the file was refused: " + rec.Detail}
}

func (c *applyCmd) who() string {
	if c.Who != "" {
		return c.Who
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

func (e *env) printRecord(r *wire.FileRecord) {
	at := time.UnixMilli(r.AtUnixMs).UTC().Format(time.RFC3339)
	e.printf("%-10s version %d  digest %.12s  index %d  by %s at %s  %s\n",
		outcomeText(r.Outcome), r.Version, r.Digest, r.Index, r.Who, at, r.Detail)
}

func outcomeText(o wire.ApplyOutcome) string {
	switch o {
	case wire.ApplyOutcome_APPLY_ACCEPTED:
		return "accepted"
	case wire.ApplyOutcome_APPLY_SAME:
		return "same"
	case wire.ApplyOutcome_APPLY_REFUSED_CONFLICT:
		return "conflict"
	case wire.ApplyOutcome_APPLY_REFUSED_OLDER:
		return "older"
	case wire.ApplyOutcome_APPLY_REFUSED_GAP:
		return "gap"
	case wire.ApplyOutcome_APPLY_REFUSED_INVALID:
		return "invalid"
	default:
		return "-"
	}
}

type statusCmd struct{}

func (statusCmd) Run(e *env) error {
	var st *wire.StatusResponse
	err := e.call(func(ctx context.Context, cl wire.OperatorClient) (err error) {
		st, err = cl.Status(ctx, &wire.StatusRequest{})
		return err
	})
	if err != nil {
		return err
	}
	return e.print(st, func() { e.printStatus(st) })
}

func (e *env) printStatus(st *wire.StatusResponse) {
	e.printf("answered by %s, term %d, commit %d, applied %d, repaired %t\n",
		st.AnsweredBy, st.Term, st.CommitIndex, st.AppliedIndex, st.Repaired)
	if st.Applied != nil {
		e.printf("file: version %d, digest %.12s, index %d\n", st.Applied.Version, st.Applied.Digest, st.Applied.Index)
	}
	for _, m := range st.Members {
		e.printf("member   %-10s %-21s %-10s match %-8d %s\n", m.Id, m.Address, m.Zone, m.MatchIndex, memberText(m))
	}
	for _, n := range st.Nodes {
		r := n.Report
		e.printf("node     %-10s %-21s %-10s enforces %-8d version %-5d %s, seen %d ms ago\n",
			r.Node, r.Address, r.Zone, r.EnforcedIndex, r.SpecVersion, strings.Join(r.Roles, ","), n.AgeMs)
	}
	for _, l := range st.Leases {
		e.printf("lease    %-30s fence %-6d %s\n", l.Name, l.Fence, l.Holder)
	}
	for _, u := range st.Upstreams {
		e.printf("upstream %-10s %-21s %-10s incarnation %d %s\n", u.Id, u.Address, u.Zone, u.Incarnation, u.Service)
	}
	for _, p := range st.Placements {
		o := p.Order
		e.printf("held     %-20s %-16s on %-10s %s %s\n", o.Model, o.Adapter, o.Upstream, o.State, o.Reason)
	}
	for _, s := range st.Suspects {
		e.printf("suspect  %.16s lost %s quarantined %t\n", s.BodyDigest, strings.Join(s.Upstreams, ","), s.Quarantined)
	}
}

func memberText(m *wire.MemberStatus) string {
	switch {
	case m.Leader:
		return "leader"
	case m.Learner:
		return "learner"
	default:
		return "voter"
	}
}

type historyCmd struct {
	Limit  uint32 `default:"20" help:"Most records."`
	Before uint64 `help:"Only records below this index."`
}

func (c *historyCmd) Run(e *env) error {
	var resp *wire.HistoryResponse
	err := e.call(func(ctx context.Context, cl wire.OperatorClient) (err error) {
		resp, err = cl.History(ctx, &wire.HistoryRequest{BeforeIndex: c.Before, Limit: c.Limit})
		return err
	})
	if err != nil {
		return err
	}
	return e.print(resp, func() {
		for _, r := range resp.Records {
			e.printRecord(r)
		}
	})
}

type explainCmd struct {
	Subject string `arg:"" help:"Model, model:adapter or request id."`
}

func (c *explainCmd) Run(e *env) error {
	var resp *wire.ExplainResponse
	err := e.call(func(ctx context.Context, cl wire.OperatorClient) (err error) {
		resp, err = cl.Explain(ctx, &wire.ExplainRequest{Subject: c.Subject})
		return err
	})
	if err != nil {
		return err
	}
	if len(resp.Lines) == 0 {
		return refusedError{fmt.Sprintf("nothing is known of %q", c.Subject)}
	}
	return e.print(resp, func() {
		for _, line := range resp.Lines {
			e.printf("%s\n", line)
		}
	})
}

type drainCmd struct {
	Node string `arg:"" help:"Node id."`
}

func (c *drainCmd) Run(e *env) error {
	return e.call(func(ctx context.Context, cl wire.OperatorClient) error {
		_, err := cl.Drain(ctx, &wire.DrainRequest{Node: c.Node})
		return err
	})
}

type replaceCmd struct {
	Lost    string `arg:"" help:"Id of the lost control VM."`
	New     string `arg:"" help:"Id of the new one, which runs and waits to join."`
	Address string `arg:"" help:"Its gRPC address."`
	Zone    string `arg:"" help:"Its availability zone."`
}

func (c *replaceCmd) Run(e *env) error {
	req := &wire.ReplaceRequest{LostId: c.Lost, NewId: c.New, NewAddress: c.Address, NewZone: c.Zone}
	return e.call(func(ctx context.Context, cl wire.OperatorClient) error {
		stream, err := cl.Replace(e.ctx, req)
		if err != nil {
			return err
		}
		return e.followReplace(stream)
	})
}

func (e *env) followReplace(stream grpc.ServerStreamingClient[wire.ReplaceProgress]) error {
	repaired := false
	for {
		p, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return err
		}
		repaired = p.Repaired
		if err := e.print(p, func() { e.printf("%s\n", p.Step) }); err != nil {
			return err
		}
	}
	if !repaired {
		return refusedError{"not repaired"}
	}
	return nil
}

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
		return e.checked(map[string]any{"file": c.File, "node": s.Node.ID, "ok": true})
	}
	data, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	s, err := spec.Parse(data)
	if err != nil {
		return errors.Wrap(err, c.File)
	}
	return e.checked(map[string]any{"file": c.File, "version": s.Version, "digest": spec.Digest(data),
		"models": len(s.Models), "adapters": len(s.Adapters), "services": len(s.Services), "ok": true})
}

func (e *env) checked(fields map[string]any) error {
	if e.cli.Output == "json" {
		return json.NewEncoder(e.out).Encode(fields)
	}
	e.printf("%s: ok\n", fields["file"])
	return nil
}
