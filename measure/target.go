package measure

import (
	"slices"
	"time"

	"github.com/bilberrywood/bilberrywood/pool"
	"github.com/bilberrywood/bilberrywood/table"
)

// Target is a simulated target with slots, a short FIFO queue and switchable faults.
type Target struct {
	ID    table.TargetID
	index int
	slots int
	// queueLimit is how many requests can wait when all slots are in use; more are shed.
	queueLimit int
	sim        *Simulation
	faults     []activeFault
	inService  []*attempt
	waiting    []*attempt
	down       bool
	// coldSince is the time of the last cold start; negative if there was none.
	coldSince   pool.Time
	connections connections
	// harmfulUntil is when the effects of the last harmful fault or crash ended; 0 if there was none.
	harmfulUntil pool.Time
	crashes      int
}

// attempt is one attempt of a request at a target.
type attempt struct {
	observer *Observer
	request  *request
	target   *Target
	trial    bool
	started  pool.Time
	// sent is when the request was sent on its current connection.
	sent pool.Time
	// harmed reports whether a fault changed the result.
	harmed bool
	// silent reports whether the connection delivers nothing more.
	silent bool
	// newConnection reports whether the attempt is the first on its connection.
	newConnection bool
	done          bool
}

// startFault switches the fault on.
func (t *Target) startFault(f Fault) {
	now := t.sim.clock.Now()
	t.faults = append(t.faults, activeFault{Fault: f, since: now})
	if f.Crash {
		t.crash()
	}
	if f.ColdStart {
		t.coldSince = now
	}
	if f.SilentConnections {
		t.silenceConnections()
	}
}

// endFault switches off all faults with the name.
func (t *Target) endFault(name FaultName) {
	t.faults = slices.DeleteFunc(t.faults, func(f activeFault) bool {
		if f.Name == name && f.Harmful() {
			t.harmfulUntil = max(t.harmfulUntil, t.sim.clock.Now()+f.residualHarm(t.sim.profile))
		}
		return f.Name == name
	})
}

// harmful reports whether the target has a harmful fault now or had one within the grace period.
func (t *Target) harmful(grace time.Duration) bool {
	if t.down || slices.ContainsFunc(t.faults, func(f activeFault) bool { return f.Harmful() }) {
		return true
	}
	return t.harmfulUntil > 0 && t.sim.clock.Now() <= t.harmfulUntil+pool.Time(grace)
}

func (t *Target) hasFault(test func(Fault) bool) bool {
	return slices.ContainsFunc(t.faults, func(f activeFault) bool { return test(f.Fault) })
}

func (t *Target) partitioned() bool { return t.hasFault(func(f Fault) bool { return f.Partition }) }
func (t *Target) draining() bool    { return t.hasFault(func(f Fault) bool { return f.Drain }) }

// accept receives a request from an observer and chooses its connection.
func (t *Target) accept(a *attempt) {
	a.sent = a.started
	a.newConnection, a.silent = t.connections.acquire(a.started, a.request.Idempotent)
	t.receive(a)
}

// receive handles a request on its chosen connection.
func (t *Target) receive(a *attempt) {
	switch {
	case t.partitioned():
		a.harmed = true
		t.sim.trackHarm(a)
	case t.down:
		t.sim.clock.After(connectDuration, func() { t.respond(a, pool.Outcome{Kind: pool.OutcomeConnectFailed}) })
	case a.silent:
		t.scheduleReconnect(a)
	case len(t.inService) < t.slots:
		t.serve(a)
	case len(t.waiting) < t.queueLimit:
		t.waiting = append(t.waiting, a)
	default:
		t.sim.clock.After(connectDuration, func() {
			t.respond(a, pool.Outcome{Kind: pool.OutcomeShed, Written: true, RetryAfter: shedRetryAfter})
		})
	}
}

// scheduleReconnect makes the entry send the request again on a new connection to the same target if
// no byte arrives on a reused connection within the silence timeout. Non-idempotent requests and
// uploads are not sent again.
func (t *Target) scheduleReconnect(a *attempt) {
	if a.newConnection || !a.request.Idempotent || a.request.Upload {
		return
	}
	silenceTimeout := pool.Time(silenceTimeoutMedians * t.sim.profile.MedianServiceTime)
	t.sim.clock.After(time.Duration(a.sent+silenceTimeout-t.sim.clock.Now()), func() {
		if a.done || a.newConnection || t.down || t.partitioned() {
			return
		}
		t.freeSlot(a)
		t.connections = connections{}
		a.newConnection, a.silent = true, false
		a.sent = t.sim.clock.Now()
		t.receive(a)
	})
}

// serve runs a request in a free slot.
func (t *Target) serve(a *attempt) {
	now := t.sim.clock.Now()
	t.inService = append(t.inService, a)
	if a.request.poison {
		t.sim.clock.After(poisonCrashDelay, func() {
			if !a.done {
				t.crash()
			}
		})
		return
	}
	e := t.drawEffect(now)
	if e.harmed {
		a.harmed = true
		t.sim.trackHarm(a)
	}
	if e.hangs || e.serviceTime > silenceTimeoutMedians*t.sim.profile.MedianServiceTime {
		t.scheduleReconnect(a)
	}
	if e.hangs {
		return
	}
	sent := a.sent
	t.sim.clock.After(e.serviceTime, func() {
		if a.silent || a.sent != sent {
			return
		}
		o := pool.Outcome{Kind: e.outcome, Written: true, Draining: t.draining()}
		if a.request.Upload {
			o.TimeAfterBody = e.serviceTime / afterBodyDivisor
		}
		t.respond(a, o)
	})
}

