package errkind

import (
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

func TestKinds_ErrorStatusAndTitle(t *testing.T) {
	is := is.New(t)
	for _, k := range Kinds() {
		a := ResponseOf(k)
		is.True(a.Status >= 400 && a.Status < 600) // an error status
		is.True(a.Title != "")
		is.True(a.Ran == RanNo || a.Ran == RanMaybe)
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
	a := New(DeadlineExceeded, "").WithRan(RanNo).Response()
	is.Equal(a.Ran, RanNo)
	is.Equal(ResponseOf(DeadlineExceeded).Ran, RanMaybe) // the default is unchanged
}
