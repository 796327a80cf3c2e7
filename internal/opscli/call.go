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
		if pause.For(e.ctx, callPause) != nil {
			return last
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
