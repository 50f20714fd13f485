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

// announcingTargets simulates targets that announce in responses that they are leaving or want no requests for a time, while
// the tables change, cells are replaced, processes start anew and probes mislead.
type announcingTargets struct {
	t      *rapid.T
	now    Time
	lastID RequestID
	shared *Announcements
	cell   *Cell
	faults injectedFaults

	// process is the current process of each target, as in table.Target.Started.
	process map[table.TargetID]int64
	listed  map[table.TargetID]bool
	// leaving and paused hold what the current process has announced.
	leaving map[table.TargetID]bool
	paused  map[table.TargetID]Time
	running map[RequestID]attemptAt
	// attempts counts the attempts at targets.
	attempts  int
	violation string
}

// attemptAt is an attempt at a process of a target.
type attemptAt struct {
	target  table.TargetID
	process int64
}

const announcingCount = 6

func newAnnouncingTargets(t *rapid.T, faults injectedFaults) *announcingTargets {
	a := &announcingTargets{
		t: t, now: Time(time.Second), shared: &Announcements{}, faults: faults,
		process: map[table.TargetID]int64{}, listed: map[table.TargetID]bool{},
		leaving: map[table.TargetID]bool{}, paused: map[table.TargetID]Time{},
	}
	for i := range announcingCount {
		a.process[targetName(i)], a.listed[targetName(i)] = 1, true
	}
	a.replaceCell()
	return a
}

func (a *announcingTargets) targets() []table.Target {
	var list []table.Target
	for i := range announcingCount {
		if id := targetName(i); a.listed[id] {
			list = append(list, table.Target{ID: id, Started: a.process[id]})
		}
	}
	return list
}

// replaceCell creates the cell anew, as when targets move to another cell.
func (a *announcingTargets) replaceCell() {
	a.cell = &Cell{
		Policy: episodePolicy, SlotsPerTarget: 2, Random: rand.New(rand.NewPCG(uint64(a.now), 1)),
		Announcements: a.shared, injectedFaults: a.faults,
	}
	a.running = make(map[RequestID]attemptAt)
	a.cell.Update(a.now, a.targets(), announcingCount/2)
	a.cell.SetOwnership(a.now, fleet.ExclusiveOwner, false)
	a.cell.Tick(a.now)
}

// collect checks the decisions: none may send a request to a process that has announced that it wants none.
func (a *announcingTargets) collect() {
	for _, d := range a.cell.Decisions() {
		if d.Kind != DecisionRun {
			continue
		}
		a.attempts++
		a.running[d.Request] = attemptAt{d.Target, a.process[d.Target]}
		switch {
		case a.leaving[d.Target]:
			a.violation = fmt.Sprintf("%s is leaving and gets a request (%s)", d.Target, d.Reason)
		case a.now < a.paused[d.Target]:
			a.violation = fmt.Sprintf("%s wants no requests and gets one (%s)", d.Target, d.Reason)
		}
	}
}

func (a *announcingTargets) anyTarget() table.TargetID {
	return targetName(rapid.IntRange(0, announcingCount-1).Draw(a.t, "target"))
}

func (a *announcingTargets) submit() {
	a.lastID++
	a.cell.Submit(a.now, Request{ID: a.lastID, Idempotent: a.lastID%2 == 0, Replayable: true, Deadline: a.now + Time(3*time.Second)})
}

// finish ends the oldest attempt.
func (a *announcingTargets) finish() {
	for id := RequestID(1); id <= a.lastID; id++ {
		at, ok := a.running[id]
		if !ok {
			continue
		}
		delete(a.running, id)
		kinds := []OutcomeKind{OutcomeSuccess, OutcomeSuccess, OutcomeFailed, OutcomeShed, OutcomeCanceled, OutcomeConnectionLost, OutcomeTimeout}
		o := Outcome{Kind: rapid.SampledFrom(kinds).Draw(a.t, "outcome"), Written: true, ServiceTime: 100 * time.Millisecond}
		if o.Kind != OutcomeConnectionLost && o.Kind != OutcomeTimeout {
			a.announce(at, &o)
		}
		a.cell.Finish(a.now, id, o)
		return
	}
}

