package pause

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func TestFor_ElapsedAndContextEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		start := time.Now()
		is.NoErr(For(t.Context(), time.Second))
		is.Equal(time.Since(start), time.Second)

		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		is.Equal(For(ctx, time.Hour), context.DeadlineExceeded)
		is.Equal(time.Since(start), 2*time.Second)
		is.Equal(For(ctx, 0), context.DeadlineExceeded)
	})
}
