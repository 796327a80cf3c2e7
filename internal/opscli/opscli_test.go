package opscli

import (
	"bytes"
	"context"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"gentiankeel/internal/netsec"
	"gentiankeel/internal/wire"
)

const token = "a-token-for-operators"

// fakeOperator is an operators' server that implements only Apply.
type fakeOperator struct {
	wire.UnimplementedOperatorServer
	apply func(*wire.ApplyRequest) (*wire.FileRecord, error)
}

func (f *fakeOperator) Apply(_ context.Context, req *wire.ApplyRequest) (*wire.FileRecord, error) {
	return f.apply(req)
}

func serve(t *testing.T, f *fakeOperator) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := grpc.NewServer(netsec.RequireToken(token)...)
	wire.RegisterOperatorServer(g, f)
	go func() { _ = g.Serve(ln) }()
	t.Cleanup(g.Stop)
	return ln.Addr().String()
}

func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

const validSpec = "name = \"t\"\nversion = 1\n[[models]]\nname = \"m\"\nversion = \"1\"\nreplicas = 1\nmemory_mib = 10\n"

func runCLI(t *testing.T, args ...string) (code int, out, errOut string) {
	t.Helper()
	var o, e bytes.Buffer
	code = Run(t.Context(), args, &o, &e)
	return code, o.String(), e.String()
}

func TestApply_Refused(t *testing.T) {
	is := is.New(t)
	addr := serve(t, &fakeOperator{apply: func(*wire.ApplyRequest) (*wire.FileRecord, error) {
		return &wire.FileRecord{Outcome: wire.ApplyOutcome_APPLY_REFUSED_CONFLICT, Detail: "held by 1234"}, nil
	}})
	code, _, errOut := runCLI(t, "--server", addr, "--token-file", writeFile(t, "token", token), "apply", writeFile(t, "f.toml", validSpec))
	is.Equal(code, ExitRefused)
	is.True(strings.Contains(errOut, "held by 1234"))
}

func TestApply_WrongToken(t *testing.T) {
	is := is.New(t)
	addr := serve(t, &fakeOperator{apply: func(*wire.ApplyRequest) (*wire.FileRecord, error) {
		t.Error("the server accepted the call")
		return nil, status.Error(codes.Internal, "")
	}})
	code, _, _ := runCLI(t, "--server", addr, "--token-file", writeFile(t, "token", "some-other-token"), "apply", writeFile(t, "f.toml", validSpec))
	is.Equal(code, ExitRefused)
}

func TestApply_FirstServerIsFollower(t *testing.T) {
	is := is.New(t)
	follower := serve(t, &fakeOperator{apply: func(*wire.ApplyRequest) (*wire.FileRecord, error) {
		return nil, status.Error(codes.FailedPrecondition, "not the leader")
	}})
	leader := serve(t, &fakeOperator{apply: func(req *wire.ApplyRequest) (*wire.FileRecord, error) {
		return &wire.FileRecord{Outcome: wire.ApplyOutcome_APPLY_ACCEPTED, Version: req.Version, Digest: req.Digest}, nil
	}})
	code, out, _ := runCLI(t, "--server", follower+","+leader, "--token-file", writeFile(t, "token", token), "-o", "json",
		"apply", writeFile(t, "f.toml", validSpec))
	is.Equal(code, ExitOK)
	is.True(strings.Contains(out, "APPLY_ACCEPTED"))
}

func TestConfigCheck_InvalidAndValidFile(t *testing.T) {
	is := is.New(t)
	code, _, errOut := runCLI(t, "config", "check", writeFile(t, "f.toml", validSpec+"replicsa = 2\n"))
	is.Equal(code, ExitUsage)
	is.True(strings.Contains(errOut, "line 8"))
	code, out, _ := runCLI(t, "config", "check", writeFile(t, "f.toml", validSpec))
	is.Equal(code, ExitOK)
	is.True(strings.Contains(out, "ok"))
}

func TestRun_UnknownCommand(t *testing.T) {
	is := is.New(t)
	code, _, _ := runCLI(t, "frobnicate")
	is.Equal(code, ExitUsage)
}
