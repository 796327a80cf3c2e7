package entry

import (
	"net/url"
	"path"
	"strings"

	"gentiankeel/internal/errkind"
	"gentiankeel/internal/suspect"
	"gentiankeel/internal/upstream"
	"gentiankeel/internal/wire"
)

// serveService serves a call of a plain service, /v1/services/{name}/{path}.
func (q *request) serveService() {
	a, err := q.admit()
	if err != nil {
		q.fail(err)
		return
	}
	name, rest := splitService(q.r.URL.EscapedPath())
	if isReserved(rest) {
		q.fail(errkind.New(errkind.NotFound, "%s belongs to the protocol between entries and upstreams", rest))
		return
	}
	if q.r.URL.RawQuery != "" {
		rest += "?" + q.r.URL.RawQuery
	}
	svc := a.config.Service(name)
	if svc == nil {
		q.fail(errkind.New(errkind.UnknownService, "no service %q", name))
		return
	}
	j := q.newJob(a, &wire.Ask{Service: name})
	j.path = rest
	if err := checkHeaders(j.header); err != nil {
		q.fail(err)
		return
	}
	j.digest = suspect.Digest([]byte(j.method), []byte(rest), a.body)
	q.recordTarget(a, j)
	if svc.GetIdempotent() {
		q.runRelay(j)
		return
	}
	q.callWithLedger(j)
}

// splitService splits /v1/services/{name}/{path} into name and /{path}.
func splitService(path string) (name, rest string) {
	name, rest, _ = strings.Cut(strings.TrimPrefix(path, pathServices), "/")
	return name, "/" + rest
}

// isReserved reports whether a path belongs to the protocol between the system and its
// upstreams, which callers must not use. A path with an invalid escape counts as reserved.
func isReserved(escaped string) bool {
	plain, err := url.PathUnescape(escaped)
	if err != nil {
		return true
	}
	switch path.Clean(plain) {
	case upstream.PathOrders, upstream.PathState, upstream.PathCancel:
		return true
	}
	return false
}
