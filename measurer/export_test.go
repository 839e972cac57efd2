package measurer

// Admission is one admission as a test describes it: an engine and the cost of the request.
type Admission struct {
	Engine string
	Cost   float64
}

// CountOver returns how many of the admissions break the bound, after the engines of returned left and came back.
func CountOver(bound float64, engines, returned []string, list []Admission) (over, checked int) {
	m := newMeter(bound, engines)
	for _, e := range returned {
		m.setUp(e, false)
		m.setUp(e, true)
	}
	m.watch(true)
	for _, a := range list {
		m.change(a.Engine, a.Cost)
	}
	return m.over, m.checked
}
