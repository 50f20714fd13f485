package measure

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/bilberrywood/bilberrywood/table"
)

// Operator names an operator of a fleet.
type Operator string

// Operators.
const (
	Kiesbank Operator = "kiesbank"
	Kruzes   Operator = "kruzes"
)

// Profile describes a pool and its workload.
type Profile struct {
	Operator Operator
	Pool     table.PoolName
	Targets  int
	// Slots is how many requests a target runs at once.
	Slots int
	// Floor is the minimum number of targets that are not ejected: 70% of the targets, rounded to the
	// nearest integer.
	Floor int
	// MedianServiceTime is the median service time of a healthy target.
	MedianServiceTime time.Duration
	Idempotent        bool
	Upload            bool
	// FalseEjectionEveryHours is the operator's setting in the pools table.
	FalseEjectionEveryHours float64
}

// Settings of the two operators for falseEjectionEveryHours. Kiesbank prefers few false ejections,
// Krūzes prefers fast detection. Both values must stay above the 720 h during which no false ejection
// is allowed.
const (
	kiesbankFalseEjectionHours = 87_600
	kruzesFalseEjectionHours   = 8_760
)

// Profiles are the pools of both operators.
var Profiles = []Profile{
	{Kiesbank, "bescheid-info", 10, 4, 7, 50 * time.Millisecond, true, false, kiesbankFalseEjectionHours},
	{Kiesbank, "mengen-buch", 20, 4, 14, 150 * time.Millisecond, false, false, kiesbankFalseEjectionHours},
	{Kiesbank, "peilung-ablage", 6, 4, 4, 2 * time.Second, true, true, kiesbankFalseEjectionHours},
	{Kruzes, "kat-serviss", 12, 2, 8, 50 * time.Millisecond, true, false, kruzesFalseEjectionHours},
	{Kruzes, "pas-serviss", 18, 2, 13, 150 * time.Millisecond, false, false, kruzesFalseEjectionHours},
	{Kruzes, "mak-serviss", 6, 2, 4, 2 * time.Second, true, true, kruzesFalseEjectionHours},
}

// TableTargets returns the pool's targets as in the pools table.
func (p Profile) TableTargets() []table.Target {
	domains := []table.FailureDomain{"a", "b", "c"}
	rows := make([]table.Target, p.Targets)
	for i := range rows {
		rows[i] = table.Target{
			ID:            table.TargetID(fmt.Sprintf("%s-%02d", p.Pool, i)),
			Address:       fmt.Sprintf("10.0.0.%d:8080", i+1),
			FailureDomain: domains[i%len(domains)],
		}
	}
	return rows
}

// Deadline is how long a caller waits for a response: 40 times the median service time.
func (p Profile) Deadline() time.Duration { return 40 * p.MedianServiceTime }

// LateThreshold is the response time above which a response counts as late: 5 times the median service
// time.
func (p Profile) LateThreshold() time.Duration { return 5 * p.MedianServiceTime }

// Rate returns the requests per second that keep the given fraction of the slots busy.
func (p Profile) Rate(utilization float64) float64 {
	return utilization * float64(p.Targets*p.Slots) / (meanServiceFactor * p.MedianServiceTime.Seconds())
}

// Load names a rate of callers' requests.
type Load string

// Loads.
const (
	Peak  Load = "peak"
	Day   Load = "day"
	Night Load = "night"
)

// Loads are all loads, highest first.
var Loads = []Load{Peak, Day, Night}

// Fractions of the slots that are busy at peak and by day, and the mean time between requests to a
// pool at night.
const (
	peakUtilization      = 0.7
	dayUtilization       = 0.2
	nightRequestInterval = 30 * time.Second
)

// Rate returns the requests per second to pool p under the load.
func (l Load) Rate(p Profile) float64 {
	switch l {
	case Peak:
		return p.Rate(peakUtilization)
	case Day:
		return p.Rate(dayUtilization)
	default:
		return 1 / nightRequestInterval.Seconds()
	}
}

// Parameters of the service time. It is the median times a log-normal factor; the standard deviation
// of the factor's logarithm is 0.5. One request in 100 is also multiplied by a Pareto factor with
// exponent 1.5 between 2 and 20, which makes the tail heavy. healthyFailureRatio is the fraction of
// requests that fail at a healthy target.
const (
	serviceSigma        = 0.5
	tailFraction        = 0.01
	tailExponent        = 1.5
	minTailFactor       = 2.0
	maxTailFactor       = 20.0
	healthyFailureRatio = 0.005
)

// meanServiceFactor is the mean service time as a multiple of the median.
var meanServiceFactor = math.Exp(serviceSigma*serviceSigma/2) * (1 - tailFraction + tailFraction*meanTailFactor())

// meanTailFactor is the mean of the capped Pareto factor: its minimum plus the integral of the
// survival function up to the cap.
func meanTailFactor() float64 {
	k := tailExponent - 1
	return minTailFactor + math.Pow(minTailFactor, tailExponent)/k*(math.Pow(minTailFactor, -k)-math.Pow(maxTailFactor, -k))
}

// drawServiceTime draws the service time of one request at a healthy target.
func drawServiceTime(random *rand.Rand, median time.Duration) time.Duration {
	factor := math.Exp(serviceSigma * random.NormFloat64())
	if random.Float64() < tailFraction {
		factor *= min(maxTailFactor, minTailFactor*math.Pow(1-random.Float64(), -1/tailExponent))
	}
	return time.Duration(factor * float64(median))
}
