package prover

import "slices"

// SkipReason says why a cell of the matrix cannot occur.
type SkipReason string

// The reasons.
const (
	// NotSkipped is the empty reason of a cell that is run.
	NotSkipped SkipReason = ""
	// StepNotImplemented means that no process takes the step yet.
	StepNotImplemented SkipReason = "no process takes this step yet"
	// ProcessEnded means that the process that the fault would hit has ended at the step.
	ProcessEnded SkipReason = "the process that the fault would hit has ended"
)

// Cell is one cell of the matrix: one fault, or two together, at one step.
type Cell struct {
	Step   Step
	Faults []Fault
	// SkipReason says why the cell cannot occur; it is NotSkipped for a cell that is run.
	Skip SkipReason
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
		for _, p := range FaultPairs() {
			cells = append(cells, newCell(s, p[0], p[1]))
		}
	}
	return cells
}

func newCell(s Step, faults ...Fault) Cell {
	return Cell{Step: s, Faults: faults, Skip: skipReason(s, faults)}
}

func skipReason(s Step, faults []Fault) SkipReason {
	if s.reached == nil {
		return StepNotImplemented
	}
	hits := func(fs ...Fault) bool {
		return slices.ContainsFunc(faults, func(f Fault) bool { return slices.Contains(fs, f) })
	}
	switch {
	case s.Flow == StopAgent && s.Name == "exit" && hits(UpstreamLeaving):
		return ProcessEnded
	default:
		return NotSkipped
	}
}
