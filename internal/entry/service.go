package entry

import "gentiankeel/internal/errkind"

// service answers a call of a plain service.
func (q *request) service() {
	q.fail(errkind.New(errkind.UnknownService, "services are not routed yet"))
}
