package gateway

import (
	"net/http"
	"strconv"
	"time"

	"gentiankeel/internal/errkind"
)

const headerRetryAfter = "Retry-After"

// errorResponse builds the response to a request that has no response of an upstream. If
// the request may have run, it uses no status that implies the opposite. If it did not run,
// 503 is the only 5xx status, and a refusal that names a time to come back implies that too.
func errorResponse(err *errkind.Error) (status int, h http.Header, body []byte) {
	res := err.Response()
	status = res.Status
	switch {
	case res.Ran != errkind.RanNo && impliesNotRun(status):
		status = http.StatusBadGateway
	case res.Ran == errkind.RanNo && (status >= http.StatusInternalServerError || res.RetryAfter > 0) && !impliesNotRun(status):
		status = http.StatusServiceUnavailable
	}
	h = http.Header{"Content-Type": {"text/plain; charset=utf-8"}}
	if impliesNotRun(status) && res.RetryAfter > 0 {
		h.Set(headerRetryAfter, formatSeconds(res.RetryAfter))
	}
	return status, h, []byte(string(err.Kind) + "\n")
}

// impliesNotRun reports whether a status tells callers that the request did not run and can
// be repeated safely.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// formatSeconds formats a duration in seconds with up to three decimals.
func formatSeconds(d time.Duration) string {
	return strconv.FormatFloat(float64(d.Milliseconds())/1000, 'f', -1, 64)
}
