package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberrywood/bilberrywood/table"
)

// Guards against poison requests that crash more than two targets, or that get targets ejected.
func TestPoisonStopsAfterTwoTargets(t *testing.T) {
	for _, p := range []simPool{bescheid, mengen, kat, pas} {
		for _, utilization := range []float64{dayLoad, peakLoad} {
			t.Run(string(p.name), func(t *testing.T) {
				is := is.New(t)
				for seed := range uint64(5) {
					s := newSimulation(p, seed, utilization)
					s.run(time.Minute)
					s.poison = 0.002
					s.run(6 * time.Minute)
					is.True(s.crashes > 0)
					is.True(len(s.crashed) <= 2)
					is.Equal(s.count(EventEjected), 0)
					is.Equal(s.count(EventPoison), 1)
				}
			})
		}
	}
}

// Guards against ejections because of a pause of the cell's own process.
func TestPauseEjectsNothing(t *testing.T) {
	for _, p := range interactivePools {
		is := is.New(t)
		for seed := range uint64(5) {
			s := newSimulation(p, seed, peakLoad)
			s.run(time.Minute)
			for i := range 5 {
				// A paused process reports nothing; everything that happened meanwhile is reported at once
				// afterwards.
				pause(s, time.Duration(i+1)*700*time.Millisecond)
				s.run(time.Duration(s.now) + 10*time.Second)
			}
			is.Equal(s.count(EventEjected), 0)
			is.True(s.count(EventObserverPaused) >= 5)
		}
	}
}

// pause delays all events of the given period to its end.
func pause(s *simulation, length time.Duration) {
	until := s.now + Time(length)
	for i := range s.events {
		s.events[i].at = max(s.events[i].at, until)
	}
}

// Guards against ejections if all targets slow down or fail together.
func TestCommonCauseEjectsNothing(t *testing.T) {
	for name, f := range map[string]fault{"slow": slow4, "some": fails20, "all": failLate, "drop": dropped} {
		for _, p := range interactivePools {
			t.Run(name+"/"+string(p.name), func(t *testing.T) {
				is := is.New(t)
				s := newSimulation(p, 1, dayLoad)
				s.run(time.Minute)
				for i := range s.cell.targets.len() {
					s.faults[s.cell.targets.at(i).id] = &f
				}
				s.retries, s.runs = 0, 0
				s.run(90 * time.Second)
				t.Logf("%s %s ejected %d avoided %d commonCause %d retries %d of %d", name, p.name,
					s.count(EventEjected), s.count(EventAvoided), s.count(EventCommonCause), s.retries, s.runs)
				is.Equal(s.count(EventEjected), 0)
				is.True(float64(s.retries) <= 0.1*float64(s.runs)+retryBurst)
			})
		}
	}
}

// Guards against congestion collapse: responses after the deadline, and retry storms.
func TestGoodputUnderOverload(t *testing.T) {
	for _, p := range simPools {
		t.Run(string(p.name), func(t *testing.T) {
			is := is.New(t)
			s := newSimulation(p, 3, peakLoad)
			s.run(time.Minute)
			s.rate = p.rate(2)
			s.run(70 * time.Second)
			s.succeeded, s.retries, s.runs, s.refused = 0, 0, 0, 0
			length := 120 * time.Second
			s.run(70*time.Second + length)
			capacity := p.rate(0.995) * meanFraction * length.Seconds()
			t.Logf("%s goodput %.3f of capacity, retries %d of %d, refused %d, ejected %d", p.name,
				float64(s.succeeded)/capacity, s.retries, s.runs, s.refused, s.count(EventEjected))
			is.True(float64(s.succeeded) >= 0.95*capacity)
			is.Equal(s.count(EventEjected), 0)
		})
	}
}

// meanFraction is the nominal mean service time divided by the simulated one, which the heavy tail makes
// longer.
const meanFraction = 1 / 1.014

// Guards against a flapping target that gets traffic in each of its healthy phases.
func TestFlappingTargetStaysEjected(t *testing.T) {
	for _, p := range []simPool{bescheid, kat, pas} {
		is := is.New(t)
		s := newSimulation(p, 5, peakLoad)
		s.run(time.Minute)
		s.watched = "t03"
		failing := true
		var failed []int
		for i := range 60 {
			if failing {
				s.faults["t03"] = &failLate
			} else {
				delete(s.faults, "t03")
			}
			before := s.ordinaryRequests
			s.run(time.Minute + time.Duration(i+1)*15*time.Second)
			if failing {
				failed = append(failed, s.ordinaryRequests-before)
			}
			failing = !failing
		}
		t.Logf("%s: ordinary requests per failing phase %v", p.name, failed)
		total := 0
		for _, n := range failed[15:] {
			total += n
		}
		is.True(total <= 15)
	}
}

// Guards against targets that never return after a fault has ended.
func TestReturn(t *testing.T) {
	for _, p := range simPools {
		for _, f := range []fault{failLate, hung, slow4, {refuse: true}} {
			is := is.New(t)
			s := newSimulation(p, 5, dayLoad)
			s.run(5 * time.Minute)
			s.faults["t03"] = &f
			s.run(6 * time.Minute)
			delete(s.faults, "t03")
			s.run(16 * time.Minute)
			is.Equal(s.cell.targets.get("t03").state, TargetServing)
		}
	}
}

// Guards against the ejection of a target that starts cold and is slow for a few seconds.
func TestColdStart(t *testing.T) {
	for _, p := range interactivePools {
		is := is.New(t)
		s := newSimulation(p, 5, peakLoad)
		s.run(time.Minute)
		listed := []table.Target{{ID: "cold"}}
		for i := range s.cell.targets.len() {
			listed = append(listed, table.Target{ID: s.cell.targets.at(i).id})
		}
		s.cell.Update(s.now, listed, p.floor)
		s.watched = "cold"
		s.faults["cold"] = &fault{slow: 5}
		s.run(70 * time.Second)
		delete(s.faults, "cold")
		s.run(2 * time.Minute)
		is.Equal(s.count(EventEjected), 0)
		is.True(s.ordinaryRequests > 20)
	}
}
