package streamorigin

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

func TestMemory_RemembersForItsTTL(t *testing.T) {
	is := is.New(t)
	m := NewMemory(100)
	m.Put(0, KeyOf("a"), "v1")
	m.Put(TTL-1, KeyOf("b"), "v2")
	m.Put(TTL, KeyOf("c"), "v2")
	m.Put(2*TTL-1, KeyOf("d"), "v2")
	for id, want := range map[string]string{"a": "v1", "b": "v2", "c": "v2", "d": "v2"} {
		software, ok := m.Get(KeyOf(id))
		is.True(ok)
		is.Equal(software, want)
	}
	m.Put(2*TTL, KeyOf("e"), "v1")
	_, ok := m.Get(KeyOf("b"))
	is.True(!ok)
}

func TestMemory_IsBounded(t *testing.T) {
	is := is.New(t)
	m := NewMemory(10)
	for i := range 1000 {
		m.Put(0, KeyOf(fmt.Sprint(i)), fmt.Sprint(i))
	}
	n := 0
	m.Each(func(Key, string) { n++ })
	is.True(n <= 20)
	is.True(len(m.softwareNames) <= maxSoftwareNames)
	software, ok := m.Get(KeyOf("999"))
	is.True(ok)
	is.Equal(software, "999")
}

func TestMemory_Withdrawn(t *testing.T) {
	is := is.New(t)
	m := NewMemory(100)
	m.Put(0, KeyOf("a"), "v1")
	m.Put(TTL, KeyOf("b"), "v1")
	m.Withdraw(TTL, KeyOf("a"))
	m.Put(TTL, KeyOf("a"), "v1") // a report that was sent before
	_, ok := m.Get(KeyOf("a"))
	is.True(!ok)
	var known, withdrawn []Key
	m.Each(func(key Key, _ string) { known = append(known, key) })
	m.EachWithdrawn(func(key Key) { withdrawn = append(withdrawn, key) })
	is.Equal(known, []Key{KeyOf("b")})
	is.Equal(withdrawn, []Key{KeyOf("a")})
}
