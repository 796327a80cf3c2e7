package errkind

import (
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

func TestKinds_ErrorStatusAndTitle(t *testing.T) {
	is := is.New(t)
	for _, k := range Kinds() {
		r := ResponseOf(k)
		is.True(r.Status >= 400 && r.Status < 600) // an error status
		is.True(r.Title != "")
		is.True(r.Ran == RanNo || r.Ran == RanMaybe)
	}
}

func TestFrom_WrappedAndUnknownErrors(t *testing.T) {
	is := is.New(t)
	err := errors.Wrap(New(QueueFull, "model %s", "m"), "asking")
	is.Equal(From(err).Kind, QueueFull)
	is.Equal(From(errors.New("plain")).Kind, Internal)
}

func TestError_OwnRanOverridesDefault(t *testing.T) {
	is := is.New(t)
	r := New(DeadlineExceeded, "").WithRan(RanNo).Response()
	is.Equal(r.Ran, RanNo)
	is.Equal(ResponseOf(DeadlineExceeded).Ran, RanMaybe) // the default is unchanged
}
