package measurer

// Admission is one admission as a test describes it: an engine and the cost of the request.
type Admission struct {
	Engine string
	Cost   float64
}

// CountOver returns how many of the admissions break the bound, after the engines of returned left and came back.
func CountViolations(bound float64, engines, returned []string, list []Admission) (violations, checked int) {
	m := newMeter(bound, engines)
	for _, e := range returned {
		m.setAvailable(e, false)
		m.setAvailable(e, true)
	}
	m.setRecording(true)
	for _, a := range list {
		m.recordWork(a.Engine, a.Cost)
	}
	return m.violations, m.checked
}