// announce adds announcements to an outcome.
func (a *announcingTargets) announce(at attemptAt, o *Outcome) {
	current := at.process == a.process[at.target]
	if rapid.IntRange(0, 4).Draw(a.t, "leaves") == 0 {
		o.Draining = true
		a.leaving[at.target] = a.leaving[at.target] || current
	}
	if rapid.IntRange(0, 2).Draw(a.t, "pauses") == 0 {
		o.RetryAfter = time.Duration(rapid.IntRange(100, 9000).Draw(a.t, "retryAfterMs")) * time.Millisecond
		if current {
			a.paused[at.target] = max(a.paused[at.target], a.now+Time(o.RetryAfter))
		}
	}
}

// change starts a new process of a target, removes its registration, or writes it again.
func (a *announcingTargets) change() {
	id := a.anyTarget()
	switch rapid.IntRange(0, 4).Draw(a.t, "change") {
	case 0:
		a.process[id]++
		a.listed[id] = true
		delete(a.leaving, id)
		delete(a.paused, id)
	case 1, 2:
		a.listed[id] = false
	default:
		a.listed[id] = true
	}
	a.cell.Update(a.now, a.targets(), announcingCount/2)
}

// step makes one arbitrary call.
func (a *announcingTargets) step() {
	switch rapid.IntRange(0, 11).Draw(a.t, "call") {
	case 0, 1, 2, 3:
		a.submit()
	case 4, 5, 6:
		a.finish()
	case 7, 8:
		a.now += Time(rapid.IntRange(0, 400).Draw(a.t, "ms")) * Time(time.Millisecond)
		a.cell.Tick(a.now)
	case 9:
		a.change()
	case 10:
		signals := []SignalKind{SignalProbeOK, SignalProbeFailed}
		a.cell.Signal(a.now, a.anyTarget(), Signal{Kind: rapid.SampledFrom(signals).Draw(a.t, "signal")})
	case 11:
		if rapid.IntRange(0, 3).Draw(a.t, "replace") == 0 {
			a.replaceCell()
		}
	}
	a.collect()
}

func runAnnouncingTargets(t *rapid.T, faults injectedFaults) *announcingTargets {
	a := newAnnouncingTargets(t, faults)
	steps := rapid.IntRange(1, 200).Draw(t, "steps")
	for i := 0; i < steps && a.violation == ""; i++ {
		a.step()
	}
	return a
}

// Guards against requests to a process of a target that has announced that it is leaving or wants none for a time: first
// attempts, retries, trials and requests for the floor, also after its registration was removed and written again, after it
// moved to another cell, and after probes.
func TestAnnouncementsHold(t *testing.T) {
	attempts := 0
	rapid.Check(t, func(t *rapid.T) {
		a := runAnnouncingTargets(t, injectedFaults{})
		if attempts += a.attempts; a.violation != "" {
			t.Fatal(a.violation)
		}
	})
	is.New(t).True(attempts > 500)
}

// Shows that the check above detects the rules that it is about when they are switched off.
func TestAnnouncementsCheckFindsFaults(t *testing.T) {
	for name, faults := range map[string]injectedFaults{
		"work for leaving targets": {workForLeaving: true},
		"forgotten with the row":   {forgetAnnouncements: true},
	} {
		t.Run(name, func(t *testing.T) {
			violation := ""
			for seed := 0; seed < 20 && violation == ""; seed++ {
				rapid.Check(t, func(t *rapid.T) {
					if violation == "" {
						violation = runAnnouncingTargets(t, faults).violation
					}
				})
			}
			t.Log(violation)
			is.New(t).True(violation != "")
		})
	}
}

func newPausedCell(t *testing.T, n int) (*Cell, Time) {
	t.Helper()
	c := &Cell{Policy: episodePolicy, SlotsPerTarget: 1, Random: rand.New(rand.NewPCG(1, 1))}
	now := Time(time.Second)
	list := make([]table.Target, n)
	for i := range list {
		list[i] = table.Target{ID: table.TargetID(fmt.Sprint("t", i)), Started: 1}
	}
	c.Update(now, list, n)
	c.SetOwnership(now, fleet.ExclusiveOwner, false)
	c.Tick(now)
	return c, now
}

