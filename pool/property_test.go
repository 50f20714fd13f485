package pool

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/bilberrywood/bilberrywood/fleet"
	"github.com/bilberrywood/bilberrywood/table"
)

// cellMachine drives a cell with arbitrary calls and checks its invariants against a model.
type cellMachine struct {
	t         *rapid.T
	cell      *Cell
	now       Time
	lastTick  Time
	ownership fleet.Ownership
	floor     int
	slots     int
	leaving   map[table.TargetID]bool
	listed    map[table.TargetID]bool
	inFlight  map[table.TargetID]int
	running   map[RequestID]Decision
	requests  map[RequestID]*modelRequest
	order     []RequestID
	violation string
}

type modelRequest struct {
	Request
	finals            int
	written, canceled bool
}

const machineTargets = 6

var bothSchedulings = []table.Scheduling{table.ScheduleRetryable, table.SchedulePriority}

func newMachine(t *rapid.T, f injectedFaults) *cellMachine {
	m := &cellMachine{
		t: t, slots: rapid.IntRange(1, 4).Draw(t, "slots"), floor: rapid.IntRange(0, machineTargets).Draw(t, "floor"),
		leaving: map[table.TargetID]bool{}, listed: map[table.TargetID]bool{}, inFlight: map[table.TargetID]int{},
		running: map[RequestID]Decision{}, requests: map[RequestID]*modelRequest{}, ownership: fleet.ExclusiveOwner,
	}
	m.cell = &Cell{
		Key: fleet.CellKey{Pool: "p"}, SlotsPerTarget: m.slots, Random: rand.New(rand.NewPCG(1, 2)), injectedFaults: f,
		// Frequent false ejections are accepted here, so that ejections occur often.
		Policy: table.Policy{
			FalseEjectionEveryHours: 1e-6, Scheduling: rapid.SampledFrom(bothSchedulings).Draw(t, "scheduling"),
			QueueLimit: rapid.SampledFrom([]int{0, 3}).Draw(t, "queueLimit"),
		},
	}
	for i := range machineTargets {
		m.listed[targetName(i)] = true
	}
	m.update()
	m.setOwnership()
	return m
}

// setOwnership reports the ownership. In this model an owner that is not exclusive shares its targets.
func (m *cellMachine) setOwnership() {
	m.cell.SetShared(m.now, m.ownership != fleet.ExclusiveOwner)
	m.cell.SetOwnership(m.now, m.ownership, false)
}

func targetName(i int) table.TargetID { return table.TargetID(fmt.Sprint("t", i)) }

func (m *cellMachine) fail(format string, args ...any) {
	if m.violation == "" {
		m.violation = fmt.Sprintf(format, args...)
	}
}

func (m *cellMachine) update() {
	var targets []table.Target
	for i := range machineTargets {
		if id := targetName(i); m.listed[id] {
			targets = append(targets, table.Target{ID: id, Leaving: m.leaving[id]})
		}
	}
	m.cell.Update(m.now, targets, m.floor)
}

// slotLimit returns how many attempts a target may run: all slots only for an exclusive owner without a delayed
// tick.
func (m *cellMachine) slotLimit() int {
	if m.ownership == fleet.ExclusiveOwner && m.cell.suspension.delayedTickUntil <= m.now &&
		m.now-m.lastTick <= Time(maxTickGap) {
		return m.slots
	}
	return (m.slots + 1) / 2
}

func (m *cellMachine) step() {
	allowed := m.slotLimit()
	switch rapid.IntRange(0, 14).Draw(m.t, "op") {
	case 0, 1, 2, 3:
		m.submit()
	case 4, 5, 6, 7, 8:
		m.finish()
	case 9:
		m.cancel()
	case 10:
		m.now += Time(rapid.IntRange(1, 3).Draw(m.t, "ticks")) * Time(TickInterval)
		m.cell.Tick(m.now)
		m.lastTick = m.now
		allowed = m.slotLimit()
	case 11:
		m.now += Time(rapid.IntRange(0, 1).Draw(m.t, "gap")) * Time(700*time.Millisecond)
		allowed = m.slotLimit()
	case 12:
		m.ownership = rapid.SampledFrom([]fleet.Ownership{fleet.ExclusiveOwner, fleet.ExclusiveOwner, fleet.ContestedOwner, fleet.NotOwner}).Draw(m.t, "standing")
		allowed = max(allowed, m.slotLimit())
		m.setOwnership()
	case 13:
		m.changeMembership()
	case 14:
		policy := m.cell.Policy
		policy.Scheduling = rapid.SampledFrom(bothSchedulings).Draw(m.t, "scheduling")
		m.cell.SetPolicy(m.now, policy, m.slots)
		allowed = max(allowed, m.slotLimit())
	}
	m.check(allowed)
}

