package pool

import (
	"math"
	"time"
)

// Layout of the histogram of service times: bins of equal width in log time.
const (
	bins = 96
	// binsPerOctave sets the width: a quarter of a doubling.
	binsPerOctave = 4
	// firstBinTime is the lower edge of the first bin; the last bin starts at about 700 s.
	firstBinTime = 50 * time.Microsecond
)

// Settings of the comparison of service times.
const (
	// minTimeSamples is how many answers must be known before service times are evidence.
	minTimeSamples = 8
	// halfLife is the number of answers after which older ones count half.
	halfLife = 4096
	// forgetShare is what older answers count after a change that all targets share.
	forgetShare = 0.1
	// refreshEvery is the number of answers after which the evidence per bin is computed anew.
	refreshEvery = 128
	// priorWeight is how many answers the assumed heavy-tailed shape counts for, so that service times
	// not seen yet are rare but not impossible.
	priorWeight = 12
	// priorScale is the scale of that shape in log time: a tail that falls with the square of time.
	priorScale = 0.5
	// stuckShare is the part of a bad target's answers that take far longer than the slow factor.
	stuckShare = 0.25
	// stuckBins is how far beyond the slow factor these reach.
	stuckBins = 40
	// maxSlowEvidence and maxLateEvidence cap what one answer, or one request without an answer, adds, so
	// that single outliers don't eject a target.
	maxSlowEvidence = 5.0
	maxLateEvidence = 12.0
	// leastLateEvidence is the evidence below which an age is not looked up.
	leastLateEvidence = 0.1
	// overdue is the evidence from which a request without an answer counts as failed.
	overdue = 2.0
	// rateMemory is the time over which the cell's rate of evidence is averaged.
	rateMemory = time.Minute
	// firstRate is the rate, per second, that is assumed at first.
	firstRate = 100.0
	// minRate bounds the rate for pools without traffic.
	minRate = 0.01
	// ratioEvery is the time between computations of the peers' failure ratio.
	ratioEvery = 200 * time.Millisecond
)

// serviceTimes is the distribution of service times of the cell's targets as a whole.
type serviceTimes struct {
	counts [bins]float64
	total  float64
	// slowTable and lateTable are the evidence per bin of an answer and of a request without one.
	slowTable, lateTable [bins]float64
	// lateAfter is the age from which a request in flight is evidence.
	lateAfter Time
	fresh     int
	shift     int
	ready     bool
}

// history is what the cell knows of its targets as a whole: service times, failure ratio and rate of evidence.
type history struct {
	// ordinary holds service times, and uploads the times from the end of the body to the answer.
	ordinary, uploads serviceTimes

	baseRatio   float64
	ratioAt     Time
	rate        float64
	samples     int
	lastSamples int
	lastTick    Time
}

func timeOf(t Time) time.Duration { return time.Duration(t) }

func binOf(d time.Duration) int {
	if d <= firstBinTime {
		return 0
	}
	return min(bins-1, int(binsPerOctave*math.Log2(float64(d)/float64(firstBinTime))))
}

func binTime(bin int) Time {
	return Time(float64(firstBinTime) * math.Exp2(float64(bin)/binsPerOctave))
}

func (h *history) configure(slowFactor float64) {
	if slowFactor <= 0 {
		slowFactor = 4
	}
	shift := max(1, int(math.Round(binsPerOctave*math.Log2(slowFactor))))
	if h.rate == 0 {
		h.rate = firstRate
		h.baseRatio = baseFailureRatio
	}
	h.ordinary.configure(shift)
	h.uploads.configure(shift)
}

func (h *serviceTimes) configure(shift int) {
	if shift != h.shift {
		h.shift = shift
		h.refresh()
	}
}

// forget lets the distributions follow a change that all targets share.
func (h *history) forget() {
	h.ordinary.forget()
	h.uploads.forget()
}

// count adds one piece of evidence to the rate.
func (h *history) count() { h.samples++ }

func (h *history) tick(now Time) {
	dt := now - h.lastTick
	if dt <= 0 {
		return
	}
	h.lastTick = now
	share := min(1, float64(dt)/float64(rateMemory))
	observed := float64(h.samples-h.lastSamples) / (float64(dt) / float64(time.Second))
	h.lastSamples = h.samples
	h.rate += (observed - h.rate) * share
}

func (h *history) ratioDue(now Time) bool {
	if now < h.ratioAt {
		return false
	}
	h.ratioAt = now + Time(ratioEvery)
	return true
}

func (h *serviceTimes) known() bool { return h.ready }

func (h *serviceTimes) slow(bin int) float64 {
	if !h.ready {
		return 0
	}
	return h.slowTable[bin]
}

func (h *serviceTimes) late(bin int) float64 {
	if !h.ready {
		return 0
	}
	return h.lateTable[bin]
}

// observe adds the service time of an answer to the distribution.
func (h *serviceTimes) observe(bin int) {
	h.counts[bin]++
	h.total++
	h.fresh++
	if h.total >= 2*halfLife {
		for i := range h.counts {
			h.counts[i] /= 2
		}
		h.total /= 2
	}
	if h.fresh >= refreshEvery || (h.total < refreshEvery && h.fresh >= minTimeSamples) {
		h.refresh()
	}
}

func (h *serviceTimes) forget() {
	for i := range h.counts {
		h.counts[i] *= forgetShare
	}
	h.total *= forgetShare
}

// refresh computes the evidence per bin: the log of how much more likely the bin is for a target that
// is slower by the slow factor, or stuck, than for its peers.
func (h *serviceTimes) refresh() {
	h.fresh = 0
	if h.total < minTimeSamples {
		return
	}
	h.ready = true
	healthy, median := h.healthy()
	var bad [bins]float64
	for i := range bad {
		if i >= h.shift {
			bad[i] = (1 - stuckShare) * healthy[i-h.shift]
		}
		if from := median + h.shift; i >= from && i < from+stuckBins {
			bad[i] += stuckShare / stuckBins
		}
	}
	var healthyBeyond, badBeyond float64
	for i := bins - 1; i >= 0; i-- {
		h.slowTable[i] = capped(bad[i], healthy[i], maxSlowEvidence)
		healthyBeyond += healthy[i]
		badBeyond += bad[i]
		h.lateTable[i] = capped(badBeyond, healthyBeyond, maxLateEvidence)
	}
	// Beyond the range of the stuck answers the ratio would fall, but a longer wait is never weaker
	// evidence than a shorter one.
	best := 0.0
	for i := range h.lateTable {
		best = max(best, h.lateTable[i])
		h.lateTable[i] = best
	}
	h.lateAfter = binTime(bins)
	for i, ratio := range h.lateTable {
		if ratio > leastLateEvidence {
			h.lateAfter = binTime(i)
			return
		}
	}
}

// healthy returns the distribution of the peers' service times with the assumed shape mixed in.
func (h *serviceTimes) healthy() (shares [bins]float64, median int) {
	seen := 0.0
	for i, n := range h.counts {
		seen += n
		if seen*2 >= h.total {
			median = i
			break
		}
	}
	decay := math.Exp(-math.Ln2 / binsPerOctave / priorScale)
	norm := (1 - decay) / (1 + decay)
	for i := range shares {
		distance := math.Abs(float64(i - median))
		prior := norm * math.Pow(decay, distance)
		shares[i] = (h.counts[i] + priorWeight*prior) / (h.total + priorWeight)
	}
	return shares, median
}

func capped(bad, healthy, limit float64) float64 {
	const least = 1e-12
	return max(-limit, min(limit, math.Log(max(bad, least)/max(healthy, least))))
}
