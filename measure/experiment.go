package measure

import (
	"encoding/json"
	"io"
	"maps"
	"slices"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("measure")

// Options apply to all experiments.
type Options struct {
	Seed uint64
	// Workers is the number of goroutines; results don't depend on it.
	Workers int
	// Runs is the number of runs behind each quantile of CellPolicy.
	Runs int
	// NoiseFraction is the fraction of each phase of the 30 days of healthy noise that is simulated, 0 to
	// 1.
	NoiseFraction float64
	// Only is the name of the one experiment to run; empty runs all.
	Only string
	// SVG is the file that the experiment "curve" writes its drawing to; empty draws nothing.
	SVG string
}

// Experiment is a named group of measurements.
type Experiment struct {
	About string
	Run   func(o Options) ([]Result, error)
}

// Experiments holds all experiments by name. Programs may add to them before Run.
var Experiments = map[string]Experiment{
	"addedLatency": {"time that an entry adds to a lookup, with real processes", runAddedLatency},
	"detection":    {"time and requests until a faulty target is out, and the cost for callers", runDetection},
	"noise":        {"false ejections over 30 days of healthy work", runNoise},
	"quiet":        {"false ejections in disturbances that no target causes", runQuiet},
	"overload":     {"goodput under twice the capacity", runOverload},
	"outage":       {"retries, floor and recovery when all targets are unhealthy", runOutage},
	"poison":       {"targets crashed by a poison request", runPoison},
	"drain":        {"new work at leaving targets", runDrain},
	"views":        {"floor and slots with several observers of one cell", runViews},
	"cost":         {"choice of the target by expected completion against baselines and an oracle", runCost},
	"curve":        {"detection time against false ejections as the setting varies", runCurve},
}

// Run runs the selected experiments in order of their names and calls out for each result.
func Run(o Options, out func(Result) error) error {
	names := slices.Sorted(maps.Keys(Experiments))
	if o.Only != "" {
		if _, ok := Experiments[o.Only]; !ok {
			return Error.New("no experiment is named %q; there are %v", o.Only, names)
		}
		names = []string{o.Only}
	}
	for _, name := range names {
		results, err := Experiments[name].Run(o)
		if err != nil {
			return Error.New("%s: %v", name, err)
		}
		for _, r := range results {
			r.Name = name + "." + r.Name
			if err := out(r); err != nil {
				return Error.Wrap(err)
			}
		}
	}
	return nil
}

// Print returns a function that writes results to w as JSON, one object per line.
func Print(w io.Writer) func(Result) error {
	e := json.NewEncoder(w)
	return func(r Result) error { return Error.Wrap(e.Encode(r)) }
}

// policies returns CellPolicy, if its factory is registered, and the baselines.
func policies() []PolicyName {
	if _, ok := BalancerFactories[CellPolicy]; !ok {
		return Baselines
	}
	return append([]PolicyName{CellPolicy}, Baselines...)
}

// cellPolicies returns CellPolicy, if its factory is registered.
func cellPolicies() []PolicyName { return policies()[:len(policies())-len(Baselines)] }

// subject is a combination of pool, load and policy that an experiment runs.
type subject struct {
	profile Profile
	load    Load
	policy  PolicyName
}

// subjects returns all combinations of the given pools, loads and policies.
func subjects(profiles []Profile, loads []Load, policies []PolicyName) []subject {
	var list []subject
	for _, p := range profiles {
		for _, l := range loads {
			for _, n := range policies {
				list = append(list, subject{p, l, n})
			}
		}
	}
	return list
}

// runAll runs fn for all jobs in parallel and concatenates the results in the order of the jobs.
func runAll[J any](o Options, jobs []J, fn func(J) []Result) []Result {
	return slices.Concat(parallel(o.Workers, jobs, fn)...)
}
