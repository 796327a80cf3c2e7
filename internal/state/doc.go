// Package state is the replicated state machine: applied files, leases, upstream
// registrations, orders and placements, the idempotency ledger and quarantine. It is
// deterministic and has no I/O; time comes only from the commands.
//
// One goroutine applies commands in log order; any number read. Messages that reads
// return are shared with the machine and must not be changed: the machine replaces a
// message, it never writes to one that it has published.
package state
