package entry

import (
	"net/url"
	"path"
	"strings"

	"gentiankeel/internal/errkind"
	"gentiankeel/internal/upstream"
	"gentiankeel/internal/wire"
)

// service answers a call of a plain service, /v1/services/{name}/{path}.
func (q *request) service() {
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
	svc := a.view.Service(name)
	if svc == nil {
		q.fail(errkind.New(errkind.UnknownService, "no service %q", name))
		return
	}
	j := q.jobOf(a, &wire.Ask{Service: name})
	j.path = rest
	if err := headerError(j.header); err != nil {
		q.fail(err)
		return
	}
	j.digest = bodyDigest([]byte(j.method), []byte(rest), a.body)
	q.wants(a, j)
	if svc.GetIdempotent() {
		q.relay(j)
		return
	}
	q.bookOnce(j)
}

// splitService cuts /v1/services/{name}/{path} into name and /{path}.
func splitService(path string) (name, rest string) {
	name, rest, _ = strings.Cut(strings.TrimPrefix(path, pathServices), "/")
	return name, "/" + rest
}

// isReserved tells whether a path would reach the system's own side of an upstream.
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
