// Package state is the replicated state machine: applied files, leases, upstream
// registrations, orders and placements, the idempotency ledger and quarantine. It is
// deterministic and has no I/O; time comes only from the commands.
package state
