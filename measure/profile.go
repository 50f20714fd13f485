package measure

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/bilberrywood/bilberrywood/table"
)

// Operator names a user of the fleet.
type Operator string

// The firms.
const (
	Kiesbank Operator = "kiesbank"
	Kruzes   Operator = "kruzes"
)

// Profile describes a pool and the work that it does.
type Profile struct {
	Operator Operator
	Pool     table.PoolName
	Targets  int
	// Slots is how many requests a target runs at a time.
	Slots int
	// Floor is 70% of the targets, rounded to the nearest number.
	Floor int
	// MedianServiceTime is the median service time of a healthy target.
	MedianServiceTime time.Duration
	Idempotent        bool
	Upload            bool
	// FalseEjectionEveryHours is the firm's setting in the pools table.
	FalseEjectionEveryHours float64
}

// Settings of the two firms. Kiesbank values few false ejections more than Krūzes, which values
// fast detection; both must stay above the 720 h over which no false ejection is allowed.
const (
	kiesbankFalseEjectionHours = 87_600
	kruzesFalseEjectionHours   = 8_760
)

// Profiles are the pools of both firms.
var Profiles = []Profile{
	{Kiesbank, "bescheid-info", 10, 4, 7, 50 * time.Millisecond, true, false, kiesbankFalseEjectionHours},
	{Kiesbank, "mengen-buch", 20, 4, 14, 150 * time.Millisecond, false, false, kiesbankFalseEjectionHours},
	{Kiesbank, "peilung-ablage", 6, 4, 4, 2 * time.Second, true, true, kiesbankFalseEjectionHours},
	{Kruzes, "kat-serviss", 12, 2, 8, 50 * time.Millisecond, true, false, kruzesFalseEjectionHours},
	{Kruzes, "pas-serviss", 18, 2, 13, 150 * time.Millisecond, false, false, kruzesFalseEjectionHours},
	{Kruzes, "mak-serviss", 6, 2, 4, 2 * time.Second, true, true, kruzesFalseEjectionHours},
}

// TableTargets returns the pool's targets as rows of the pools table.
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

// Deadline is how long a caller waits for an answer: 40 times the median service time.
func (p Profile) Deadline() time.Duration { return 40 * p.MedianServiceTime }

// LateThreshold is the time above which an answer counts as late: 5 times the median service time.
func (p Profile) LateThreshold() time.Duration { return 5 * p.MedianServiceTime }

// Rate returns the requests per second that keep the given share of the slots busy.
func (p Profile) Rate(utilization float64) float64 {
	return utilization * float64(p.Targets*p.Slots) / (meanServiceFactor * p.MedianServiceTime.Seconds())
}

// Load is a rate of callers' requests.
type Load string

// The loads.
const (
	Peak  Load = "peak"
	Day   Load = "day"
	Night Load = "night"
)

// Loads are all loads, busiest first.
var Loads = []Load{Peak, Day, Night}

// Shares of the slots at peak and by day, and the time between requests of a pool at night.
const (
	peakUtilization      = 0.7
	dayUtilization       = 0.2
	nightRequestInterval = 30 * time.Second
)

// Rate returns the requests per second of the pool p under the load.
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

// Parameters of the service time: a log-normal factor of the median with a standard deviation of
// 0.5 of its logarithm; one request in 100 is also multiplied by a Pareto factor with exponent 1.5,
// between 2 and 20, which makes the tail heavy.
const (
	serviceSigma         = 0.5
	tailFraction         = 0.01
	tailExponent         = 1.5
	minTailFactor        = 2.0
	maxTailFactor        = 20.0
	baselineFailureRatio = 0.005
)

// meanServiceFactor is the mean service time as a multiple of the median.
var meanServiceFactor = math.Exp(serviceSigma*serviceSigma/2) * (1 - tailFraction + tailFraction*meanTailFactor())

// meanTailFactor is the mean of the capped Pareto factor: the least value plus the integral of the
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
