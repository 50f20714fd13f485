package measure

import (
	"slices"
	"sync"
)

// Line is one measured figure; it is printed as one JSON object.
type Line struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
	// Bound and Pass are nil for a figure without a goal.
	Bound *float64 `json:"bound,omitempty"`
	Pass  *bool    `json:"pass,omitempty"`
	Seed  uint64   `json:"seed"`
	Labels
	// Samples is the number of runs behind a quantile.
	Samples int `json:"samples,omitempty"`
}

// Labels say what a figure is about.
type Labels struct {
	Firm   Firm       `json:"firm,omitempty"`
	Pool   string     `json:"pool,omitempty"`
	Load   Load       `json:"load,omitempty"`
	Fault  string     `json:"fault,omitempty"`
	Policy PolicyName `json:"policy,omitempty"`
	// FalseEjectionEveryHours is the pool's setting, where an experiment varies it.
	FalseEjectionEveryHours float64 `json:"falseEjectionEveryHours,omitempty"`
}

func labelsOf(p Profile, load Load, fault string, policy PolicyName) Labels {
	return Labels{Firm: p.Firm, Pool: string(p.Pool), Load: load, Fault: fault, Policy: policy}
}

// Units of figures.
const (
	unitSeconds  = "s"
	unitRequests = "requests"
	unitPercent  = "%"
	unitCount    = "count"
	unitRatio    = "ratio"
	unitPerDay   = "perDay"
	unitPerM     = "perMillionRequests"
	unitHours    = "h"
)

// sheet collects the lines about one subject. Only the own policy is held to goals.
type sheet struct {
	lines  []Line
	seed   uint64
	labels Labels
}

func (s *sheet) add(name string, value float64, unit string) *Line {
	s.lines = append(s.lines, Line{Name: name, Value: value, Unit: unit, Seed: s.seed, Labels: s.labels})
	return &s.lines[len(s.lines)-1]
}

func (s *sheet) atMost(name string, value float64, unit string, bound float64) {
	s.bounded(name, value, unit, bound, value <= bound)
}

func (s *sheet) atLeast(name string, value float64, unit string, bound float64) {
	s.bounded(name, value, unit, bound, value >= bound)
}

func (s *sheet) bounded(name string, value float64, unit string, bound float64, pass bool) {
	l := s.add(name, value, unit)
	if s.labels.Policy == Own {
		l.Bound, l.Pass = &bound, &pass
	}
}

// Failed says that the figure misses its bound.
func (l Line) Failed() bool { return l.Pass != nil && !*l.Pass }

// quantile returns the q-quantile by nearest rank, the greatest value for few samples; 0 without any.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	rank := int(q*float64(len(sorted)) + 0.999999)
	return sorted[min(max(rank, 1), len(sorted))-1]
}

// percent returns part as a percentage of whole; 0 without a whole.
func percent(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return 100 * float64(part) / float64(whole)
}

// parallel runs the jobs on a number of goroutines and returns their results in the jobs' order.
func parallel[J, R any](workers int, jobs []J, run func(J) R) []R {
	results := make([]R, len(jobs))
	next := make(chan int)
	var wg sync.WaitGroup
	for range workers {
		wg.Go(func() {
			for i := range next {
				results[i] = run(jobs[i])
			}
		})
	}
	for i := range jobs {
		next <- i
	}
	close(next)
	wg.Wait()
	return results
}
