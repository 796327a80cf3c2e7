package entry

import (
	"time"

	"gentiankeel/internal/wire"
)

// slowFactor is the multiple of the usual token gap, or of the usual wait for the first
// token, from which on an attempt counts as slow.
const slowFactor = 2

// progressTracker measures the token rate of one attempt. Its reports let the scheduler
// detect a slow upstream while requests still run on it, and not only when they end.
type progressTracker struct {
	checkedAt time.Time     // time of the last check
	tokens    int           // token count at the last check
	usualGap  time.Duration // between two tokens; 0: not known yet
}

// check compares the token gap since the last check with the usual one. It returns a
// report without the attempt id, or nil if the attempt is not slow.
func (t *progressTracker) check(now, sentAt time.Time, tokens int, grant *wire.Grant) *wire.Progress {
	if tokens == 0 {
		return firstTokenReport(now.Sub(sentAt), grant)
	}
	if t.checkedAt.IsZero() || t.tokens == 0 {
		t.checkedAt, t.tokens = now, tokens
		return nil
	}
	gap := now.Sub(t.checkedAt) / time.Duration(max(tokens-t.tokens, 1))
	t.checkedAt, t.tokens = now, tokens
	if t.usualGap > 0 && gap > slowFactor*t.usualGap {
		return &wire.Progress{GapMs: uint32(gap.Milliseconds())}
	}
	t.usualGap = gap
	return nil
}

// firstTokenReport returns a report if the first token is late: a grant's hedge delay
// serves as the usual wait.
func firstTokenReport(waited time.Duration, grant *wire.Grant) *wire.Progress {
	usual := time.Duration(grant.GetHedgeAfterMs()) * time.Millisecond
	if waited < progressInterval || waited < slowFactor*usual {
		return nil
	}
	return &wire.Progress{WaitedMs: uint32(waited.Milliseconds())}
}
