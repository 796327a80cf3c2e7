package scheduler

import (
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"gentiankeel/internal/grant"
	"gentiankeel/internal/wire"
)

func TestProposal_DeathReportFails(t *testing.T) {
	for code, wantProposals := range map[codes.Code]int{
		codes.Unavailable:     1, // it may succeed at the next leader
		codes.Unknown:         1,
		codes.InvalidArgument: 0, // it never can
	} {
		is := is.New(t)
		tm := &term{proposals: make(chan proposal, 1), log: slog.New(slog.DiscardHandler)}
		p := proposal{cmd: &wire.Command{Op: &wire.Command_ReportDeath{ReportDeath: &wire.ReportDeath{BodyDigest: "d"}}}}
		tm.handleProposalResult(proposalResult{proposal: p, err: errors.Wrap(status.Error(code, "refused"), "propose")})
		is.Equal(len(tm.proposals), wantProposals)
	}
}

// A grant or an order of the former holder may still take effect after its lease has ended.
func TestTakeoverWait_CoversOrderLifeAndUseBy(t *testing.T) {
	for name, c := range map[string]struct{ orderLife, useBy, want time.Duration }{
		"order life is longer": {5 * time.Second, time.Second, 8 * time.Second},
		"use-by is longer":     {time.Second, 4 * time.Second, 7 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			o := Options{LeaseTTL: 3 * time.Second, OrderLife: c.orderLife, Grant: grant.Settings{UseBy: c.useBy}}
			tm := &term{server: &Server{opts: o}}
			is.New(t).Equal(tm.ordersOptions().TakeoverWait, c.want)
		})
	}
}
