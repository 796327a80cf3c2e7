package entry

// Each switch takes one mechanism out, so that tests can show that the mechanism is
// what makes them pass. They are false in production.
var (
	skipUseBy    bool // write the first byte however old the grant is
	skipIdentity bool // take an answer whatever attempt it carries
	skipEndMark  bool // take a stream that just ends for whole
	skipLedger   bool // send a non-idempotent call before it is recorded
	skipBudget   bool // retry without a budget
)
