package entry

// Each switch disables one safety mechanism, so that tests can show that they fail
// without it. All are false in production.
var (
	skipUseBy    bool // write the first byte under an expired grant
	skipIdentity bool // accept a response to another attempt
	skipEndMark  bool // accept a stream without an end mark as complete
	skipLedger   bool // send a non-idempotent call without recording it
	skipBudget   bool // retry without a budget
)
