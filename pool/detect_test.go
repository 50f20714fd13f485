package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Shares of the slots in use.
const (
	peak = 0.7
	day  = 0.2
)

// observation is what a simulated fault of one target led to.
type observation struct {
	// out is the time from the fault to the last ordinary request that the target got.
	out      time.Duration
	affected int
	state    TargetState
}

func observe(p simPool, seed uint64, share float64, f fault, warm, length time.Duration) observation {
	s := newSimulation(p, seed, share)
	if share == 0 {
		s.rate = 1.0 / 30
	}
	s.run(warm)
	s.watch = "t03"
	s.faults["t03"] = &f
	s.lastOrdinary = Time(warm)
	s.run(warm + length)
	return observation{
		out: time.Duration(s.lastOrdinary - Time(warm)), affected: s.ordinary,
		state: s.cell.targets.get("t03").state,
	}
}

type detection struct {
	name  string
	pools []simPool
	share float64
	fault fault
	// bound is on the time, affected on the requests; 0 means none.
	bound    time.Duration
	affected int
}

var (
	failFast = fault{fail: 1, kind: OutcomeFailed, failAfter: 2 * time.Millisecond}
	failLate = fault{fail: 1, kind: OutcomeFailed}
	dropped  = fault{fail: 1, kind: OutcomeConnectionLost, failAfter: 2 * time.Millisecond}
	hung     = fault{hang: true}
	fails20  = fault{fail: 0.2, kind: OutcomeFailed}
	slow4    = fault{slow: 4}

	quick = []simPool{bescheid, mengen, kat, pas}
	riga  = []simPool{kat, pas}
	isar  = []simPool{bescheid, mengen}
	files = []simPool{peilung, mak}
)

// The bounds are the goals of the design page.
var detections = []detection{
	{"fail fast peak", quick, peak, failFast, time.Second, 0},
	{"fail late peak", quick, peak, failLate, time.Second, 0},
	{"drop peak", quick, peak, dropped, time.Second, 0},
	{"hang peak", quick, peak, hung, time.Second, 0},
	{"slow peak", quick, peak, slow4, 2 * time.Second, 0},
	{"20% peak", quick, peak, fails20, 10 * time.Second, 0},
	{"fail fast day", riga, day, failFast, 2 * time.Second, 0},
	{"fail late day", riga, day, failLate, 2 * time.Second, 0},
	{"hang day", riga, day, hung, 2 * time.Second, 0},
	{"fail fast day", isar, day, failFast, 3 * time.Second, 0},
	{"fail late day", isar, day, failLate, 3 * time.Second, 0},
	{"hang day", isar, day, hung, 3 * time.Second, 0},
	{"slow day", quick, day, slow4, 6 * time.Second, 0},
	{"20% day", quick, day, fails20, 30 * time.Second, 0},
	{"fail night", quick, 0, failLate, 0, 4},
	{"drop night", quick, 0, dropped, 0, 4},
	{"hang night", quick, 0, hung, 0, 4},
	{"slow night", quick, 0, slow4, 0, 4},
	{"upload fail fast peak", files, peak, failFast, 0, 4},
	{"upload fail late peak", files, peak, failLate, 0, 4},
	{"upload drop peak", files, peak, dropped, 0, 4},
	{"upload fail day", files, day, failLate, 0, 4},
	{"upload slow peak", files, peak, slow4, 0, 0},
	{"upload slow day", files, day, slow4, 0, 0},
	{"upload slow night", files, 0, slow4, 0, 4},
	{"upload fail night", files, 0, failLate, 0, 4},
}

// Guards against slow or missing detection of a bad target at each rate of requests.
func TestDetection(t *testing.T) {
	seeds := uint64(10)
	for _, d := range detections {
		for _, p := range d.pools {
			t.Run(d.name+"/"+string(p.name), func(t *testing.T) {
				is := is.New(t)
				t.Parallel()
				warm, length := 2*time.Minute, 40*time.Second
				if d.share == 0 {
					warm, length = 3*time.Hour, 3*time.Hour
				}
				worst := observation{}
				var sum time.Duration
				for seed := range seeds {
					o := observe(p, seed, d.share, d.fault, warm, length)
					sum += o.out
					worst.out = max(worst.out, o.out)
					worst.affected = max(worst.affected, o.affected)
					worst.state = o.state
				}
				t.Logf("%s %s: mean %v worst %v affected %d state %s", d.name, p.name,
					(sum / time.Duration(seeds)).Round(time.Millisecond), worst.out.Round(time.Millisecond), worst.affected, worst.state)
				is.True(d.bound == 0 || worst.out <= d.bound)
				is.True(d.affected == 0 || worst.affected <= d.affected)
			})
		}
	}
}
