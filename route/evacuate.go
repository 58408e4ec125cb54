package route

import "slices"

// Evacuations is the set of data centres whose servers get no requests. It is immutable.
type Evacuations struct{ centres []string }

// NewEvacuations returns the set of the given data centres.
func NewEvacuations(centres []string) *Evacuations {
	list := slices.Clone(centres)
	slices.Sort(list)
	return &Evacuations{slices.Compact(list)}
}

// Centres returns the data centres in order of their names. The caller must not modify the slice.
func (e *Evacuations) Centres() []string { return e.centres }

// Contains reports whether a data centre is being evacuated.
func (e *Evacuations) Contains(centre string) bool {
	_, ok := slices.BinarySearch(e.centres, centre)
	return ok
}
