package ident

// Outcome tells what is known of whether a call ran.
type Outcome uint8

// The outcomes of a call. The zero value is Unknown, so that a path that
// forgets to decide claims nothing.
const (
	// Unknown means that the call may have run.
	Unknown Outcome = iota
	// NotRun means that no byte of the call reached anything able to run it.
	NotRun
	// Done means that the call ran and its whole answer is here.
	Done
)

// String returns the form that callers and logs see.
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
