package scheduler

import (
	"log/slog"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

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
