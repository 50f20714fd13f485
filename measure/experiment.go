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

// Options hold for all experiments.
type Options struct {
	Seed uint64
	// Workers is the number of goroutines; results don't depend on it.
	Workers int
	// Runs is the number of runs behind each quantile of the own policy.
	Runs int
	// NoiseFraction is the simulated share of each of the 30 days of healthy noise, 0 to 1.
	NoiseFraction float64
	// Only names the one experiment to run; empty runs all.
	Only string
	// SVG is the file that the experiment "curve" draws to; empty draws nothing.
	SVG string
}

// Experiment measures one subject.
type Experiment struct {
	About string
	Run   func(o Options) ([]Result, error)
}

// Experiments are all experiments by name; programs may add to them before Run.
var Experiments = map[string]Experiment{
	"addedLatency": {"time that an entry adds to a lookup, with real processes", runAddedLatency},
	"detection":    {"time and requests until a faulty target is out, and the cost for callers", runDetection},
	"noise":        {"false ejections over 30 days of healthy work", runNoise},
	"quiet":        {"false ejections in troubles that are no target's fault", runQuiet},
	"overload":     {"goodput under twice the capacity", runOverload},
	"outage":       {"retries, floor and recovery when the whole pool is bad", runOutage},
	"poison":       {"targets crashed by a poison request", runPoison},
	"drain":        {"new work at leaving targets", runDrain},
	"views":        {"floor and slots with several observers of one cell", runViews},
	"curve":        {"detection time against false ejections as the setting varies", runCurve},
}

// Run runs the chosen experiments in the order of their names and calls out for each figure.
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

// Print returns a function that writes lines to w as JSON.
func Print(w io.Writer) func(Result) error {
	e := json.NewEncoder(w)
	return func(r Result) error { return Error.Wrap(e.Encode(r)) }
}

// policies returns the own policy, when it is available, and the baselines.
func policies() []PolicyName {
	if _, ok := BalancerFactories[CellPolicy]; !ok {
		return Baselines
	}
	return append([]PolicyName{CellPolicy}, Baselines...)
}

// cellPolicies returns the own policy, when it is available.
func cellPolicies() []PolicyName { return policies()[:len(policies())-len(Baselines)] }

// subject is one combination that an experiment runs.
type subject struct {
	profile Profile
	load    Load
	policy  PolicyName
}

// subjects returns all combinations.
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

// runAll runs one function per job in parallel and joins the lines.
func runAll[J any](o Options, jobs []J, fn func(J) []Result) []Result {
	return slices.Concat(parallel(o.Workers, jobs, fn)...)
}
