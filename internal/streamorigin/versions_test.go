package streamorigin

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

func TestVersions_SeenWithinTTL(t *testing.T) {
	is := is.New(t)
	m := NewVersions()
	list := func(now Time) map[Version]Time {
		out := map[Version]Time{}
		m.Each(now, func(v Version, age Time) { out[v] = age })
		return out
	}
	m.See(0, Version{"s", "v1"})
	m.See(1, Version{"s", "v2"})
	m.See(0, Version{"s", "v2"}) // told late
	is.Equal(list(TTL-1), map[Version]Time{{"s", "v1"}: TTL - 1, {"s", "v2"}: TTL - 2})
	is.True(!m.Expire(TTL - 1))
	is.Equal(list(TTL), map[Version]Time{{"s", "v2"}: TTL - 1})
	is.True(m.Expire(TTL))
	m.See(TTL, Version{"s", "v2"})
	is.True(!m.Expire(TTL + 1))
	for i := range 2 * maxVersions {
		m.See(TTL+Time(i), Version{"s", fmt.Sprint(i)})
	}
	kept := list(TTL + 2*maxVersions)
	is.Equal(len(kept), maxVersions)
	_, ok := kept[Version{"s", fmt.Sprint(2*maxVersions - 1)}] // the last one seen
	is.True(ok)
}

// Guards against a version that is forgotten for want of room and then counts as one that never ran.
func TestVersions_ForgottenForWantOfRoom(t *testing.T) {
	is := is.New(t)
	m := NewVersions()
	m.HasAllSince(-TTL)
	for i := range maxVersions {
		m.See(Time(i), Version{"s", fmt.Sprint(i)})
	}
	is.Equal(m.UntilComplete(maxVersions), Time(0))
	m.See(maxVersions, Version{"s", "new"})
	is.Equal(m.AllKnown(maxVersions), Time(maxVersions-1)) // version 0 ran until 0
	is.Equal(m.UntilComplete(maxVersions), TTL-maxVersions+1)
	is.Equal(m.UntilComplete(TTL+1), Time(0))
}
