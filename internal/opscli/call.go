package opscli

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"gentiankeel/internal/netsec"
	"gentiankeel/internal/pause"
	"gentiankeel/internal/wire"
)

// call runs f against each control VM in turn, round after round, until it succeeds, fails
// with an error that is not retryable, or e.ctx ends. It returns the last error. Operators'
// calls are idempotent, so a call without an answer can be retried.
func (e *env) call(f func(context.Context, wire.OperatorClient) error) error {
	if len(e.cli.Server) == 0 {
		return errors.New("--server is needed")
	}
	dialOpts, err := e.dialOptions()
	if err != nil {
		return err
	}
	var lastErr error
	for {
		for _, addr := range e.cli.Server {
			lastErr = e.callServer(addr, dialOpts, f)
			if lastErr == nil || !retryable(lastErr) {
				return lastErr
			}
		}
		if pause.For(e.ctx, retryInterval) != nil {
			return lastErr
		}
	}
}

const (
	retryInterval = 200 * time.Millisecond // between rounds over the control VMs
	callTimeout   = 3 * time.Second        // of one attempt
	// maxResponseBytes bounds one response.
	maxResponseBytes = 64 << 20
)

func (e *env) callServer(addr string, dialOpts []grpc.DialOption, f func(context.Context, wire.OperatorClient) error) error {
	conn, err := grpc.NewClient(addr, dialOpts...)
	if err != nil {
		return err
	}
	defer conn.Close()
	ctx, cancel := context.WithTimeout(e.ctx, callTimeout)
	defer cancel()
	return f(ctx, wire.NewOperatorClient(conn))
}

// retryable reports whether another control VM, or the same one later, may serve the call:
// there was no answer, its outcome is unknown, or the VM is not the leader.
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
	creds, err := netsec.OperatorDialOption(e.cli.CA)
	if err != nil {
		return nil, err
	}
	// The status of a large deployment exceeds gRPC's default limit.
	size := grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxResponseBytes))
	return []grpc.DialOption{creds, netsec.WithToken(token), size}, nil
}

// print writes m as JSON if the output form is json; otherwise it calls text.
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
