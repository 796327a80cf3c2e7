package gateway

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against the line end of a line that fills the read buffer being taken for an empty line.
func TestEventReader_LineFillsTheReadBuffer(t *testing.T) {
	for _, end := range []string{"\n", "\r\n"} {
		for _, length := range []int{readBufferSize - 2, readBufferSize - 1, readBufferSize, readBufferSize + 1, 2*readBufferSize - 1, 2 * readBufferSize} {
			t.Run(fmt.Sprintf("%q after %d", end, length), func(t *testing.T) {
				is := is.New(t)
				first := "id: 1" + end + "data: " + strings.Repeat("x", length-len("data: ")) + end + end
				second := "id: 2" + end + "data: b" + end + end
				r := newEventReader(strings.NewReader(first + second))
				for _, want := range []string{first, second} {
					raw, err := r.next()
					is.NoErr(err)
					is.Equal(string(raw), want)
				}
				_, err := r.next()
				is.Equal(err, io.EOF)
			})
		}
	}
}

// Guards against a whole stream that ends with further empty lines being taken for one that broke off.
func TestEventReader_EmptyLinesAtTheEnd(t *testing.T) {
	for _, end := range []string{"\n", "\r\n", "\n\n"} {
		is := is.New(t)
		r := newEventReader(strings.NewReader("data: a\n\n" + end))
		_, err := r.next()
		is.NoErr(err)
		_, err = r.next()
		is.Equal(err, io.EOF)
	}
}

// Guards against a stream that is passed on as whole when the run that takes it up leaves events out.
func TestResume_RunLeavesEventsOut(t *testing.T) {
	is := is.New(t)
	var u fakeUpstreams
	var begun int
	s := startEntry(t, u.startRunners(t, "v1", func(w http.ResponseWriter, r *http.Request, _ int) {
		if r.Header.Get("After") == "" {
			begun++
			writeStream(w, 1, 2, false)
			return
		}
		writeStream(w, 5, 6, true)
	}, "u1", "u2")...)
	_, body, err := get(t, s, "/engine/x", 2000)
	if err == nil {
		t.Errorf("passed on as whole: %q", body)
	}
	is.Equal(begun, 1)
}
