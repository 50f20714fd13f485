package pool

import (
	"math"
	"time"
)

// Layout of the histogram of service times: bins of equal width in logarithmic time.
const (
	numBins = 96
	// binsPerOctave sets the width: a quarter of a doubling.
	binsPerOctave = 4
	// firstBinTime is the lower edge of the first bin; the last bin starts at about 700 s.
	firstBinTime = 50 * time.Microsecond
)

// Parameters of the comparison of service times.
const (
	// minTimeSamples is how many responses are needed before service times are evidence.
	minTimeSamples = 8
	// halfLifeSamples is the number of responses after which older ones have half the weight.
	halfLifeSamples = 4096
	// discountFactor is the weight of older responses after a change that affects all targets.
	discountFactor = 0.1
	// refreshSamples is the number of responses after which the evidence per bin is recomputed.
	refreshSamples = 128
	// priorWeight is the weight, in responses, of the assumed heavy-tailed distribution. It makes service times
	// that were not observed yet rare but not impossible.
	priorWeight = 12
	// priorScale is the scale of that distribution in logarithmic time: the tail falls with the square of time.
	priorScale = 0.5
	// stuckFraction is the fraction of an unhealthy target's responses that take far longer than the slow
	// factor.
	stuckFraction = 0.25
	// stuckBins is how far beyond the slow factor these extend, in bins.
	stuckBins = 40
	// maxSlowEvidence and maxLateEvidence bound what one response, or one request without a response, adds, so
	// that a single slow outlier doesn't eject a target.
	maxSlowEvidence = 5.0
	maxLateEvidence = 12.0
	// minLateEvidence is the evidence below which the age of a request is ignored.
	minLateEvidence = 0.1
	// minFailureEvidence is the evidence from which a request without a response counts as failed, and a response
	// as clearly slow.
	minFailureEvidence = 2.0
	// rareFraction is the fraction of responses that take longer than rareAge.
	rareFraction = 0.05
	// rateWindow is the time over which the cell's rate of samples is averaged.
	rateWindow = time.Minute
	// initialRate is the initially assumed rate, per second.
	initialRate = 100.0
	// minRate is the lower bound of the rate, for pools without traffic.
	minRate = 0.01
	// lossSmoothing is the weight of one lost request in the fraction of those that hang.
	lossSmoothing = 1.0 / 16
	// baselineInterval is the time between computations of the baseline failure ratio.
	baselineInterval = 200 * time.Millisecond
)

// serviceTimes is the distribution of service times over all targets of the cell.
type serviceTimes struct {
	counts [numBins]float64
	total  float64
	// slowEvidence and lateEvidence are the evidence per bin of a response and of a request without one.
	slowEvidence, lateEvidence [numBins]float64
	// minLateAge is the age from which a request in flight is evidence, and rareAge the one that few responses of
	// healthy targets reach.
	minLateAge, rareAge Time
	newSamples          int
	slowShift           int
	ready               bool
}

// cellStats holds what the cell knows of its targets as a whole: service times, failure ratio and rate of
// samples.
type cellStats struct {
	// ordinary holds service times, and uploads the times from the end of the body to the response.
	ordinary, uploads serviceTimes

	baselineRatio  float64
	nextBaselineAt Time
	// hangFraction is the fraction of requests without a response among those that were lost recently. The others lost
	// their connection, mostly at once. Half is assumed at first.
	hangFraction float64
	sampleRate   float64
	samples      int
	lastSamples  int
	lastTick     Time
}

// observeLoss adds a lost request to hangFraction.
func (s *cellStats) observeLoss(hung bool) {
	x := 0.0
	if hung {
		x = 1
	}
	s.hangFraction += (x - s.hangFraction) * lossSmoothing
}

func asDuration(t Time) time.Duration { return time.Duration(t) }

func binOf(d time.Duration) int {
	if d <= firstBinTime {
		return 0
	}
	return min(numBins-1, int(binsPerOctave*math.Log2(float64(d)/float64(firstBinTime))))
}

func binStart(bin int) Time {
	return Time(float64(firstBinTime) * math.Exp2(float64(bin)/binsPerOctave))
}

func (s *cellStats) configure(slowFactor float64) {
	if slowFactor <= 0 {
		slowFactor = 4
	}
	shift := max(1, int(math.Round(binsPerOctave*math.Log2(slowFactor))))
	if s.sampleRate == 0 {
		s.sampleRate = initialRate
		s.baselineRatio = minBaselineRatio
		s.hangFraction = 0.5
	}
	s.ordinary.configure(shift)
	s.uploads.configure(shift)
}

