package measure

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/bilberrywood/bilberrywood/pool"
)

// curveHours are the settings of falseEjectionEveryHours along the curve.
var curveHours = []float64{1, 24, 720, 8_760, 87_600, 876_000}

// curveHealthyTime is the time of healthy work in which each point's false ejections are counted,
// split over curveHealthyRuns runs. curveDetectionRuns is the number of runs behind each detection
// time.
const (
	curveHealthyTime   = 4 * time.Hour
	curveHealthyRuns   = 4
	curveDetectionRuns = 12
)

// curveFaults are the faults whose detection time is drawn, one for each class of goal.
var curveFaults = []FaultName{"failsFast", "slow4", "fails20"}

// CurvePoint is one point of a curve.
type CurvePoint struct {
	Operator Operator
	Fault    FaultName
	Policy   PolicyName
	// SettingHours is the setting falseEjectionEveryHours; 0 for a baseline.
	SettingHours float64
	// DetectionSeconds is the median detection time by day. A run in which the target was never out of
	// use counts with the duration of the fault.
	DetectionSeconds float64
	// FalseEjectionsPerDay is the number of false ejections per day at the day load. UpperLimitPerDay is
	// the 95% upper limit, 3 divided by the simulated time, which is drawn if there were none.
	FalseEjectionsPerDay, UpperLimitPerDay float64
	// FalseAvoidancesPerDay is how many times per day a healthy target is avoided.
	FalseAvoidancesPerDay float64
}

// falseCounts are the false ejections and avoidances during healthy work.
type falseCounts struct{ ejections, avoidances int }

// maxFalseEjectionsPerDay is the bound for the setting: the expected number in the simulated time,
// plus three standard deviations and one, because the simulated time is short, converted to a daily
// rate.
func (p CurvePoint) maxFalseEjectionsPerDay() float64 {
	expected := curveHealthyTime.Hours() / p.SettingHours
	return (expected + 3*math.Sqrt(expected) + 1) / (curveHealthyTime.Hours() / 24)
}

type curveJob struct {
	profile Profile
	policy  PolicyName
	hours   float64
}

// lookupProfiles are the pools for which curves are drawn, one of each operator.
func lookupProfiles() []Profile { return []Profile{Profiles[0], Profiles[3]} }

// DetectionCurve measures the points of the curves of both operators.
func DetectionCurve(o Options) []CurvePoint {
	var jobs []curveJob
	for _, p := range lookupProfiles() {
		for _, n := range cellPolicies() {
			for _, h := range curveHours {
				jobs = append(jobs, curveJob{p, n, h})
			}
		}
		for _, n := range Baselines {
			jobs = append(jobs, curveJob{p, n, 0})
		}
	}
	counts := parallel(o.Workers, repeat(jobs, curveHealthyRuns), func(j repetition[curveJob]) falseCounts { return j.job.countFalse(o.Seed, j.run) })
	var points []CurvePoint
	for i, j := range jobs {
		var total falseCounts
		for _, n := range counts[i*curveHealthyRuns : (i+1)*curveHealthyRuns] {
			total.ejections += n.ejections
			total.avoidances += n.avoidances
		}
		days := curveHealthyTime.Hours() / 24
		for _, f := range curveFaults {
			points = append(points, CurvePoint{
				Operator: j.profile.Operator, Fault: f, Policy: j.policy, SettingHours: j.hours,
				FalseEjectionsPerDay: float64(total.ejections) / days, UpperLimitPerDay: 3 / days,
				FalseAvoidancesPerDay: float64(total.avoidances) / days,
			})
		}
	}
	detections := repeat(points, curveDetectionRuns)
	seconds := parallel(o.Workers, detections, func(t repetition[CurvePoint]) float64 {
		return jobs[t.index/len(curveFaults)].detectionSeconds(o.Seed, t.job.Fault, t.run)
	})
	for i := range points {
		points[i].DetectionSeconds = quantile(seconds[i*curveDetectionRuns:(i+1)*curveDetectionRuns], 0.5)
	}
	return points
}

// repetition is one of several runs of a job.
type repetition[J any] struct {
	job        J
	index, run int
}

func repeat[J any](jobs []J, n int) []repetition[J] {
	var repetitions []repetition[J]
	for i, j := range jobs {
		for k := range n {
			repetitions = append(repetitions, repetition[J]{j, i, k})
		}
	}
	return repetitions
}

// factory returns a factory that overrides the pool's setting with the job's.
func (j curveJob) factory() BalancerFactory {
	return func(p Profile, random *rand.Rand) Balancer {
		if j.hours > 0 {
			p.FalseEjectionEveryHours = j.hours
		}
		return BalancerFactories[j.policy](p, random)
	}
}

// countFalse counts false ejections and avoidances in one of the healthy runs.
func (j curveJob) countFalse(seed uint64, number int) falseCounts {
	sim := NewSimulation(j.profile, deriveSeed(seed, "curve", j.profile.Pool, number), j.factory())
	sim.SetRate(Day.Rate(j.profile))
	sim.Run(curveHealthyTime / curveHealthyRuns)
	return falseCounts{len(sim.falseEjections), sim.falseAvoidances}
}

// detectionSeconds returns how long it took until the target was out of use, in seconds.
func (j curveJob) detectionSeconds(seed uint64, f FaultName, number int) float64 {
	phases := phasesByLoad[Day]
	sim := NewSimulation(j.profile, deriveSeed(seed, "curve", j.profile.Pool, f, number), j.factory())
	sim.warmUp(Day, phases)
	first := number % len(sim.targets)
	sim.StartTrackedFault(first, Faults[f])
	tr := sim.trackers[first]
	sim.clock.RunUntil(tr.started+pool.Time(phases.fault), func() bool { return tr.outAt >= 0 })
	sim.EndTrackedFault(first, Faults[f])
	if tr.outAt < 0 {
		return phases.fault.Seconds()
	}
	return time.Duration(tr.outAt - tr.started).Seconds()
}

func runCurve(o Options) ([]Result, error) {
	points := DetectionCurve(o)
	if o.SVG != "" {
		if err := WriteSVG(o.SVG, points); err != nil {
			return nil, err
		}
	}
	var results []Result
	for i, p := range points {
		labels := Labels{Operator: p.Operator, Load: Day, Policy: p.Policy, FalseEjectionEveryHours: p.SettingHours}
		rec := &resultRecorder{seed: o.Seed, labels: labels}
		if i%len(curveFaults) == 0 {
			p.addFalseEjectionResults(rec)
		}
		rec.labels.Fault = string(p.Fault)
		rec.add("seconds.p50", p.DetectionSeconds, unitSeconds)
		results = append(results, rec.results...)
	}
	return results, nil
}

// addFalseEjectionResults records the figures that are the same for all faults.
func (p CurvePoint) addFalseEjectionResults(rec *resultRecorder) {
	if p.SettingHours > 0 {
		rec.atMost("falseEjections.perDay", p.FalseEjectionsPerDay, unitPerDay, p.maxFalseEjectionsPerDay())
	} else {
		rec.add("falseEjections.perDay", p.FalseEjectionsPerDay, unitPerDay)
	}
	rec.add("falseEjections.limit", p.UpperLimitPerDay, unitPerDay)
	rec.add("falseAvoidances.perDay", p.FalseAvoidancesPerDay, unitPerDay)
}
