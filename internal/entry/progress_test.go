package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gentiankeel/internal/wire"
)

func TestProgress_StreamSlowsDown(t *testing.T) {
	is := is.New(t)
	var tracker progressTracker
	sentAt := time.Unix(0, 0)
	atMs := func(ms int) time.Time { return sentAt.Add(time.Duration(ms) * time.Millisecond) }
	grant := &wire.Grant{HedgeAfterMs: 400}
	is.Equal(tracker.check(atMs(250), sentAt, 5, grant), nil)  // the first check only starts the measurement
	is.Equal(tracker.check(atMs(500), sentAt, 15, grant), nil) // 25 ms a token
	is.Equal(tracker.check(atMs(750), sentAt, 24, grant), nil)
	report := tracker.check(atMs(1000), sentAt, 26, grant) // 125 ms a token
	is.True(report != nil)
	is.Equal(report.GapMs, uint32(125))
	report = tracker.check(atMs(1250), sentAt, 26, grant) // no tokens
	is.True(report != nil)
	is.Equal(report.GapMs, uint32(250))
	is.Equal(tracker.check(atMs(1500), sentAt, 36, grant), nil) // back to the usual gap
}

func TestProgress_FirstTokenLate(t *testing.T) {
	is := is.New(t)
	var tracker progressTracker
	sentAt := time.Unix(0, 0)
	grant := &wire.Grant{HedgeAfterMs: 400}
	is.Equal(tracker.check(sentAt.Add(750*time.Millisecond), sentAt, 0, grant), nil)
	report := tracker.check(sentAt.Add(time.Second), sentAt, 0, grant)
	is.True(report != nil)
	is.Equal(report.WaitedMs, uint32(1000))
}
