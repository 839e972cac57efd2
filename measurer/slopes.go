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
	// slopeRepeats is the number of repeats of a timing, of which the median counts.
	slopeRepeats = 5
	// slopeBatch is the least time of a repeat.
	minRepeatTime = 10 * time.Millisecond
)

func slopesMeasurement() Measurement {
	return Measurement{
		Name:    "slopes",
		Summary: "cost against size of each component, for docs/CAPACITY.md",
		Run:     measureSlopes,
	}
}

// point is one measured value at one size.
type point struct{ x, y float64 }

// series holds the points of one cost and the line through them.
type series struct {
	// name is the cost and per the thing that grows.
	name, dimension, unit string
	points                []point
}

// slopeOf returns the least-squares line through the points.
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
		fmt.Sprintf("times are medians of %d repeats; the middle three of one differed by at most %.0f%% of its median", slopeRepeats, 100*spread),
		"requests and open streams cost caller, router, agent and stand-in engine together, and an idle process its part of the stand-ins")
	return r, nil
}

// timed returns the median time of f in nanoseconds and raises spread to the part by which the middle half of the repeats differed.
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

// memoryOf returns the heap and stack bytes that build adds and keeps, and the value that keeps them.
func memoryOf[T any](build func() T) (float64, T) {
	before := memoryInUse()
	v := build()
	return memoryInUse() - before, v
}

func memoryInUse() float64 {
	// The second collection frees what the first one finalised.
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}
