package measurer

// Admission is the admission of a request by an engine. Cost is in tokens.
type Admission struct {
	Engine string
	Cost   float64
}

// CountViolations returns how many of the admissions in list exceed the load limit, and how many were checked. The
// engines in returned leave and return before the first admission.
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
