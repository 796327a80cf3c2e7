package opscli

import (
	"context"
	"fmt"
	"io"

	"github.com/pkg/errors"
	"google.golang.org/grpc"

	"gentiankeel/internal/wire"
)

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
		// e.ctx, since a replacement may take longer than callTimeout.
		stream, err := cl.Replace(e.ctx, req)
		if err != nil {
			return err
		}
		return e.followReplace(stream)
	})
}

// followReplace prints the steps of a replacement until the stream ends. It returns a
// refusedError if the group is not repaired by then.
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
