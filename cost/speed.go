package cost

import (
	"math"
	"slices"
)

const (
	// Weights of one sample in the slowness of a target: in the long run, and to notice a change.
	slowSmoothing = 1.0 / 48
	fastSmoothing = 1.0 / 6
	// changeSigmas is by how many standard errors of the fast mean the two must differ for a change.
	changeSigmas = 4.0
	// maxSpeedDeviation bounds the weight of one service time in a slowness, in logarithmic time.
	maxSpeedDeviation = 1.0
	// initialVariance is that of the deviations before any was seen.
	initialVariance = 0.5
	// confidenceSamples is the number of samples at which the slowness of a target is half known.
	confidenceSamples = 4.0
	// slopeSamples is the weight of the slope of all targets against a target's own, in samples.
	slopeSamples = 64.0
	// slopeMemory is the number of samples from which older ones lose weight in slopes.
	slopeMemory = 1024.0
	// maxSlope bounds the logarithmic slowdown of a full target.
	maxSlope = 2.0
	// minSlopeVariance is the variance of the crowding at which the samples of a slope count in full.
	minSlopeVariance = 0.01
)

// Speed is what is known of the speed of one target. The zero value is that of a median target.
type Speed struct {
	// slow and fast are means of the logarithmic slowness over many and over few samples.
	slow, fast float64
	samples    float64
	// effective is the logarithmic slowness that decisions use.
	effective float64
	load      slope
	// slope is the one that decisions use.
	slope float64
}

// Slowness returns the factor by which requests take longer at the target than at the median target.
func (s *Speed) Slowness() float64 { return math.Exp(s.effective) }

// LogSlowness returns the logarithm of Slowness.
func (s *Speed) LogSlowness() float64 { return s.effective }

// Confidence returns how far the slowness is known, from 0 to 1.
func (s *Speed) Confidence() float64 { return (s.samples + 1) / (s.samples + 1 + confidenceSamples) }

// slope holds decaying sums for the regression of deviations on crowding.
type slope struct {
	samples, crowding, deviation, squares, products float64
}

func (s *slope) add(crowding, deviation float64) {
	if s.samples >= slopeMemory {
		s.samples, s.crowding, s.deviation = s.samples/2, s.crowding/2, s.deviation/2
		s.squares, s.products = s.squares/2, s.products/2
	}
	s.samples++
	s.crowding += crowding
	s.deviation += deviation
	s.squares += crowding * crowding
	s.products += crowding * deviation
}

// value returns the slope with a prior of the given weight in samples.
func (s *slope) value(prior, weight float64) float64 {
	if s.samples == 0 {
		return prior
	}
	variance := s.squares - s.crowding*s.crowding/s.samples
	covariance := s.products - s.crowding*s.deviation/s.samples
	weight *= minSlopeVariance
	return max(0, min(maxSlope, (covariance+prior*weight)/(variance+weight)))
}

// Speeds is what the targets of a cell have in common.
type Speeds struct {
	// variance is that of the deviations of one target.
	variance float64
	load     slope
	// slope is that of all targets together.
	slope float64
	// least is the logarithmic slowness of the fastest target.
	least  float64
	levels []float64
}

// Observe adds a service time at a target. deviation is the logarithm of the service time by the expected work, and
// crowding how nearly full the target was in that time, from 0 to 1.
func (p *Speeds) Observe(s *Speed, deviation, crowding float64) {
	deviation -= s.slope * crowding
	deviationFromSlow := boundedSpeed(deviation - s.slow)
	s.samples = min(1/slowSmoothing, s.samples+1)
	s.slow += deviationFromSlow / s.samples
	s.fast += boundedSpeed(deviation-s.fast) * max(fastSmoothing, 1/s.samples)
	if p.variance == 0 {
		p.variance = initialVariance
	}
	p.variance += (deviationFromSlow*deviationFromSlow - p.variance) * slowSmoothing
	if change := s.fast - s.slow; change*change > changeSigmas*changeSigmas*p.variance*fastSmoothing/2 {
		s.slow, s.samples = s.fast, 1/fastSmoothing
	}
	total := deviationFromSlow + s.slope*crowding
	s.load.add(crowding, total)
	p.load.add(crowding, total)
}

func boundedSpeed(deviation float64) float64 {
	return max(-maxSpeedDeviation, min(maxSpeedDeviation, deviation))
}

// Slope returns by how much the logarithmic service time at the target grows with the crowding, from 0 to 1.
func (s *Speed) Slope() float64 { return s.slope }

// MeanSlope returns the slope of all targets together.
func (p *Speeds) MeanSlope() float64 { return p.slope }

// LeastLogSlowness returns the logarithmic slowness of the fastest target; at most 0.
func (p *Speeds) LeastLogSlowness() float64 { return p.least }

// Settle makes slownesses relative to the median target, and discounts differences that chance would explain. It is to be
// called for all targets now and then.
func (p *Speeds) Settle(targets func(yield func(*Speed) bool)) {
	p.levels = p.levels[:0]
	p.slope = p.load.value(0, slopeSamples)
	for s := range targets {
		s.slope = s.load.value(p.slope, slopeSamples)
		if s.samples >= confidenceSamples {
			p.levels = append(p.levels, s.slow)
		}
	}
	if len(p.levels) == 0 {
		return
	}
	slices.Sort(p.levels)
	median := p.levels[len(p.levels)/2]
	spread := 0.0
	for _, level := range p.levels {
		spread += (level - median) * (level - median)
	}
	spread /= float64(len(p.levels))
	p.least = 0
	for s := range targets {
		if s.samples == 0 {
			continue
		}
		s.slow -= median
		s.fast -= median
		// Chance alone gives the levels this variance.
		noise := p.variance / s.samples
		s.effective = s.slow * max(0, spread-noise) / max(spread, 1e-9)
		p.least = min(p.least, s.effective)
	}
}
