package entry

import (
	"strings"

	"gentiankeel/internal/errkind"
	"gentiankeel/internal/wire"
)

// service answers a call of a plain service, /v1/services/{name}/{path}.
func (q *request) service() {
	a, err := q.admit()
	if err != nil {
		q.fail(err)
		return
	}
	name, path := splitService(q.r.URL.EscapedPath())
	if q.r.URL.RawQuery != "" {
		path += "?" + q.r.URL.RawQuery
	}
	svc := a.view.Service(name)
	if svc == nil {
		q.fail(errkind.New(errkind.UnknownService, "no service %q", name))
		return
	}
	j := q.jobOf(a, &wire.Ask{Service: name})
	j.path = path
	j.digest = bodyDigest([]byte(j.method), []byte(path), a.body)
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
