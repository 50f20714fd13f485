package pool

import (
	"math"
)

// Failure ratios of the sequential tests.
const (
	// minBaselineRatio is the minimum failure ratio that healthy targets are assumed to have.
	minBaselineRatio = 0.005
	// maxBaselineRatio bounds the peers' ratio that is used as the baseline. Above it the pool as a whole is
	// failing.
	maxBaselineRatio = 0.5
	// maxGroupTimeouts is how many of a group of overlapping timeouts count as failures.
	maxGroupTimeouts = 2
	// ratioSmoothing is the weight of one response in a target's failure ratio.
	ratioSmoothing = 1.0 / 16
)

// cusum is a cumulative sum of log-likelihood ratios, bounded below by zero. A healthy target reaches the value
// h about once in exp(h) samples or less often.
type cusum struct {
	sum float64
	// samples counts the samples since the sum was last zero.
	samples int
}

func (s *cusum) add(logRatio float64) {
	s.sum += logRatio
	if s.sum <= 0 {
		s.reset()
		return
	}
	s.samples++
}

func (s *cusum) reset() { *s = cusum{} }

// failureTest is a test of the failure ratio against one alternative.
type failureTest struct {
	// alternative is the failure ratio of the targets that the test is to find.
	alternative float64
}

var (
	failureTest20 = failureTest{alternative: 0.2}
	failureTest90 = failureTest{alternative: 0.9}
)

// logRatio returns the log-likelihood ratio of one response. If the peers fail too, the alternative is kept at
// three times their odds or more, so that the test still finds a target that is worse than its peers.
func (f failureTest) logRatio(failed bool, baseline float64) float64 {
	odds := 3 * baseline / (1 - baseline)
	alternative := max(f.alternative, odds/(1+odds))
	if failed {
		return math.Log(alternative / baseline)
	}
	return math.Log((1 - alternative) / (1 - baseline))
}

// evidence holds what the cell has observed of one target.
type evidence struct {
	someFailures     cusum // Failures, alternative 20%.
	mostFailures     cusum // Failures, alternative 90%.
	serviceTime      cusum // Service times; of uploads, the times after the body.
	connectionFaults cusum // Connection faults.
	// late is the evidence of the attempts in flight, whose service time is censored, as of the last tick or the
	// last attempt that ended.
	late float64
	// faultLevel is the strongest evidence as a fraction of the avoid threshold, 0 to 1.
	faultLevel float64
	// lastUnhealthyAt is the time of the last failure, clearly slow response or connection fault.
	lastUnhealthyAt Time
	// lastFailureAt is the time of the last failure, and lastFailureStart the time at which that request
	// started.
	lastFailureAt, lastFailureStart Time
	// overlappingTimeouts counts the timeouts of the last overlapping group, and firstTimeoutAt is when its
	// first one ended.
	overlappingTimeouts int
	firstTimeoutAt      Time
	// failureRatio is the smoothed fraction of failures.
	failureRatio float64
	// samples counts the responses since the evidence was last reset.
	samples int
}

// reset clears the evidence, but not the failure ratio, which contributes to the baseline of the peers.
func (e *evidence) reset() {
	e.someFailures.reset()
	e.mostFailures.reset()
	e.serviceTime.reset()
	e.connectionFaults.reset()
	e.late, e.faultLevel, e.samples = 0, 0, 0
}

// fromCompleted returns the strongest evidence without that of attempts in flight.
func (e *evidence) fromCompleted() float64 {
	return max(e.someFailures.sum, e.mostFailures.sum, e.serviceTime.sum, e.connectionFaults.sum)
}

// strongest returns the largest sum of the tests, with its reason and number of samples.
func (e *evidence) strongest() (float64, Reason, int) {
	sum, reason, samples := e.mostFailures.sum, ReasonFailures, e.mostFailures.samples
	if e.someFailures.sum > sum {
		sum, reason, samples = e.someFailures.sum, ReasonSomeFailures, e.someFailures.samples
	}
	if e.serviceTime.sum+e.late > sum {
		sum, reason, samples = e.serviceTime.sum+e.late, ReasonSlow, e.serviceTime.samples
	}
	if e.connectionFaults.sum > sum {
		sum, reason, samples = e.connectionFaults.sum, ReasonConnections, e.connectionFaults.samples
	}
	return sum, reason, samples
}

// collectOutcome adds the evidence of an attempt that ended.
func (c *Cell) collectOutcome(now Time, t *target, r *request, o *Outcome) {
	var outcomeEvidence float64
	switch o.Kind {
	case OutcomeSuccess:
		c.queue.observeServiceTime(o.ServiceTime)
		c.observeRouteTime(r, o.ServiceTime)
		outcomeEvidence = c.recordResponse(now, t, r, false)
		if slow, known := c.collectServiceTime(now, t, r, o); known && (slow >= minFailureEvidence || t.reason == ReasonSlow) {
			outcomeEvidence = -slow
		}
	case OutcomeFailed, OutcomeTruncated:
		outcomeEvidence = c.recordResponse(now, t, r, true)
	case OutcomeTimeout:
		outcomeEvidence = c.collectTimeout(now, t, r, o)
	case OutcomeCanceled:
		// A caller that left in the middle of its response says nothing about the target.
		if !o.ResponseStarted {
			c.collectCensored(t, r, o)
		}
	case OutcomeConnectionLost, OutcomeConnectionSilent:
		c.stats.countSample()
		outcomeEvidence = -failureTest90.logRatio(true, minBaselineRatio)
	case OutcomeConnectFailed:
		outcomeEvidence = -trialFailureEvidence
	}
	c.endTrial(now, t, r, outcomeEvidence)
}