func (h *serviceTimes) configure(shift int) {
	if shift != h.slowShift {
		h.slowShift = shift
		h.refresh()
	}
}

// discount reduces the weight of past responses, so that the distributions follow a change that affects all
// targets.
func (s *cellStats) discount() {
	s.ordinary.discount()
	s.uploads.discount()
}

// countSample adds one sample to the rate.
func (s *cellStats) countSample() { s.samples++ }

func (s *cellStats) tick(now Time) {
	dt := now - s.lastTick
	if dt <= 0 {
		return
	}
	s.lastTick = now
	weight := min(1, float64(dt)/float64(rateWindow))
	observed := float64(s.samples-s.lastSamples) / (float64(dt) / float64(time.Second))
	s.lastSamples = s.samples
	s.sampleRate += (observed - s.sampleRate) * weight
}

func (s *cellStats) baselineDue(now Time) bool {
	if now < s.nextBaselineAt {
		return false
	}
	s.nextBaselineAt = now + Time(baselineInterval)
	return true
}

func (h *serviceTimes) hasSamples() bool { return h.ready }

func (h *serviceTimes) slow(bin int) float64 {
	if !h.ready {
		return 0
	}
	return h.slowEvidence[bin]
}

func (h *serviceTimes) late(bin int) float64 {
	if !h.ready {
		return 0
	}
	return h.lateEvidence[bin]
}

// observe adds the service time of a response to the distribution.
func (h *serviceTimes) observe(bin int) {
	h.counts[bin]++
	h.total++
	h.newSamples++
	if h.total >= 2*halfLifeSamples {
		for i := range h.counts {
			h.counts[i] /= 2
		}
		h.total /= 2
	}
	if h.newSamples >= refreshSamples || (h.total < refreshSamples && h.newSamples >= minTimeSamples) {
		h.refresh()
	}
}

func (h *serviceTimes) discount() {
	for i := range h.counts {
		h.counts[i] *= discountFactor
	}
	h.total *= discountFactor
}

// refresh recomputes the evidence per bin: the log-likelihood ratio of a target that is slower by the slow
// factor, or stuck, to its peers.
func (h *serviceTimes) refresh() {
	h.newSamples = 0
	if h.total < minTimeSamples {
		return
	}
	h.ready = true
	healthy, median := h.healthyDistribution()
	var unhealthy [numBins]float64
	for i := range unhealthy {
		if i >= h.slowShift {
			unhealthy[i] = (1 - stuckFraction) * healthy[i-h.slowShift]
		}
		if from := median + h.slowShift; i >= from && i < from+stuckBins {
			unhealthy[i] += stuckFraction / stuckBins
		}
	}
	var healthyBeyond, unhealthyBeyond float64
	for i := numBins - 1; i >= 0; i-- {
		h.slowEvidence[i] = cappedLogRatio(unhealthy[i], healthy[i], maxSlowEvidence)
		healthyBeyond += healthy[i]
		unhealthyBeyond += unhealthy[i]
		if healthyBeyond <= rareFraction {
			h.rareAge = binStart(i)
		}
		h.lateEvidence[i] = cappedLogRatio(unhealthyBeyond, healthyBeyond, maxLateEvidence)
	}
	// Beyond the range of stuck responses the ratio would fall, but a longer wait is never weaker evidence than
	// a shorter one.
	strongest := 0.0
	for i := range h.lateEvidence {
		strongest = max(strongest, h.lateEvidence[i])
		h.lateEvidence[i] = strongest
	}
	h.minLateAge = binStart(numBins)
	for i, ratio := range h.lateEvidence {
		if ratio > minLateEvidence {
			h.minLateAge = binStart(i)
			return
		}
	}
}

// healthyDistribution returns the distribution of the peers' service times, mixed with the assumed one.
func (h *serviceTimes) healthyDistribution() (fractions [numBins]float64, median int) {
	cumulative := 0.0
	for i, n := range h.counts {
		cumulative += n
		if cumulative*2 >= h.total {
			median = i
			break
		}
	}
	decay := math.Exp(-math.Ln2 / binsPerOctave / priorScale)
	norm := (1 - decay) / (1 + decay)
	for i := range fractions {
		distance := math.Abs(float64(i - median))
		prior := norm * math.Pow(decay, distance)
		fractions[i] = (h.counts[i] + priorWeight*prior) / (h.total + priorWeight)
	}
	return fractions, median
}

func cappedLogRatio(unhealthy, healthy, limit float64) float64 {
	const minFraction = 1e-12
	return max(-limit, min(limit, math.Log(max(unhealthy, minFraction)/max(healthy, minFraction))))
}
