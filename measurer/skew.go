package measurer

import (
	"context"

	"clementineramp/chooser"
)

func measureSkew(ctx context.Context, seed uint64) (Result, error) {
	t, err := runTrials(ctx, seed)
	if err != nil {
		return Result{}, err
	}
	r := Result{Name: "skew", Seed: seed, Figures: []Figure{
		{Name: "largest load at an admission", Subject: fleetSubject, Value: t.standard.largestLoad, Unit: "of the mean", Goal: AtMost(chooser.DefaultBound)},
		{Name: "admissions over the bound", Subject: fleetSubject, Value: float64(t.standard.violations), Goal: AtMost(0)},
	}}
	for _, t := range t.all() {
		r.Figures = append(r.Figures,
			Figure{Name: "admissions", Subject: t.subject, Value: float64(t.checked)},
			Figure{Name: "admissions over the bound", Subject: t.subject, Value: float64(t.violations)},
			Figure{Name: "largest load at an admission", Subject: t.subject, Value: t.largestLoad, Unit: "of the mean"},
			Figure{Name: "largest load, mean over time", Subject: t.subject, Value: t.skew, Unit: "of the mean"},
		)
	}
	r.Notes = []string{
		"loads are read from the engines' own records; the mean is the true one at the time of admission",
		"load consists of whole requests: an engine that is idle or not above the mean may accept one request of any size",
	}
	return r, nil
}
