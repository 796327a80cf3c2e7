package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gentiankeel/internal/wire"
)

func TestPace_StreamThatSlowsDownIsReportedWithItsGap(t *testing.T) {
	is := is.New(t)
	var p pace
	sent := time.Unix(0, 0)
	at := func(ms int) time.Time { return sent.Add(time.Duration(ms) * time.Millisecond) }
	g := &wire.Grant{HedgeAfterMs: 400}
	is.Equal(p.look(at(250), sent, 5, g), nil)  // the first look only begins the count
	is.Equal(p.look(at(500), sent, 15, g), nil) // 25 ms a token
	is.Equal(p.look(at(750), sent, 24, g), nil)
	report := p.look(at(1000), sent, 26, g) // 125 ms a token
	is.True(report != nil)
	is.Equal(report.GapMs, uint32(125))
	report = p.look(at(1250), sent, 26, g) // none at all
	is.True(report != nil)
	is.Equal(report.GapMs, uint32(250))
	is.Equal(p.look(at(1500), sent, 36, g), nil) // back to the usual pace
}

func TestPace_FirstTokenIsLateAfterTwiceTheUsualWait(t *testing.T) {
	is := is.New(t)
	var p pace
	sent := time.Unix(0, 0)
	g := &wire.Grant{HedgeAfterMs: 400}
	is.Equal(p.look(sent.Add(750*time.Millisecond), sent, 0, g), nil)
	report := p.look(sent.Add(time.Second), sent, 0, g)
	is.True(report != nil)
	is.Equal(report.WaitedMs, uint32(1000))
}
