package gateway

import (
	"net/http"
	"strconv"
	"time"

	"gentiankeel/internal/errkind"
)

const headerRetryAfter = "Retry-After"

// answerOf builds the answer to a request that no upstream answered. The statuses that
// promise that the request has not run and never will are used for nothing else, and
// the others not where it is known.
func answerOf(err *errkind.Error) (status int, h http.Header, body []byte) {
	a := err.Answer()
	status = a.Status
	switch {
	case a.Ran != errkind.RanNo && promisesNotRun(status):
		status = http.StatusBadGateway
	case a.Ran == errkind.RanNo && status >= http.StatusInternalServerError:
		status = http.StatusServiceUnavailable
	}
	h = http.Header{"Content-Type": {"text/plain; charset=utf-8"}}
	if promisesNotRun(status) && a.RetryAfter > 0 {
		h.Set(headerRetryAfter, seconds(a.RetryAfter))
	}
	return status, h, []byte(string(err.Kind) + "\n")
}

// promisesNotRun reports whether callers may send the request again after a status.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// seconds writes a duration in seconds with up to three digits after the point.
func seconds(d time.Duration) string {
	return strconv.FormatFloat(float64(d.Milliseconds())/1000, 'f', -1, 64)
}
