package chooser

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// Values of Choice.Reason: why the first candidate comes first. The baseline policies give their name instead.
const (
	// ReasonAffinity means that the preferred upstream of the chat comes first.
	ReasonAffinity = "affinity"
	// ReasonAboveBound means that the preferred upstream is known to be above the load bound.
	ReasonAboveBound = "above_bound"
	// ReasonSuspect means that the preferred upstream is suspect.
	ReasonSuspect = "suspect"
	// ReasonDown means that the preferred upstream is down.
	ReasonDown = "down"
	// ReasonAllAboveBound means that every usable upstream is above the load bound.
	ReasonAllAboveBound = "all_above_bound"
	// ReasonAllSuspect means that every usable upstream is suspect.
	ReasonAllSuspect = "all_suspect"
	// ReasonAllDown means that every upstream that is not leaving is down.
	ReasonAllDown = "all_down"
	// ReasonNoCandidate means that there is no upstream or that all are leaving.
	ReasonNoCandidate = "no_candidate"
)

// Values of Candidate.Note: why the candidate has its position.
const (
	NoteFit        = "fit"
	NoteLessLoaded = "less_loaded_of_two"
	NoteAboveBound = "above_bound"
	NoteSuspect    = "suspect"
	NoteDown       = "down"
	NoteLeaving    = "leaving"
)

var tierNotes = [...]string{
	tierFit:        NoteFit,
	tierAboveBound: NoteAboveBound,
	tierSuspect:    NoteSuspect,
	tierDown:       NoteDown,
	tierExcluded:   NoteLeaving,
}

// Candidate is an upstream with its score and its position in a choice.
type Candidate struct {
	Upstream
	// Position is the position in the chat's preference order, from 1; only Explain sets it, and not for leaving
	// upstreams.
	Position int     `json:"position,omitempty"`
	Weight   float64 `json:"weight"`
	Score    float64 `json:"score"`
	Note     string  `json:"note"`
}

// Choice is the result of Choose and the reasons for it.
type Choice struct {
	Policy Policy `json:"policy"`
	// Order lists the upstreams to try. The attempt at the last one may wait in the agent's queue.
	Order []Candidate `json:"order"`
	// Skipped lists candidates that precede the first of Order in the chat's preference order but were passed over,
	// at most Attempts+1 for each cause.
	Skipped []Candidate `json:"skipped,omitempty"`
	Reason  string      `json:"reason"`
	// Mean is the mean work of the upstreams whose load is known, in tokens, and Known is their number.
	Mean  float64 `json:"mean"`
	Known int     `json:"known"`
	// Limit is the work above which a candidate is skipped, in tokens; zero means that there is no limit.
	Limit float64 `json:"limit,omitempty"`
}

func (r *ranking) choice(picked []ranked, tiers *[tierCount]top) Choice {
	ch := Choice{Policy: r.cfg.Policy, Mean: r.mean, Known: r.known}
	if !math.IsInf(r.limit, 1) && r.cfg.Policy == Rendezvous {
		ch.Limit = r.limit
	}
	if len(picked) == 0 {
		ch.Reason = ReasonNoCandidate
		return ch
	}
	ch.Order = make([]Candidate, len(picked))
	for i, item := range picked {
		ch.Order[i] = r.candidate(item)
	}
	if r.lastReplaced(picked, tiers) {
		ch.Order[len(picked)-1].Note = NoteLessLoaded
	}
	ch.Skipped = r.skipped(picked[0], tiers)
	ch.Reason = r.reason(picked[0], ch.Skipped)
	return ch
}

// lastReplaced reports whether the last candidate replaced one with a better hash score.
func (r *ranking) lastReplaced(picked []ranked, tiers *[tierCount]top) bool {
	last := picked[len(picked)-1]
	// position is the position in the last candidate's tier, from 1, at which it is if it has replaced none.
	position := len(picked)
	for t := tierFit; t < last.tier; t++ {
		position -= tiers[t].n
	}
	return position < 1 || tiers[last.tier].items[position-1].index != last.index
}

