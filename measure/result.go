package measure

import (
	"slices"
	"sync"
)

// Result is one measured figure. It is printed as one JSON object.
type Result struct {
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

// Labels describe what a figure was measured on.
type Labels struct {
	Operator Operator   `json:"firm,omitempty"`
	Pool     string     `json:"pool,omitempty"`
	Load     Load       `json:"load,omitempty"`
	Fault    string     `json:"fault,omitempty"`
	Policy   PolicyName `json:"policy,omitempty"`
	// FalseEjectionEveryHours is the pool's setting, if the experiment varies it; 0 otherwise.
	FalseEjectionEveryHours float64 `json:"falseEjectionEveryHours,omitempty"`
}

func labelsOf(p Profile, load Load, fault string, policy PolicyName) Labels {
	return Labels{Operator: p.Operator, Pool: string(p.Pool), Load: load, Fault: fault, Policy: policy}
}

// Units of results.
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

// resultRecorder collects the results with the same labels. Bounds apply to CellPolicy only.
type resultRecorder struct {
	results []Result
	seed    uint64
	labels  Labels
}

func (r *resultRecorder) add(name string, value float64, unit string) *Result {
	r.results = append(r.results, Result{Name: name, Value: value, Unit: unit, Seed: r.seed, Labels: r.labels})
	return &r.results[len(r.results)-1]
}

func (r *resultRecorder) atMost(name string, value float64, unit string, bound float64) {
	r.addBounded(name, value, unit, bound, value <= bound)
}

func (r *resultRecorder) atLeast(name string, value float64, unit string, bound float64) {
	r.addBounded(name, value, unit, bound, value >= bound)
}

func (r *resultRecorder) addBounded(name string, value float64, unit string, bound float64, pass bool) {
	result := r.add(name, value, unit)
	if r.labels.Policy == CellPolicy {
		result.Bound, result.Pass = &bound, &pass
	}
}

// Failed reports whether the figure misses its bound.
func (r Result) Failed() bool { return r.Pass != nil && !*r.Pass }

// quantile returns the q-quantile by nearest rank, or 0 without values. With few values a high
// quantile is the maximum.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	rank := int(q*float64(len(sorted)) + 0.999999)
	return sorted[min(max(rank, 1), len(sorted))-1]
}

// percent returns part as a percentage of total; 0 if total is 0.
func percent(part, total int) float64 {
	if total == 0 {
		return 0
	}
	return 100 * float64(part) / float64(total)
}

// parallel runs the jobs on the given number of goroutines and returns their results in the order of
// the jobs.
func parallel[J, R any](workers int, jobs []J, fn func(J) R) []R {
	results := make([]R, len(jobs))
	next := make(chan int)
	var wg sync.WaitGroup
	for range workers {
		wg.Go(func() {
			for i := range next {
				results[i] = fn(jobs[i])
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
