package measure

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/bilberrywood/bilberrywood/pool"
)

// curveHours are the values of falseEjectionEveryHours along the curve.
var curveHours = []float64{1, 24, 720, 8_760, 87_600, 876_000}

// curveNoise is the healthy time behind each point's false ejections, split over curveParts runs.
const (
	curveNoise = 4 * time.Hour
	curveParts = 4
	curveRuns  = 12
)

// curveFaults are the faults whose detection is drawn: one of each class of goal.
var curveFaults = []FaultName{"failsFast", "slow4", "fails20"}

// Point is one point of a curve.
type Point struct {
	Firm   Firm
	Fault  FaultName
	Policy PolicyName
	// Hours is the setting; 0 for a baseline.
	Hours float64
	// Seconds is the median detection time by day, the whole time of the fault when the target
	// was never out.
	Seconds float64
	// FalsePerDay is the number of false ejections per day of work by day; UpperPerDay is the
	// 95% limit (3 divided by the time) that is drawn when none was seen.
	FalsePerDay, UpperPerDay float64
}

// accepted is the rate of false ejections that the setting allows: the expected number in the
// simulated time with three standard deviations and one more, because the time is short.
func (p Point) accepted() float64 {
	expected := curveNoise.Hours() / p.Hours
	return (expected + 3*math.Sqrt(expected) + 1) / (curveNoise.Hours() / 24)
}

type curveJob struct {
	profile Profile
	policy  PolicyName
	hours   float64
}

// lookupProfiles are the pools that the curves are drawn for, one of each firm.
func lookupProfiles() []Profile { return []Profile{Profiles[0], Profiles[3]} }

// Curve measures the points of both firms.
func Curve(o Options) []Point {
	var jobs []curveJob
	for _, p := range lookupProfiles() {
		for _, n := range own() {
			for _, h := range curveHours {
				jobs = append(jobs, curveJob{p, n, h})
			}
		}
		for _, n := range Baselines {
			jobs = append(jobs, curveJob{p, n, 0})
		}
	}
	noises := parallel(o.Workers, repeat(jobs, curveParts), func(j part[curveJob]) int { return j.job.noise(o.Seed, j.number) })
	var points []Point
	for i, j := range jobs {
		total := 0
		for _, n := range noises[i*curveParts : (i+1)*curveParts] {
			total += n
		}
		days := curveNoise.Hours() / 24
		for _, f := range curveFaults {
			points = append(points, Point{
				Firm: j.profile.Firm, Fault: f, Policy: j.policy, Hours: j.hours,
				FalsePerDay: float64(total) / days, UpperPerDay: 3 / days,
			})
		}
	}
	tests := repeat(points, curveRuns)
	seconds := parallel(o.Workers, tests, func(t part[Point]) float64 {
		return jobs[t.index/len(curveFaults)].detect(o.Seed, t.job.Fault, t.number)
	})
	for i := range points {
		points[i].Seconds = quantile(seconds[i*curveRuns:(i+1)*curveRuns], 0.5)
	}
	return points
}

// part is one of several runs of a job.
type part[J any] struct {
	job           J
	index, number int
}

func repeat[J any](jobs []J, n int) []part[J] {
	var parts []part[J]
	for i, j := range jobs {
		for k := range n {
			parts = append(parts, part[J]{j, i, k})
		}
	}
	return parts
}

// maker applies the setting to the pool's profile.
func (j curveJob) maker() Maker {
	return func(p Profile, random *rand.Rand) Chooser {
		if j.hours > 0 {
			p.FalseEjectionEveryHours = j.hours
		}
		return Makers[j.policy](p, random)
	}
}

// noise counts false ejections in one part of the healthy time.
func (j curveJob) noise(seed uint64, number int) int {
	w := NewWorld(j.profile, seedOf(seed, "curve", j.profile.Pool, number), j.maker())
	w.SetRate(Day.Rate(j.profile))
	w.Run(curveNoise / curveParts)
	return len(w.falseEjections)
}

// detect returns the seconds until the target is out.
func (j curveJob) detect(seed uint64, f FaultName, number int) float64 {
	times := timesOf[Day]
	w := NewWorld(j.profile, seedOf(seed, "curve", j.profile.Pool, f, number), j.maker())
	w.warmUp(Day, times)
	first := number % len(w.targets)
	w.Watch(first, Faults[f])
	v := w.watches[first]
	w.clock.RunUntil(v.since+pool.Time(times.fault), func() bool { return v.out >= 0 })
	w.EndFault(first, Faults[f])
	if v.out < 0 {
		return times.fault.Seconds()
	}
	return time.Duration(v.out - v.since).Seconds()
}

func runCurve(o Options) ([]Line, error) {
	points := Curve(o)
	if o.SVG != "" {
		if err := WriteSVG(o.SVG, points); err != nil {
			return nil, err
		}
	}
	var lines []Line
	for i, p := range points {
		labels := Labels{Firm: p.Firm, Load: Day, Policy: p.Policy, FalseEjectionEveryHours: p.Hours}
		s := &sheet{seed: o.Seed, labels: labels}
		if i%len(curveFaults) == 0 {
			p.falseEjectionLines(s)
		}
		s.labels.Fault = string(p.Fault)
		s.add("seconds.p50", p.Seconds, unitSeconds)
		lines = append(lines, s.lines...)
	}
	return lines, nil
}

// falseEjectionLines add the figures that the points of all faults share.
func (p Point) falseEjectionLines(s *sheet) {
	if p.Hours > 0 {
		s.atMost("falseEjections.perDay", p.FalsePerDay, unitPerDay, p.accepted())
	} else {
		s.add("falseEjections.perDay", p.FalsePerDay, unitPerDay)
	}
	s.add("falseEjections.limit", p.UpperPerDay, unitPerDay)
}
