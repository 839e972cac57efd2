package chooser

// MaxAttempts is the maximum of Config.Attempts.
const MaxAttempts = 8

// tier groups candidates by state and load; a lower tier is preferred.
type tier int

const (
	tierFit tier = iota
	tierAboveBound
	tierSuspect
	tierDown
	tierCount
	// tierExcluded holds upstreams that are never tried, because they are leaving.
	tierExcluded
)

// ranked is an upstream with its score and tier for one choice.
type ranked struct {
	index int
	score float64
	// tie breaks ties between equal scores, which are frequent under the baseline policies.
	tie  uint64
	tier tier
}

// before reports whether r has a higher score than other; ties are broken by the tie value, then by the name.
func (r ranked) before(other ranked, ups []Upstream) bool {
	if r.score != other.score {
		return r.score > other.score
	}
	if r.tie != other.tie {
		return r.tie > other.tie
	}
	return ups[r.index].Name < ups[other.index].Name
}

// top keeps the best few candidates of one tier, best first. Its fixed size avoids a heap allocation.
type top struct {
	items [MaxAttempts + 1]ranked
	n     int
}

// add inserts r if it is among the best candidates; keep is the number of candidates to retain.
func (t *top) add(r ranked, keep int, ups []Upstream) {
	if t.n == keep {
		if !r.before(t.items[t.n-1], ups) {
			return
		}
		t.n--
	}
	i := t.n
	for i > 0 && r.before(t.items[i-1], ups) {
		t.items[i] = t.items[i-1]
		i--
	}
	t.items[i] = r
	t.n++
}
