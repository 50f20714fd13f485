package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Fractions of the slots in use.
const (
	peakLoad = 0.7
	dayLoad  = 0.2
)

// detectionResult is the effect of a simulated fault of one target.
type detectionResult struct {
	// lastRequestAfter is the time from the fault to the last request that the target got, apart from trials.
	lastRequestAfter time.Duration
	affected         int
	state            TargetState
}

func runDetection(p simPool, seed uint64, utilization float64, f fault, warm, length time.Duration) detectionResult {
	s := newSimulation(p, seed, utilization)
	if utilization == 0 {
		s.rate = 1.0 / 30
	}
	s.run(warm)
	s.watched = "t03"
	s.faults["t03"] = &f
	s.lastOrdinary = Time(warm)
	s.run(warm + length)
	return detectionResult{
		lastRequestAfter: time.Duration(s.lastOrdinary - Time(warm)), affected: s.ordinaryRequests,
		state: s.cell.targets.get("t03").state,
	}
}

type detection struct {
	name        string
	pools       []simPool
	utilization float64
	fault       fault
	// maxDelay bounds lastRequestAfter, and maxAffected the number of requests; 0 means no bound.
	maxDelay    time.Duration
	maxAffected int
}

var (
	failFast = fault{failFraction: 1, kind: OutcomeFailed, failAfter: 2 * time.Millisecond}
	failLate = fault{failFraction: 1, kind: OutcomeFailed}
	dropped  = fault{failFraction: 1, kind: OutcomeConnectionLost, failAfter: 2 * time.Millisecond}
	hung     = fault{hang: true}
	fails20  = fault{failFraction: 0.2, kind: OutcomeFailed}
	slow4    = fault{slow: 4}

	interactivePools = []simPool{bescheid, mengen, kat, pas}
	rigaPools        = []simPool{kat, pas}
	isarPools        = []simPool{bescheid, mengen}
	uploadPools      = []simPool{peilung, mak}
)

// The bounds are the design goals.
var detections = []detection{
	{"fail fast peak", interactivePools, peakLoad, failFast, time.Second, 0},
	{"fail late peak", interactivePools, peakLoad, failLate, time.Second, 0},
	{"drop peak", interactivePools, peakLoad, dropped, time.Second, 0},
	{"hang peak", interactivePools, peakLoad, hung, time.Second, 0},
	{"slow peak", interactivePools, peakLoad, slow4, 2 * time.Second, 0},
	{"20% peak", interactivePools, peakLoad, fails20, 10 * time.Second, 0},
	{"fail fast day", rigaPools, dayLoad, failFast, 2 * time.Second, 0},
	{"fail late day", rigaPools, dayLoad, failLate, 2 * time.Second, 0},
	{"hang day", rigaPools, dayLoad, hung, 2 * time.Second, 0},
	{"fail fast day", isarPools, dayLoad, failFast, 3 * time.Second, 0},
	{"fail late day", isarPools, dayLoad, failLate, 3 * time.Second, 0},
	{"hang day", isarPools, dayLoad, hung, 3 * time.Second, 0},
	{"slow day", interactivePools, dayLoad, slow4, 6 * time.Second, 0},
	{"20% day", interactivePools, dayLoad, fails20, 30 * time.Second, 0},
	{"fail night", interactivePools, 0, failLate, 0, 4},
	{"drop night", interactivePools, 0, dropped, 0, 4},
	{"hang night", interactivePools, 0, hung, 0, 4},
	{"slow night", interactivePools, 0, slow4, 0, 4},
	{"upload fail fast peak", uploadPools, peakLoad, failFast, 0, 4},
	{"upload fail late peak", uploadPools, peakLoad, failLate, 0, 4},
	{"upload drop peak", uploadPools, peakLoad, dropped, 0, 4},
	{"upload fail day", uploadPools, dayLoad, failLate, 0, 4},
	{"upload slow peak", uploadPools, peakLoad, slow4, 0, 0},
	{"upload slow day", uploadPools, dayLoad, slow4, 0, 0},
	{"upload slow night", uploadPools, 0, slow4, 0, 4},
	{"upload fail night", uploadPools, 0, failLate, 0, 4},
}

// Guards against slow or missing detection of an unhealthy target at each rate of requests.
func TestDetection(t *testing.T) {
	seeds := uint64(10)
	for _, d := range detections {
		for _, p := range d.pools {
			t.Run(d.name+"/"+string(p.name), func(t *testing.T) {
				is := is.New(t)
				t.Parallel()
				warm, length := 2*time.Minute, 40*time.Second
				if d.utilization == 0 {
					warm, length = 3*time.Hour, 3*time.Hour
				}
				worst := detectionResult{}
				var sum time.Duration
				for seed := range seeds {
					o := runDetection(p, seed, d.utilization, d.fault, warm, length)
					sum += o.lastRequestAfter
					worst.lastRequestAfter = max(worst.lastRequestAfter, o.lastRequestAfter)
					worst.affected = max(worst.affected, o.affected)
					worst.state = o.state
				}
				t.Logf("%s %s: mean %v worst %v affected %d state %s", d.name, p.name,
					(sum / time.Duration(seeds)).Round(time.Millisecond), worst.lastRequestAfter.Round(time.Millisecond),
					worst.affected, worst.state)
				is.True(d.maxDelay == 0 || worst.lastRequestAfter <= d.maxDelay)
				is.True(d.maxAffected == 0 || worst.affected <= d.maxAffected)
			})
		}
	}
}
