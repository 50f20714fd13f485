package measure

import (
	"time"

	"github.com/bilberrywood/bilberrywood/fleet"
)

// A viewStep changes what one observer is told of its standing, at a time after the trouble began.
type viewStep struct {
	at       time.Duration
	observer int
	standing fleet.Ownership
}

// view is a change of ownership between observers of one cell. Its times are the worst that section
// 8 of the design allows: the former owner notices late, and the next one takes over early.
type view struct {
	name string
	// pause stops the first observer, the owner, for a time.
	pause time.Duration
	steps []viewStep
}

// Times of section 8.
const (
	// viewNotice is the suspect time and one heartbeat.
	viewNotice = 2500 * time.Millisecond
	// viewGone is when the next entry takes the cell over; viewSole is the handover time later.
	viewGone = 5 * time.Second
	viewSole = viewGone + 7*time.Second
	// viewHeartbeat is when a heartbeat, with its jitter, has told of a claim.
	viewHeartbeat = 600 * time.Millisecond
	viewSettle    = 20 * time.Second
	viewRuns      = 5
)

var views = []view{
	// While the former owner is on the fleet list, no side of a cut becomes sole.
	{name: "cut", steps: []viewStep{
		{viewNotice, 0, fleet.ContestedOwner}, {viewGone, 1, fleet.ContestedOwner}, {viewGone, 2, fleet.ContestedOwner},
	}},
	{name: "ownerPaused", pause: viewSole, steps: []viewStep{
		{viewGone, 1, fleet.ContestedOwner}, {viewSole + viewHeartbeat, 0, fleet.NotOwner},
	}},
	// An entry with a higher weight joins; the owner hears of its claim by the next heartbeat.
	{name: "join", steps: []viewStep{
		{0, 1, fleet.ContestedOwner}, {viewHeartbeat, 0, fleet.NotOwner}, {viewSole - viewGone, 1, fleet.ExclusiveOwner},
	}},
	// A misleading fleet list drops the former owner, which lives on beyond the cut.
	{name: "cutListMisleads", steps: []viewStep{
		{viewNotice, 0, fleet.ContestedOwner}, {viewGone, 1, fleet.ContestedOwner}, {viewSole, 1, fleet.ExclusiveOwner},
	}},
}

const viewObservers = 3

// viewJob is one change of ownership at one pool.
type viewJob struct {
	subject
	view view
}

// runViews moves the ownership of a cell between observers while targets fail, and counts moments
// at which the observers' ejections together break the floor.
func runViews(o Options) ([]Line, error) {
	var jobs []viewJob
	for _, s := range subjects(Profiles, []Load{Peak, Day}, own()) {
		for _, v := range views {
			jobs = append(jobs, viewJob{s, v})
		}
	}
	return each(o, jobs, func(j viewJob) []Line { return j.measure(o.Seed) }), nil
}

func (j viewJob) measure(seed uint64) []Line {
	var sum Stats
	for i := range viewRuns {
		r := j.run(seedOf(seed, "views", j.profile.Pool, j.load, j.view.name, i))
		sum.floorViolations += r.floorViolations
		sum.slotViolations += r.slotViolations
		sum.ejections += r.ejections
	}
	s := &sheet{seed: seed, labels: labelsOf(j.profile, j.load, j.view.name, j.policy)}
	s.atMost("floorViolations", float64(sum.floorViolations), unitCount, 0)
	s.atMost("slotViolations", float64(sum.slotViolations), unitCount, 0)
	s.add("ejections", float64(sum.ejections), unitCount)
	return s.lines
}

// run lets half of the targets fail under one owner, and the other half from the change on, so
// that the former and the next owner have reason to eject different targets.
func (j viewJob) run(seed uint64) Stats {
	makers := make([]Maker, viewObservers)
	for i := range makers {
		makers[i] = Makers[j.policy]
	}
	w := NewWorld(j.profile, seed, makers...)
	for i := 1; i < viewObservers; i++ {
		w.SetOwnership(i, fleet.NotOwner)
	}
	w.warmUp(j.load, timesOf[j.load])
	for i := 0; i < len(w.targets); i += 2 {
		w.targets[i].switchOn(Faults["failsFast"])
	}
	w.Run(viewSettle)
	w.swapFaults("failsFast")
	if j.view.pause > 0 {
		w.observers[0].pause(j.view.pause)
	}
	for _, s := range j.view.steps {
		w.clock.After(s.at, func() { w.SetOwnership(s.observer, s.standing) })
	}
	w.Run(viewSole + viewSettle)
	return w.stats
}

// swapFaults makes the bad targets good and the good ones bad.
func (w *World) swapFaults(name FaultName) {
	for _, t := range w.targets {
		if t.has(func(f Fault) bool { return f.Name == name }) {
			t.switchOff(name)
		} else {
			t.switchOn(Faults[name])
		}
	}
}
