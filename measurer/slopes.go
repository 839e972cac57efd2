package measurer

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"time"

	"github.com/gravitational/trace"
)

const (
	// slopeRepeats is the number of repeats of a timing; the result is their median.
	slopeRepeats = 5
	// minRepeatTime is the minimum length of a repeat.
	minRepeatTime = 10 * time.Millisecond
)

func slopesMeasurement() Measurement {
	return Measurement{
		Name:    "slopes",
		Summary: "cost of each component as a function of its size, for docs/CAPACITY.md",
		Run:     measureSlopes,
	}
}

// point is the value y that was measured at the size x.
type point struct{ x, y float64 }

// series holds the measured points of one cost, to which a line is fitted.
type series struct {
	// name describes the cost, and dimension is what the size counts.
	name, dimension, unit string
	points                []point
}

// fitLine returns the least-squares line through the points.
func fitLine(points []point) (slope, intercept float64) {
	var sx, sy, sxx, sxy float64
	n := float64(len(points))
	for _, p := range points {
		sx += p.x
		sy += p.y
		sxx += p.x * p.x
		sxy += p.x * p.y
	}
	slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return slope, (sy - slope*sx) / n
}

func (s series) figures() []Figure {
	var figures []Figure
	for _, p := range s.points {
		figures = append(figures, Figure{Name: fmt.Sprintf("%s, %g %s", s.name, p.x, s.dimension), Subject: systemSubject, Value: p.y, Unit: s.unit})
	}
	slope, intercept := fitLine(s.points)
	return append(figures,
		Figure{Name: s.name + ", slope over " + s.dimension, Subject: systemSubject, Value: slope, Unit: s.unit},
		Figure{Name: s.name + ", intercept", Subject: systemSubject, Value: intercept, Unit: s.unit})
}

func measureSlopes(ctx context.Context, seed uint64) (Result, error) {
	r := Result{Name: "slopes", Seed: seed}
	var spread float64
	for _, measure := range []func() ([]series, error){
		func() ([]series, error) { return chooseSlopes(&spread) },
		func() ([]series, error) { return trackerSlopes(&spread) },
		func() ([]series, error) { return admitterSlopes(&spread) },
		func() ([]series, error) { return ticketSlopes(&spread) },
		func() ([]series, error) { return holderSlopes(&spread) },
		func() ([]series, error) { return hostSlopes(&spread) },
		func() ([]series, error) { return gossipSlopes(ctx) },
		recorderSlopes,
		func() ([]series, error) { return idleSlopes(ctx) },
		func() ([]series, error) { return requestSlopes(ctx, seed) },
		func() ([]series, error) { return streamSlopes(ctx, seed) },
	} {
		list, err := measure()
		if err != nil {
			return r, trace.Wrap(err)
		}
		for _, s := range list {
			r.Figures = append(r.Figures, s.figures()...)
		}
	}
	r.Notes = append(r.Notes,
		fmt.Sprintf("times are medians of %d repeats; the middle three repeats of a timing differ by at most %.0f%% of its median", slopeRepeats, 100*spread),
		"figures of requests and open streams include caller, router, agent and stand-in engine; those of an idle process, its share of the stand-ins")
	return r, nil
}

// medianTime returns the median time of a call of f in nanoseconds. It raises spread to the difference between the
// slowest and the fastest of the middle repeats, as a fraction of the median, if that is larger.
func medianTime(spread *float64, f func()) float64 {
	f()
	var all []float64
	for range slopeRepeats {
		n := 0
		began := time.Now()
		for n == 0 || time.Since(began) < minRepeatTime {
			f()
			n++
		}
		all = append(all, float64(time.Since(began).Nanoseconds())/float64(n))
	}
	slices.Sort(all)
	median := all[len(all)/2]
	*spread = max(*spread, (all[len(all)-1-len(all)/4]-all[len(all)/4])/median)
	return median
}

// memoryOf returns by how many bytes build increases the heap and stacks, and its value, which keeps them reachable.
func memoryOf[T any](build func() T) (float64, T) {
	before := memoryInUse()
	v := build()
	return memoryInUse() - before, v
}

// memoryInUse returns the bytes of live heap objects and of stacks.
func memoryInUse() float64 {
	// The second collection frees the objects whose finalisers ran after the first one.
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}
