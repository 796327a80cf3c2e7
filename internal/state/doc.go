// Package state implements the replicated state machine: applied files, leases, upstream
// registrations, orders and placements, the idempotency ledger and quarantine. It is
// deterministic and performs no I/O; it takes the time from the commands alone.
//
// One goroutine applies commands in log order; any number of goroutines may read.
// Messages returned by reads are shared with the machine and must not be modified. The
// machine itself replaces a published message and never modifies it in place.
package state
