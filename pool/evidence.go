package pool

import (
	"math"
)

// Failure ratios of the sequential tests.
const (
	// baseFailureRatio is the least failure ratio that healthy targets are assumed to have.
	baseFailureRatio = 0.005
	// maxBaseRatio bounds the peers' ratio used as the base; above it the pool as a whole is failing.
	maxBaseRatio = 0.5
	// maxGroupTimeouts is how many of the overlapping timeouts count as failures.
	maxGroupTimeouts = 2
	// ratioSmoothing is the weight of one answer in a target's failure ratio.
	ratioSmoothing = 1.0 / 16
)

// cusum is a cumulative sum of log-likelihood ratios, clamped at zero. A healthy target reaches the
// value h about once in exp(h) samples or less often.
type cusum struct {
	sum float64
	// samples since the sum was last zero.
	samples int
}

func (s *cusum) add(ratio float64) {
	s.sum += ratio
	if s.sum <= 0 {
		s.reset()
		return
	}
	s.samples++
}

func (s *cusum) reset() { *s = cusum{} }

// failureTest is a test of the failure ratio against one alternative.
type failureTest struct {
	// alternative is the failure ratio of the targets that the test looks for.
	alternative float64
}

var (
	llrFailure20 = failureTest{alternative: 0.2}
	llrFailure90 = failureTest{alternative: 0.9}
)

// of returns the log-likelihood ratio of one answer. Where the peers fail too, the alternative is kept
// at three times their odds, so that the test still looks for a target that is worse than its peers.
func (f failureTest) of(failed bool, base float64) float64 {
	odds := 3 * base / (1 - base)
	alternative := max(f.alternative, odds/(1+odds))
	if failed {
		return math.Log(alternative / base)
	}
	return math.Log((1 - alternative) / (1 - base))
}

// evidence is what the cell has observed of one target.
type evidence struct {
	some        cusum // failures, alternative 20%
	most        cusum // failures, alternative 90%
	time        cusum // service time of ordinary answers
	connections cusum // connection faults
	// late is the censored evidence of the attempts in flight, at the last tick.
	late float64
	// suspicion is the strongest evidence as a share of what makes a target avoided, 0 to 1.
	suspicion float64
	// badAt is the time of the last answer, or lost connection, that spoke clearly against the target.
	badAt Time
	// failedAt is the time of the last failure, and failedStart when that request started.
	failedAt, failedStart Time
	// timeouts counts the last group of overlapping timeouts, and timeoutAt is when its first one ended.
	timeouts  int
	timeoutAt Time
	// ratio is the smoothed share of failures.
	ratio float64
	// samples counts the answers since the target's state last changed.
	samples int
}

// reset forgets the evidence, but not the failure ratio, which is the base of the peers' tests.
func (e *evidence) reset() {
	e.some.reset()
	e.most.reset()
	e.time.reset()
	e.connections.reset()
	e.late, e.suspicion, e.samples = 0, 0, 0
}

// settled is the evidence without that of attempts in flight.
func (e *evidence) settled() float64 {
	return max(e.some.sum, e.most.sum, e.time.sum, e.connections.sum)
}

// strongest returns the largest sum of the tests with its reason and number of samples.
func (e *evidence) strongest() (float64, Reason, int) {
	sum, reason, samples := e.most.sum, ReasonFailures, e.most.samples
	if e.some.sum > sum {
		sum, reason, samples = e.some.sum, ReasonSomeFailures, e.some.samples
	}
	if e.time.sum+e.late > sum {
		sum, reason, samples = e.time.sum+e.late, ReasonSlow, e.time.samples
	}
	if e.connections.sum > sum {
		sum, reason, samples = e.connections.sum, ReasonConnections, e.connections.samples
	}
	return sum, reason, samples
}

// collectOutcome takes the evidence of an answer, or of its absence.
func (c *Cell) collectOutcome(now Time, t *target, r *request, o *Outcome) {
	var progress float64
	switch o.Kind {
	case OutcomeSuccess:
		c.queue.observeHold(o.ServiceTime)
		progress = c.answered(now, t, r, false)
		if slow, known := c.collectTime(now, t, r, o); known && (slow >= overdue || t.reason == ReasonSlow) {
			progress = -slow
		}
	case OutcomeFailed, OutcomeTruncated:
		progress = c.answered(now, t, r, true)
	case OutcomeTimeout:
		progress = c.collectTimeout(now, t, r, o)
	case OutcomeCancelled:
		c.collectCensored(t, r, o)
	case OutcomeConnectionLost, OutcomeConnectionSilent:
		c.history.count()
		progress = -llrFailure90.of(true, baseFailureRatio)
	case OutcomeConnectFailed:
		progress = -failedEvidence
	}
	c.endTrial(now, t, r, progress)
}