func (m *cellMachine) submit() {
	id := RequestID(len(m.requests) + 1)
	r := &modelRequest{Request: Request{
		ID: id, Idempotent: rapid.Bool().Draw(m.t, "idempotent"), Replayable: rapid.Bool().Draw(m.t, "replayable"),
		Account: table.AccountName(fmt.Sprint(id % 3)), Deadline: m.now + Time(time.Second), Fingerprint: Fingerprint(id % 5),
		Route: table.RouteName(fmt.Sprint(id % 4)), Priority: rapid.IntRange(0, 2).Draw(m.t, "priority"), RoutePriority: int(id % 4),
		Objective: m.now + Time(rapid.IntRange(0, 2).Draw(m.t, "objective"))*Time(400*time.Millisecond),
	}}
	m.requests[id] = r
	m.order = append(m.order, id)
	m.cell.Submit(m.now, r.Request)
}

var machineOutcomes = []Outcome{
	{Kind: OutcomeSuccess, Written: true, ServiceTime: 50 * time.Millisecond},
	{Kind: OutcomeFailed, Written: true, ServiceTime: 50 * time.Millisecond},
	{Kind: OutcomeTruncated, Written: true, ServiceTime: 50 * time.Millisecond},
	{Kind: OutcomeConnectionLost, Written: true},
	{Kind: OutcomeConnectFailed},
	{Kind: OutcomeShed, Written: true},
	{Kind: OutcomeNotStarted},
	{Kind: OutcomeTimeout, Written: true, ServiceTime: time.Second},
}

// finish ends the oldest attempt. The first targets fail more often than the others.
func (m *cellMachine) finish() {
	for _, id := range m.order {
		d, running := m.running[id]
		if !running {
			continue
		}
		unhealthy := d.Target < targetName(3) || rapid.Bool().Draw(m.t, "any")
		o := machineOutcomes[0]
		if unhealthy {
			o = rapid.SampledFrom(machineOutcomes).Draw(m.t, "outcome")
		}
		m.requests[id].written = m.requests[id].written || (o.Written && o.Kind != OutcomeShed)
		delete(m.running, id)
		m.inFlight[d.Target]--
		m.cell.Finish(m.now, id, o)
		return
	}
}

func (m *cellMachine) cancel() {
	for _, id := range m.order {
		if r := m.requests[id]; r.finals == 0 && !r.canceled {
			r.canceled = true
			m.cell.Cancel(m.now, id)
			return
		}
	}
}

func (m *cellMachine) changeMembership() {
	id := targetName(rapid.IntRange(0, machineTargets-1).Draw(m.t, "target"))
	switch rapid.IntRange(0, 3).Draw(m.t, "change") {
	case 0:
		m.leaving[id] = true
		m.cell.Signal(m.now, id, Signal{Kind: SignalDraining})
	case 1:
		m.leaving[id] = true
	case 2:
		delete(m.listed, id)
	case 3:
		m.floor = rapid.IntRange(0, machineTargets).Draw(m.t, "floor")
	}
	m.update()
}

func (m *cellMachine) check(allowed int) {
	for _, d := range m.cell.Decisions() {
		r := m.requests[d.Request]
		if r.finals > 0 || (r.canceled && d.Kind != DecisionRun) {
			m.fail("decision %v after the final decision or a cancellation", d)
		}
		switch d.Kind {
		case DecisionRun:
			m.checkRun(r, d, allowed)
		case DecisionRefuse:
			r.finals++
			if r.written {
				m.fail("request %d refused as not run, but it was written", d.Request)
			}
		case DecisionFinal:
			r.finals++
		}
	}
	m.checkEjections()
	if problem := levelProblem(m.cell); problem != "" {
		m.fail("%s", problem)
	}
}

