package entry

import (
	"time"

	"gentiankeel/internal/wire"
)

// latePace is how many times longer than before the gaps between tokens must be for an
// attempt to count as slow.
const latePace = 2

// pace follows how fast the tokens of one attempt come. Its reports let the scheduler
// see a straggler while requests still run on it, and not only by their ends.
type pace struct {
	at     time.Time     // of the last look
	tokens int           // at the last look
	gap    time.Duration // usual gap between tokens; 0: not known yet
}

// look compares the tokens since the last look with the usual pace. It returns a report
// without the attempt's name, or nil while nothing is late.
func (p *pace) look(now, sent time.Time, tokens int, g *wire.Grant) *wire.Progress {
	if tokens == 0 {
		return lateFirstToken(now.Sub(sent), g)
	}
	if p.at.IsZero() || p.tokens == 0 {
		p.at, p.tokens = now, tokens
		return nil
	}
	gap := now.Sub(p.at) / time.Duration(max(tokens-p.tokens, 1))
	p.at, p.tokens = now, tokens
	if p.gap > 0 && gap > latePace*p.gap {
		return &wire.Progress{GapMs: uint32(gap.Milliseconds())}
	}
	p.gap = gap
	return nil
}

func lateFirstToken(waited time.Duration, g *wire.Grant) *wire.Progress {
	usual := time.Duration(g.GetHedgeAfterMs()) * time.Millisecond
	if waited < progressInterval || waited < latePace*usual {
		return nil
	}
	return &wire.Progress{WaitedMs: uint32(waited.Milliseconds())}
}
