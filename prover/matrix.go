package prover

import "slices"

// SkipReason says why a cell of the matrix is not run.
type SkipReason string

// The reasons.
const (
	// NotSkipped is the empty reason of a cell that is run.
	NotSkipped SkipReason = ""
	// StepNotImplemented means that no process implements the step yet.
	StepNotImplemented SkipReason = "no process implements this step yet"
	// ProcessEnded means that the process that the fault would hit has already ended at the step.
	ProcessEnded SkipReason = "the process that the fault would hit has already ended"
)

// Cell is one cell of the matrix: one fault, or two together, injected at one step.
type Cell struct {
	Step   Step
	Faults []Fault
	// Skip says why the cell is not run; it is NotSkipped for a cell that is run.
	Skip SkipReason
}

// Name returns flow, step and faults in the form "flow/step/fault+fault".
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

// Matrix returns a cell for each step with each fault and each pair of faults, including the cells that are not run.
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
