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

// Guards against a stream that goes on at the version of another stream with the same content.
func TestMemory_StreamsOfOneKeyAtSeveralVersions(t *testing.T) {
	is := is.New(t)
	m := NewMemory(4)
	for _, software := range []string{"v1", "v1", "v2", "v1", Unknown} {
		m.Put(0, 1, software)
	}
	software, ok := m.Get(1)
	is.True(ok && software == Several)
	is.True(KeyOfContent(nil, "a", "bc") != KeyOfContent(nil, "ab", "c"))
}

// An entry of the build before keeps an unknown origin and reports it again after the true one.
func TestMemory_UnknownDoesNotReplaceKnown(t *testing.T) {
	is := is.New(t)
	m := NewMemory(4)
	m.Put(0, 1, Unknown)
	software, ok := m.Get(1)
	is.True(ok && software == Unknown)
	m.Put(0, 1, "v1")
	m.Put(0, 1, Unknown)
	software, ok = m.Get(1)
	is.True(ok && software == "v1")
}