func (r *ranking) candidate(item ranked) Candidate {
	u := r.ups[item.index]
	return Candidate{
		Upstream: u,
		Weight:   weight(u.Uptime, r.cfg.Ramp),
		Score:    item.score,
		Note:     tierNotes[item.tier],
	}
}

// skipped lists the candidates of worse tiers that precede the first one in the preference order.
func (r *ranking) skipped(first ranked, tiers *[tierCount]top) []Candidate {
	var list []Candidate
	for t := first.tier + 1; t < tierCount; t++ {
		for _, item := range tiers[t].items[:tiers[t].n] {
			if !item.before(first, r.ups) {
				break
			}
			list = append(list, r.candidate(item))
		}
	}
	slices.SortStableFunc(list, func(a, b Candidate) int { return cmp.Compare(b.Score, a.Score) })
	return list
}

func (r *ranking) reason(first ranked, skipped []Candidate) string {
	if r.cfg.Policy != Rendezvous {
		return r.cfg.Policy.String()
	}
	switch first.tier {
	case tierAboveBound:
		return ReasonAllAboveBound
	case tierSuspect:
		return ReasonAllSuspect
	case tierDown:
		return ReasonAllDown
	default:
	}
	if len(skipped) > 0 {
		return skipped[0].Note
	}
	return ReasonAffinity
}

// KeyValues returns the choice as alternating keys and values for one log line.
func (ch Choice) KeyValues() []any {
	chosen := ""
	if len(ch.Order) > 0 {
		chosen = ch.Order[0].Name
	}
	return []any{
		"chosen", chosen,
		"reason", ch.Reason,
		"policy", ch.Policy.String(),
		"candidates", formatCandidates(ch.Order),
		"skipped", formatCandidates(ch.Skipped),
		"mean", math.Round(ch.Mean),
		"limit", math.Round(ch.Limit),
		"known", ch.Known,
	}
}

// formatCandidates formats candidates as name(note,state,work/age), with ? for an unknown load.
func formatCandidates(list []Candidate) string {
	var b strings.Builder
	for i, cand := range list {
		if i > 0 {
			b.WriteByte(' ')
		}
		load := "?"
		if cand.Known {
			load = fmt.Sprintf("%.0f/%v", cand.Work, cand.WorkAge.Round(time.Millisecond))
		}
		fmt.Fprintf(&b, "%s(%s,%v,%s)", cand.Name, cand.Note, cand.State, load)
	}
	return b.String()
}

// Explanation is a choice together with the position of every upstream.
type Explanation struct {
	Choice  Choice      `json:"choice"`
	Ranking []Candidate `json:"ranking"`
}

// Explain returns the choice that Choose makes for the same arguments, and ranks all upstreams; leaving ones come last.
func (c *Chooser) Explain(key uint64, cost float64, ups []Upstream) Explanation {
	// Uses a copy, since an explanation must not advance the sequence of the random and round-robin policies.
	copied := &Chooser{cfg: c.cfg}
	copied.sequence.Store(c.sequence.Load())
	ex := Explanation{Choice: copied.Choose(key, cost, ups)}
	copied.sequence.Store(c.sequence.Load())
	r := copied.newRanking(key, cost, ups)
	items := make([]ranked, len(ups))
	for i := range ups {
		items[i] = r.rank(i)
	}
	slices.SortFunc(items, func(a, b ranked) int {
		switch {
		case (a.tier == tierExcluded) != (b.tier == tierExcluded):
			return int(a.tier) - int(b.tier)
		case a.before(b, ups):
			return -1
		case b.before(a, ups):
			return 1
		default:
			return 0
		}
	})
	for i, item := range items {
		cand := r.candidate(item)
		if item.tier != tierExcluded {
			cand.Position = i + 1
		}
		ex.Ranking = append(ex.Ranking, cand)
	}
	return ex
}