func (m *cellMachine) checkRun(r *modelRequest, d Decision, allowed int) {
	m.running[d.Request] = d
	m.inFlight[d.Target]++
	switch {
	case r.canceled:
		m.fail("canceled request %d runs", d.Request)
	case r.written && (!r.Idempotent || !r.Replayable):
		m.fail("request %d runs again", d.Request)
	case m.leaving[d.Target] || !m.listed[d.Target]:
		m.fail("leaving target %s gets a request", d.Target)
	case m.inFlight[d.Target] > allowed:
		m.fail("%d attempts at %s, %d allowed", m.inFlight[d.Target], d.Target, allowed)
	}
}

func (m *cellMachine) checkEjections() {
	ejected, members := 0, 0
	for _, t := range m.cell.Report().Targets {
		if !m.listed[t.ID] || m.leaving[t.ID] {
			continue
		}
		members++
		if t.State != TargetEjected {
			continue
		}
		ejected++
		if m.allowedOwnership() != fleet.ExclusiveOwner {
			m.fail("target %s is ejected by an owner that is not exclusive", t.ID)
		}
	}
	if members-ejected < min(m.floor, members) {
		m.fail("%d of %d targets ejected with floor %d", ejected, members, m.floor)
	}
}

// allowedOwnership returns the ownership that remains after a delayed tick, once the cell has been called after
// it.
func (m *cellMachine) allowedOwnership() fleet.Ownership {
	if m.ownership == fleet.ExclusiveOwner && m.now < m.cell.suspension.delayedTickUntil {
		return fleet.ContestedOwner
	}
	return m.ownership
}

// finishAll ends all open requests and checks that each got its final decision.
func (m *cellMachine) finishAll() {
	for range 200 {
		for len(m.running) > 0 {
			m.finish()
			m.check(m.slots)
		}
		m.now += Time(TickInterval)
		m.cell.Tick(m.now)
		m.lastTick = m.now
		m.check(m.slots)
	}
	for id, r := range m.requests {
		if r.finals != 1 && !r.canceled {
			m.fail("request %d has %d final decisions", id, r.finals)
		}
	}
	if m.violation == "" && m.cell.requests.len() != 0 {
		m.fail("%d requests are left", m.cell.requests.len())
	}
}

func runMachine(t *rapid.T, f injectedFaults) string {
	m := newMachine(t, f)
	steps := rapid.IntRange(1, 150).Draw(t, "steps")
	for i := 0; i < steps && m.violation == ""; i++ {
		m.step()
	}
	if m.violation == "" {
		m.finishAll()
	}
	return m.violation
}

// Guards the floor, the ban on ejections by owners that are not exclusive, the slots, one final decision per
// request, at most one run of a written request that is not retryable, and no requests to leaving targets.
func TestInvariantsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if violation := runMachine(t, injectedFaults{}); violation != "" {
			t.Fatal(violation)
		}
	})
}

// Guards against checks that detect nothing: each invariant must be violated when its rule is disabled.
func TestInjectedFaultsAreDetected(t *testing.T) {
	for name, f := range map[string]injectedFaults{
		"ignoreFloor": {ignoreFloor: true}, "ejectContested": {ejectContested: true},
		"fullSlotsWhenShared": {fullSlotsWhenShared: true}, "oneSlotTooMany": {oneSlotTooMany: true},
		"rerunNonIdempotent": {rerunNonIdempotent: true}, "forgetCancelled": {forgetCancelled: true},
		"workForLeaving": {workForLeaving: true}, "trustAfterGap": {trustAfterGap: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			violation := ""
			for seed := 0; seed < 20 && violation == ""; seed++ {
				rapid.Check(t, func(t *rapid.T) {
					if violation == "" {
						violation = runMachine(t, f)
					}
				})
			}
			t.Log(violation)
			is.True(violation != "")
		})
	}
}
