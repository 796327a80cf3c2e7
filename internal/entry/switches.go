package entry

// Each switch disables one mechanism, so that a test can show that the mechanism is what
// prevents the fault. All are false in production.
var (
	skipUseBy    bool // write the first byte under an expired grant
	skipIdentity bool // accept a response to another attempt
	skipEndMark  bool // accept a stream without an end mark as complete
	skipLedger   bool // send a non-idempotent call without recording it
	skipBudget   bool // retry without a budget
)
