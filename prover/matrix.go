package prover

import "slices"

// Reason says why a cell of the matrix cannot occur.
type Reason string

// The reasons.
const (
	// Applies is the empty reason of a cell that is run.
	Applies Reason = ""
	// NotBuilt means that no process takes the step yet.
	NotBuilt Reason = "no process takes this step yet"
	// AlreadyEnded means that the process that the fault would hit has ended at the step.
	AlreadyEnded Reason = "the process that the fault would hit has ended"
)

// Cell is one cell of the matrix: one fault, or two together, at one step.
type Cell struct {
	Step   Step
	Faults []Fault
	// Reason says why the cell cannot occur; it is Applies for a cell that is run.
	Reason Reason
}

// Name returns the name of the cell.
func (c Cell) Name() string {
	name := c.Step.String()
	for i, f := range c.Faults {
		if i == 0 {
			name += "/"
		} else {
			name += "+"
		}
		name += string(f)
	}
	return name
}

// Matrix returns the product of all steps with all faults and pairs of faults.
func Matrix() []Cell {
	var cells []Cell
	for _, s := range Steps() {
		for _, f := range Faults() {
			cells = append(cells, newCell(s, f))
		}
		for _, p := range Pairs() {
			cells = append(cells, newCell(s, p[0], p[1]))
		}
	}
	return cells
}

func newCell(s Step, faults ...Fault) Cell {
	return Cell{Step: s, Faults: faults, Reason: reason(s, faults)}
}

func reason(s Step, faults []Fault) Reason {
	if s.reached == nil {
		return NotBuilt
	}
	hits := func(fs ...Fault) bool {
		return slices.ContainsFunc(faults, func(f Fault) bool { return slices.Contains(fs, f) })
	}
	switch {
	case s.Way == StopAgent && s.Name == "exit" && hits(UpstreamLeaving):
		return AlreadyEnded
	default:
		return Applies
	}
}
