package chooser

// MaxAttempts is the largest number of attempts that a Config may ask for.
const MaxAttempts = 8

// tier groups candidates by how well they suit; a lower tier is preferred.
type tier int

const (
	tierFit tier = iota
	tierAboveBound
	tierSuspect
	tierDown
	tierCount
	// tierExcluded holds upstreams that get no new work in any case.
	tierExcluded
)

// ranked is an upstream with its place in a chat's order.
type ranked struct {
	index int
	score float64
	// tie orders equal scores, which the baselines give often.
	tie  uint64
	tier tier
}

func (r ranked) before(other ranked, ups []Upstream) bool {
	if r.score != other.score {
		return r.score > other.score
	}
	if r.tie != other.tie {
		return r.tie > other.tie
	}
	return ups[r.index].Name < ups[other.index].Name
}

// top keeps the best few candidates of one tier; its fixed size keeps it off the heap.
type top struct {
	items [MaxAttempts + 1]ranked
	n     int
}

// add inserts r if it is among the best keep candidates.
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