// Guards against requests that wait for their deadline although all targets want none until later, and against a
// Retry-After delay after which the caller would be refused again.
func TestAllTargetsPaused(t *testing.T) {
	is := is.New(t)
	c, now := newPausedCell(t, 2)
	var running []Decision
	for id := range RequestID(2) {
		c.Submit(now, Request{ID: id + 1, Deadline: now + Time(3*time.Second), MaxAttempts: 1})
		running = append(running, append([]Decision(nil), c.Decisions()...)...)
	}
	// A third request waits.
	c.Submit(now, Request{ID: 3, Deadline: now + Time(3*time.Second)})
	is.Equal(len(running), 2)
	for i, d := range running {
		c.Finish(now, d.Request, Outcome{Kind: OutcomeShed, Written: true, RetryAfter: time.Duration(6-i) * time.Second})
	}
	now += Time(TickInterval)
	c.Tick(now)
	refused := map[RequestID]Decision{}
	for _, d := range c.Decisions() {
		if d.Kind == DecisionRefuse {
			refused[d.Request] = d
		}
	}
	is.Equal(refused[3].Reason, ReasonTargetsPaused)
	is.Equal(refused[3].RetryAfter, 5*time.Second-TickInterval)
	c.Submit(now, Request{ID: 4, Deadline: now + Time(3*time.Second)})
	d := c.Decisions()
	is.Equal(len(d), 1)
	is.Equal(d[0].Kind, DecisionRefuse)
	is.Equal(d[0].RetryAfter, 5*time.Second-TickInterval)
	// It is not evidence against the targets.
	now += Time(5 * time.Second)
	c.Tick(now)
	c.Submit(now, Request{ID: 5, Deadline: now + Time(3*time.Second)})
	d = c.Decisions()
	is.Equal(len(d), 1)
	is.Equal(d[0].Kind, DecisionRun)
	is.True(d[0].FailureProbability < suspectProbability)
}

// Guards against an attempt that was chosen before its target announced that it is leaving, and that costs the request
// one of its attempts although nothing was sent.
func TestRevokedAttemptIsNotCounted(t *testing.T) {
	is := is.New(t)
	c, now := newPausedCell(t, 2)
	c.Submit(now, Request{ID: 1, Deadline: now + Time(3*time.Second), MaxAttempts: 1})
	first := c.Decisions()[0]
	c.Signal(now, first.Target, Signal{Kind: SignalDraining})
	is.True(!c.AcceptsRequests(now, first.Target))
	c.Finish(now, 1, Outcome{Kind: OutcomeNotStarted})
	second := c.Decisions()
	is.Equal(len(second), 1)
	is.Equal(second[0].Kind, DecisionRun)
	is.Equal(second[0].Attempt, 1)
	is.True(second[0].Target != first.Target)
}

// Guards against a next owner that sends requests to targets that have announced to the previous one that they want none.
func TestAnnouncementsAreHandedOver(t *testing.T) {
	is := is.New(t)
	c, now := newPausedCell(t, 3)
	c.Announcements.Add("t0", Announcement{Started: 1, Leaving: true})
	c.Announcements.Add("t1", Announcement{Started: 1, PausedUntil: now + Time(7*time.Second)})
	c.Tick(now)
	next, _ := newPausedCell(t, 3)
	next.ImportAnnouncements(now, c.TargetAnnouncements(now))
	is.True(!next.AcceptsRequests(now, "t0"))
	is.True(!next.AcceptsRequests(now+Time(6*time.Second), "t1"))
	is.True(next.AcceptsRequests(now+Time(8*time.Second), "t1"))
	is.True(next.AcceptsRequests(now, "t2"))
}

// Guards against probes of a target that wants no requests until later: connections that are lost during the pause each
// made a probe due, and the operators allow two requests in that time.
func TestPausedTargetGetsNoProbe(t *testing.T) {
	is := is.New(t)
	c, now := newPausedCell(t, 2)
	c.Submit(now, Request{ID: 1, Deadline: now + Time(3*time.Second), MaxAttempts: 1})
	paused := c.Decisions()[0].Target
	is.True(c.AllowProbe(now, paused))
	c.Finish(now, 1, Outcome{Kind: OutcomeShed, Written: true, RetryAfter: 2 * time.Second})
	for _, id := range []table.TargetID{"t0", "t1"} {
		is.Equal(c.AllowProbe(now+Time(2*time.Second-TickInterval), id), id != paused)
	}
	is.True(c.AllowProbe(now+Time(2*time.Second), paused))
}