// recordResponse counts a success or a failure, which may be a timeout, and returns the evidence that the target
// is healthy.
func (c *Cell) recordResponse(now Time, t *target, r *request, failed bool) float64 {
	e := &t.evidence
	c.stats.countSample()
	e.samples++
	if c.tracksEpisodes() {
		if failed {
			return -trialFailureEvidence
		}
		return -failureTest20.logRatio(false, minBaselineRatio)
	}
	sample := 0.0
	if failed {
		sample = 1
		e.lastUnhealthyAt, e.lastFailureAt, e.lastFailureStart = now, now, r.started
	}
	e.failureRatio += (sample - e.failureRatio) * ratioSmoothing
	baseline := c.stats.baselineRatio
	llr := failureTest20.logRatio(failed, baseline)
	if !failed && r.started < e.lastFailureStart {
		// The request started before the last failure, so its success does not show that the target has
		// recovered since.
		return -llr
	}
	e.someFailures.add(llr)
	e.mostFailures.add(failureTest90.logRatio(failed, baseline))
	return -llr
}

// collectServiceTime compares the service time of a response with that of the peers and returns the evidence
// that the target is slow. known is false if the service time can't be compared.
func (c *Cell) collectServiceTime(now Time, t *target, r *request, o *Outcome) (slow float64, known bool) {
	h, service := &c.stats.ordinary, r.comparableTime(o.ServiceTime)
	if r.Upload {
		h, service = &c.stats.uploads, o.TimeAfterBody
	}
	if service <= 0 {
		return 0, false
	}
	bin := binOf(service)
	slow = h.slow(bin)
	if c.overtaken(t, r) {
		slow = min(slow, 0)
	}
	if t.state == TargetServing && !r.cold {
		h.observe(bin)
	}
	if r.cold {
		return min(slow, 0), true
	}
	t.evidence.serviceTime.add(slow)
	if slow > minFailureEvidence {
		t.evidence.lastUnhealthyAt = now
	}
	return slow, true
}

// collectTimeout handles a request that got no response before its deadline. The timeout is a failure of the
// target only if the peers would have responded long before; otherwise the deadline was too short. Where service
// times can't be compared, as for uploads, it is always a failure. Requests that were in flight together count as
// one sample of service time and at most two failures, because a lost link or a silent connection may have
// stopped all of them at once.
func (c *Cell) collectTimeout(now Time, t *target, r *request, o *Outcome) float64 {
	e := &t.evidence
	if e.overlappingTimeouts > 0 && r.started <= e.firstTimeoutAt {
		e.overlappingTimeouts++
		if e.overlappingTimeouts > maxGroupTimeouts {
			return 0
		}
		return c.recordResponse(now, t, r, true)
	}
	e.overlappingTimeouts, e.firstTimeoutAt = 1, now
	if !c.comparable(r) {
		return c.recordResponse(now, t, r, true)
	}
	logRatio := c.collectCensored(t, r, o)
	if logRatio < minFailureEvidence {
		return 0
	}
	return c.recordResponse(now, t, r, true)
}

// comparable reports whether the time that a request takes can be compared with the service times of other targets.
func (c *Cell) comparable(r *request) bool {
	return !r.Upload && !r.cold && c.stats.ordinary.hasSamples()
}

// collectCensored adds the evidence of a request that ended without a response after o.ServiceTime in flight, and
// returns it; 0 if the time can't be compared.
func (c *Cell) collectCensored(t *target, r *request, o *Outcome) float64 {
	if !c.comparable(r) {
		return 0
	}
	logRatio := c.stats.ordinary.late(binOf(r.comparableTime(o.ServiceTime)))
	if logRatio > 0 && !c.tracksEpisodes() {
		// Where episodes are tracked, it counts in the failure estimate. A target that hangs for an episode is not slow.
		t.evidence.serviceTime.add(logRatio)
	}
	return logRatio
}

// updateEvidence adds the evidence of the attempts in flight, so that a target that hangs is found before its
// requests end, and updates the rates and ratios that all tests share.
func (c *Cell) updateEvidence(now Time) {
	c.stats.tick(now)
	if c.stats.baselineDue(now) {
		c.stats.baselineRatio = c.medianFailureRatio()
	}
	for i := range c.targets.len() {
		c.updateLateEvidence(now, c.targets.at(i))
	}
}

// updateLateEvidence computes the evidence of one target's attempts in flight.
func (c *Cell) updateLateEvidence(now Time, t *target) {
	t.evidence.late = 0
	if !c.stats.ordinary.hasSamples() {
		return
	}
	for _, r := range t.attempts {
		age := r.comparableTime(asDuration(r.silentFor(now)))
		if Time(age) < c.stats.ordinary.minLateAge || r.Upload || r.cold || r.started < c.suspension.evidenceFrom || c.overtaken(t, r) {
			continue
		}
		t.evidence.late += max(0, c.stats.ordinary.late(binOf(age)))
	}
}

// medianFailureRatio returns the median of the targets' failure ratios, within the bounds of the baseline. A
// minority of failing targets does not change it. A fault that all targets share raises it, and so reduces the
// evidence against each.
func (c *Cell) medianFailureRatio() float64 {
	const steps = 64
	var counts [steps + 1]int
	n := 0
	for i := range c.targets.len() {
		t := c.targets.at(i)
		if t.state == TargetLeaving || t.state == TargetEjected {
			continue
		}
		counts[int(t.evidence.failureRatio*steps)]++
		n++
	}
	cumulative := 0
	for step, count := range counts {
		cumulative += count
		if cumulative*2 > n {
			return min(maxBaselineRatio, max(minBaselineRatio, float64(step)/steps))
		}
	}
	return minBaselineRatio
}
