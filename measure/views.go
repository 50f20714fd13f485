package measure

import (
	"time"

	"github.com/bilberrywood/bilberrywood/fleet"
)

// ownershipStep changes the ownership of one observer, at a time after the start of the change.
type ownershipStep struct {
	at        time.Duration
	observer  int
	ownership fleet.Ownership
}

// ownershipChange is a change of ownership between observers of one cell. Its times are the worst case
// that section 8 of the design allows: the previous owner notices late, and the next owner takes over
// early.
type ownershipChange struct {
	name string
	// pause is how long the process of the first observer, the owner, is paused.
	pause time.Duration
	steps []ownershipStep
}

// Times from section 8 of the design.
const (
	// suspectDelay is the suspect timeout and one heartbeat interval.
	suspectDelay = 2500 * time.Millisecond
	// goneDelay is when the next entry takes the cell over. exclusiveDelay is one handover delay later.
	goneDelay      = 5 * time.Second
	exclusiveDelay = goneDelay + 7*time.Second
	// claimDelay is when a heartbeat, with its jitter, has announced a claim.
	claimDelay          = 600 * time.Millisecond
	ownershipSettleTime = 20 * time.Second
	ownershipRuns       = 5
)

var ownershipChanges = []ownershipChange{
	// While the previous owner is on the fleet list, no side of a partition becomes the exclusive owner.
	{name: "cut", steps: []ownershipStep{
		{suspectDelay, 0, fleet.ContestedOwner}, {goneDelay, 1, fleet.ContestedOwner}, {goneDelay, 2, fleet.ContestedOwner},
	}},
	{name: "ownerPaused", pause: exclusiveDelay, steps: []ownershipStep{
		{goneDelay, 1, fleet.ContestedOwner}, {exclusiveDelay + claimDelay, 0, fleet.NotOwner},
	}},
	// An entry with a higher weight joins. The owner learns of its claim from the next heartbeat.
	{name: "join", steps: []ownershipStep{
		{0, 1, fleet.ContestedOwner}, {claimDelay, 0, fleet.NotOwner}, {exclusiveDelay - goneDelay, 1, fleet.ExclusiveOwner},
	}},
	// A wrong fleet list drops the previous owner, which still runs on the other side of the partition.
	{name: "cutListMisleads", steps: []ownershipStep{
		{suspectDelay, 0, fleet.ContestedOwner}, {goneDelay, 1, fleet.ContestedOwner}, {exclusiveDelay, 1, fleet.ExclusiveOwner},
	}},
}

const ownershipObservers = 3

// ownershipJob is one change of ownership for one subject.
type ownershipJob struct {
	subject
	change ownershipChange
}

// runViews moves the ownership of a cell between observers while targets fail, and counts how often
// the ejections of all observers together violate the floor.
func runViews(o Options) ([]Result, error) {
	var jobs []ownershipJob
	for _, s := range subjects(Profiles, []Load{Peak, Day}, cellPolicies()) {
		for _, c := range ownershipChanges {
			jobs = append(jobs, ownershipJob{s, c})
		}
	}
	return runAll(o, jobs, func(j ownershipJob) []Result { return j.measure(o.Seed) }), nil
}

func (j ownershipJob) measure(seed uint64) []Result {
	var sum Stats
	for i := range ownershipRuns {
		r := j.run(deriveSeed(seed, "views", j.profile.Pool, j.load, j.change.name, i))
		sum.floorViolations += r.floorViolations
		sum.slotViolations += r.slotViolations
		sum.ejections += r.ejections
	}
	rec := &resultRecorder{seed: seed, labels: labelsOf(j.profile, j.load, j.change.name, j.policy)}
	rec.atMost("floorViolations", float64(sum.floorViolations), unitCount, 0)
	rec.atMost("slotViolations", float64(sum.slotViolations), unitCount, 0)
	rec.add("ejections", float64(sum.ejections), unitCount)
	return rec.results
}

// run makes half of the targets fail, and the other half instead once the ownership changes, so that
// the previous and the next owner have reason to eject different targets.
func (j ownershipJob) run(seed uint64) Stats {
	factories := make([]BalancerFactory, ownershipObservers)
	for i := range factories {
		factories[i] = BalancerFactories[j.policy]
	}
	sim := NewSimulation(j.profile, seed, factories...)
	for i := 1; i < ownershipObservers; i++ {
		sim.SetOwnership(i, fleet.NotOwner)
	}
	sim.warmUp(j.load, phasesByLoad[j.load])
	for i := 0; i < len(sim.targets); i += 2 {
		sim.targets[i].startFault(Faults["failsFast"])
	}
	sim.Run(ownershipSettleTime)
	sim.swapFaults("failsFast")
	if j.change.pause > 0 {
		sim.observers[0].pause(j.change.pause)
	}
	for _, step := range j.change.steps {
		sim.clock.After(step.at, func() { sim.SetOwnership(step.observer, step.ownership) })
	}
	sim.Run(exclusiveDelay + ownershipSettleTime)
	return sim.stats
}

// swapFaults ends the fault at the targets that have it and starts it at all others.
func (s *Simulation) swapFaults(name FaultName) {
	for _, t := range s.targets {
		if t.hasFault(func(f Fault) bool { return f.Name == name }) {
			t.endFault(name)
		} else {
			t.startFault(Faults[name])
		}
	}
}