// answered counts a success or a failure and returns how far it speaks for the target's health.
func (c *Cell) answered(now Time, t *target, r *request, failed bool) float64 {
	e := &t.evidence
	c.history.count()
	e.samples++
	if c.spells() {
		if failed {
			return -failedEvidence
		}
		return -llrFailure20.of(false, baseFailureRatio)
	}
	share := 0.0
	if failed {
		share = 1
		e.badAt, e.failedAt, e.failedStart = now, now, r.started
	}
	e.ratio += (share - e.ratio) * ratioSmoothing
	base := c.history.baseRatio
	some := llrFailure20.of(failed, base)
	if !failed && r.started < e.failedStart {
		// The success of a request that started before the last failed one does not show that the target
		// has recovered since.
		return -some
	}
	e.some.add(some)
	e.most.add(llrFailure90.of(failed, base))
	return -some
}

// collectTime compares the service time of an answer with the peers' and returns its evidence of slowness, if
// the time says anything.
func (c *Cell) collectTime(now Time, t *target, r *request, o *Outcome) (slow float64, known bool) {
	h, service := &c.history.ordinary, o.ServiceTime
	if r.Upload {
		h, service = &c.history.uploads, o.TimeAfterBody
	}
	if service <= 0 {
		return 0, false
	}
	bin := binOf(service)
	slow = h.slow(bin)
	if t.state == TargetServing && !r.cold {
		h.observe(bin)
	}
	if r.cold {
		return min(slow, 0), true
	}
	t.evidence.time.add(slow)
	if slow > overdue {
		t.evidence.badAt = now
	}
	return slow, true
}

// collectTimeout takes a request that was not answered before its deadline. It is a failure of the target
// only where the peers would have answered long before; else the deadline was too short. Requests that
// were in flight together count as one sample of time and at most two failures, because a lost link or a
// silent connection may have stopped all of them at one moment.
func (c *Cell) collectTimeout(now Time, t *target, r *request, o *Outcome) float64 {
	e := &t.evidence
	if e.timeouts > 0 && r.started <= e.timeoutAt {
		e.timeouts++
		if e.timeouts > maxGroupTimeouts {
			return 0
		}
		return c.answered(now, t, r, true)
	}
	e.timeouts, e.timeoutAt = 1, now
	if r.Upload || r.cold || !c.history.ordinary.known() {
		return c.answered(now, t, r, true)
	}
	ratio := c.collectCensored(t, r, o)
	if ratio < overdue {
		return 0
	}
	return c.answered(now, t, r, true)
}

// collectCensored takes a request that ended without an answer after the given time in flight.
func (c *Cell) collectCensored(t *target, r *request, o *Outcome) float64 {
	if r.Upload || r.cold || !c.history.ordinary.known() {
		return 0
	}
	ratio := c.history.ordinary.late(binOf(o.ServiceTime))
	if ratio > 0 {
		t.evidence.time.add(ratio)
	}
	return ratio
}

// observe takes the evidence of the attempts in flight, so that a target that hangs is found before its
// requests end, and updates the rates and ratios that all tests share.
func (c *Cell) observe(now Time) {
	c.history.tick(now)
	if c.history.ratioDue(now) {
		c.history.baseRatio = c.peerRatio()
	}
	for i := range c.targets.len() {
		c.observeLate(now, c.targets.at(i))
	}
}

// observeLate takes the evidence of one target's attempts in flight.
func (c *Cell) observeLate(now Time, t *target) {
	t.evidence.late = 0
	if !c.history.ordinary.known() {
		return
	}
	for _, r := range t.attempts {
		age := now - r.started
		if age < c.history.ordinary.lateAfter || r.Upload || r.cold || r.started < c.doubt.evidenceFrom {
			continue
		}
		t.evidence.late += max(0, c.history.ordinary.late(binOf(timeOf(age))))
	}
}

// peerRatio is the median of the targets' failure ratios. A minority of failing targets does not move
// it; a fault that all targets share raises it and so takes the evidence from each.
func (c *Cell) peerRatio() float64 {
	const steps = 64
	var counts [steps + 1]int
	n := 0
	for i := range c.targets.len() {
		t := c.targets.at(i)
		if t.state == TargetLeaving || t.state == TargetEjected {
			continue
		}
		counts[int(t.evidence.ratio*steps)]++
		n++
	}
	seen := 0
	for step, count := range counts {
		seen += count
		if seen*2 > n {
			return min(maxBaseRatio, max(baseFailureRatio, float64(step)/steps))
		}
	}
	return baseFailureRatio
}
