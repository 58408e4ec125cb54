package ident

// Outcome says whether a call ran, as far as it is known.
type Outcome uint8

// The outcomes of a call. The zero value is Unknown, so that code that fails to set an outcome
// makes no claim.
const (
	// Unknown means that the call may have run.
	Unknown Outcome = iota
	// NotRun means that no byte of the call reached a process that could run it.
	NotRun
	// Done means that the call ran and its complete response was received.
	Done
)

// String returns the text used in responses to callers and in logs.
func (o Outcome) String() string {
	switch o {
	case Done:
		return "done"
	case NotRun:
		return "not run"
	default:
		return "unknown"
	}
}