// drawEffect draws the outcome and service time of one request.
func (t *Target) drawEffect(now pool.Time) effect {
	random := t.sim.random
	e := effect{outcome: pool.OutcomeSuccess, serviceTime: drawServiceTime(random, t.sim.profile.MedianServiceTime)}
	if random.Float64() < healthyFailureRatio {
		e.outcome = pool.OutcomeFailed
	}
	if age := time.Duration(now - t.coldSince); t.coldSince >= 0 && age < coldStartDuration {
		remaining := 1 - float64(age)/float64(coldStartDuration)
		e.serviceTime = time.Duration(float64(e.serviceTime) * (1 + (coldStartFactor-1)*remaining))
	}
	for _, f := range t.faults {
		f.apply(&e, now, random)
	}
	return e
}

// respond finishes an attempt and reports its outcome, unless the attempt has already ended.
func (t *Target) respond(a *attempt, o pool.Outcome) {
	if a.done {
		return
	}
	t.finish(a)
	if o.Kind <= pool.OutcomeFailed || o.Kind == pool.OutcomeShed {
		t.connections.release(t.sim.clock.Now())
	}
	a.observer.report(a, o)
}

// finish marks the attempt as done and frees its slot or its place in the queue.
func (t *Target) finish(a *attempt) {
	a.done = true
	t.freeSlot(a)
}

// freeSlot frees the slot or the queue place of the attempt and starts the next waiting attempt.
func (t *Target) freeSlot(a *attempt) {
	t.waiting = slices.DeleteFunc(t.waiting, func(o *attempt) bool { return o == a })
	i := slices.Index(t.inService, a)
	if i < 0 {
		return
	}
	t.inService = slices.Delete(t.inService, i, i+1)
	if len(t.waiting) > 0 && !t.down && len(t.inService) < t.slots {
		next := t.waiting[0]
		t.waiting = t.waiting[1:]
		t.serve(next)
	}
}

// crash ends all attempts at the target with a lost connection and refuses connections until the restart.
func (t *Target) crash() {
	if t.down {
		return
	}
	t.down = true
	t.crashes++
	lost := append(slices.Clone(t.inService), t.waiting...)
	t.inService, t.waiting = nil, nil
	for _, a := range lost {
		a.done = true
		a.observer.report(a, pool.Outcome{Kind: pool.OutcomeConnectionLost, Written: true})
	}
	t.sim.clock.After(restartTime, func() {
		t.down = false
		t.coldSince = t.sim.clock.Now()
		t.harmfulUntil = t.coldSince + pool.Time(coldStartDuration)
	})
}

// silenceConnections makes all open connections deliver nothing more, including those in use.
func (t *Target) silenceConnections() {
	t.connections.silent = t.connections.idle
	for _, a := range t.inService {
		a.silent = true
		t.scheduleReconnect(a)
	}
}

// probe returns the signals of the target's health and load endpoints.
func (t *Target) probe() []pool.Signal {
	var signals []pool.Signal
	switch {
	case t.down, t.partitioned(), t.hasFault(func(f Fault) bool { return f.ProbeFails }):
		signals = append(signals, pool.Signal{Kind: pool.SignalProbeFailed})
	default:
		// Targets with a gray failure pass their probes.
		signals = append(signals, pool.Signal{Kind: pool.SignalProbeOK})
	}
	if t.down || t.partitioned() {
		return signals
	}
	load := len(t.inService)
	if t.hasFault(func(f Fault) bool { return f.HighLoad }) {
		load = forcedLoad
	}
	if t.hasFault(func(f Fault) bool { return f.Harmful() }) {
		// A target with a gray failure also reports no load, which attracts work.
		load = 0
	}
	signals = append(signals, pool.Signal{Kind: pool.SignalLoad, Load: load})
	if t.draining() {
		signals = append(signals, pool.Signal{Kind: pool.SignalDraining})
	}
	return signals
}

// connections are the idle connections from the observers to a target.
type connections struct {
	idle int
	// silent is how many of the idle connections deliver nothing more.
	silent   int
	lastUsed pool.Time
}

// acquire reuses an idle connection, silent ones first, or dials a new one. Non-idempotent requests
// only reuse connections on which bytes arrived recently.
func (c *connections) acquire(now pool.Time, idempotent bool) (dialed, silent bool) {
	age := time.Duration(now - c.lastUsed)
	if age > idleTimeout {
		c.idle, c.silent = 0, 0
	}
	if c.idle == 0 || !idempotent && age > nonIdempotentReuseWindow {
		return true, false
	}
	c.idle--
	if c.silent > 0 {
		c.silent--
		return false, true
	}
	return false, false
}

// release returns a connection to the idle ones after a complete response.
func (c *connections) release(now pool.Time) {
	c.idle++
	c.lastUsed = now
}
