package gateway

import (
	"time"

	"gentiankeel/internal/errkind"
	"gentiankeel/internal/routing"
)

// keyRefusal is the reason why a request was refused for its key, as the metric names it.
type keyRefusal string

// All reasons; keyAccepted is none.
const (
	keyAccepted     keyRefusal = ""
	keyMissing      keyRefusal = "missing"
	keyMalformed    keyRefusal = "malformed"
	keyUnknown      keyRefusal = "unknown"
	keyWithdrawn    keyRefusal = "withdrawn"
	keyOutOfContact keyRefusal = "out_of_contact"
)

var keyRefusalDetails = map[keyRefusal]string{
	keyMissing:   "the request has no key",
	keyMalformed: "the credentials are not those of one key",
	keyUnknown:   "no organisation has the key",
	keyWithdrawn: "the organisation's key was withdrawn",
}

// sender is who sent a request, according to one configuration.
type sender struct {
	table        *routing.Table
	organisation *routing.Organisation // nil: the request is anonymous, or the configuration has no organisations
}

// hasOrganisations reports whether the configuration has organisations.
func (s sender) hasOrganisations() bool { return s.table != nil && s.table.Config.RequiresKey }

// name returns the name of the organisation; empty if there is none.
func (s sender) name() string {
	if s.organisation == nil {
		return ""
	}
	return s.organisation.Name
}

// leastUrgent is the least urgent priority that organisations and routes are told apart by.
const leastUrgent = 2

// priority returns the priority of a request of the sender on a route: that of the organisation first, then
// that of the route. An anonymous request counts as the least urgent organisation's, so that a caller gains
// nothing by leaving out its key.
func (s sender) priority(route *routing.Route) int {
	if !s.hasOrganisations() {
		return route.Priority
	}
	first := leastUrgent
	if s.organisation != nil {
		first = min(max(s.organisation.Priority, 0), leastUrgent)
	}
	return first*(leastUrgent+1) + min(max(route.Priority, 0), leastUrgent)
}

// identify finds the sender of the request in a configuration.
func (x *exchange) identify(table *routing.Table) (sender, keyRefusal) {
	found := sender{table: table}
	switch {
	case !table.Config.RequiresKey:
		return found, keyAccepted
	case !x.info.HasKey && x.allowsAnonymous(table):
		return found, keyAccepted
	case !x.info.HasKey:
		return found, keyMissing
	case x.info.Key == "":
		return found, keyMalformed
	}
	var known bool
	found.organisation, known = table.Authenticate(x.info.Key)
	switch {
	case known:
		return found, keyAccepted
	case x.sender.organisation != nil:
		return found, keyWithdrawn
	}
	return found, keyUnknown
}

// allowsAnonymous reports whether the request needs no key. A request whose route is gone from the configuration
// is served as it was admitted.
func (x *exchange) allowsAnonymous(table *routing.Table) bool {
	if route := table.Match(x.r.Host, x.r.URL.Path); route != nil {
		return route.AllowAnonymous
	}
	return x.route.AllowAnonymous
}

// failsClosed reports whether a request that needs a key of the configuration can't be served, since the key
// may have been withdrawn without this entry knowing.
func (x *exchange) failsClosed(table *routing.Table) bool {
	s := x.server
	return s.o.FailClosed && table.Config.RequiresKey && x.info.HasKey && s.coordinatorAge() > s.o.RevokeAfter
}

// authenticate sets the sender of the request by a configuration, or returns why it is refused.
func (x *exchange) authenticate(table *routing.Table) *errkind.Error {
	if x.failsClosed(table) {
		x.keyRefusal = keyOutOfContact
		return errkind.New(errkind.StaleConfig, "no coordinator was heard for %s, and the key may have been withdrawn",
			x.server.coordinatorAge().Round(time.Millisecond)).WithRan(errkind.RanNo)
	}
	found, refusal := x.identify(table)
	x.keyRefusal = refusal
	if refusal != keyAccepted {
		return errkind.New(errkind.Unauthorized, "%s", keyRefusalDetails[refusal]).WithRan(errkind.RanNo)
	}
	x.sender = found
	return nil
}

// authenticateAttempt authenticates the request by the configuration in force before an attempt. As at its
// admission, a refusal has to wait until the entry is in contact with the coordinator.
func (x *exchange) authenticateAttempt() *errkind.Error {
	s := x.server
	err := x.authenticate(s.table.Load())
	if err == nil || err.Kind == errkind.StaleConfig {
		return err
	}
	table := s.awaitConfig(x.r.Context(), (x.cfg.Deadline-s.now())/2, s.o.RefusalMaxStale)
	if table == nil {
		return errNoCurrentConfig()
	}
	return x.authenticate(table)
}

// senderHolds reports whether the request may still be sent by the configuration in force, and at the same
// priority. If so, the sender is that of this configuration.
func (x *exchange) senderHolds() bool {
	table := x.server.table.Load()
	if x.failsClosed(table) {
		return false
	}
	if table == x.sender.table {
		return true
	}
	found, refusal := x.identify(table)
	if refusal != keyAccepted || found.priority(x.route) != x.sender.priority(x.route) {
		return false
	}
	x.sender = found
	return true
}

// countKeyRefusal counts a request that was refused for its key.
func (x *exchange) countKeyRefusal() {
	if x.keyRefusal == keyAccepted || x.finalErr == nil {
		return
	}
	switch x.finalErr.Kind {
	case errkind.Unauthorized:
		x.server.m.keyRefusals.WithLabelValues(string(x.keyRefusal)).Inc()
	case errkind.StaleConfig:
		x.server.m.keyRefusals.WithLabelValues(string(keyOutOfContact)).Inc()
	}
}
