package cost

import (
	"math"
	"time"
)

const (
	// maxNodes bounds the memory of an estimator to about 300 KB, whatever the number of routes, shapes and accounts.
	maxNodes = 4096
	// maxDistributions bounds how many routes have a distribution of their own, to about 40 KB.
	maxDistributions = 64
	// minSamples is how many service times must have been seen before estimates count.
	minSamples = 16
	// deviationSamples is how many of them a route needs before its deviations count.
	deviationSamples = 6
	// ownDistributionSamples is how many of them a route needs for a distribution of its own.
	ownDistributionSamples = 48
	// maxNodeSamples is the number of samples from which older ones lose weight.
	maxNodeSamples = 64
	// maxDeviation bounds the weight of one service time in the means, in logarithmic time. A factor of 7 is common.
	maxDeviation = 2.0
	// The weight of a level's own mean is n/(n+k), where k is the variance within its nodes by that between them.
	initialShrinkage = 4.0
	minShrinkage     = 0.5
	maxShrinkage     = 64.0
	// varianceSmoothing is the weight of one sample in the variances of a level, and varianceSamples the number of
	// samples of a node from which it counts there.
	varianceSmoothing = 1.0 / 256
	varianceSamples   = 4
)

// Estimator learns the work of requests. The zero value knows nothing and is ready for use. It is not safe for
// concurrent use.
type Estimator struct {
	root node
	// observed counts the service times, up to minSamples.
	observed      int
	index         map[uint64]int
	nodes         []node
	hand          int
	distributions int
	// all is the distribution over all routes; nil before the first sample.
	all    *distribution
	levels [numLevels]level
}

// node is the mean of the logarithmic service times, in seconds, of requests that share some features.
type node struct {
	key     uint64
	mean    float64
	samples float64
	// used protects the node once from being replaced.
	used bool
	// deviations is set for routes with many requests.
	deviations *distribution
}

// level compares the errors of the nodes of a level with those of their parents.
type level struct {
	parentError, ownError float64
	known                 bool
}

func (l *level) shrinkage() float64 {
	if !l.known {
		return initialShrinkage
	}
	explained := l.parentError - l.ownError
	if explained*maxShrinkage <= l.ownError {
		return maxShrinkage
	}
	return max(minShrinkage, l.ownError/explained)
}

func (l *level) observe(parentError, ownError float64) {
	parentError, ownError = parentError*parentError, ownError*ownError
	if !l.known {
		l.known = true
		// Before the level has shown anything, it is taken to explain as much as the initial shrinkage assumes.
		l.ownError, l.parentError = 1, 1+1/initialShrinkage
	}
	l.parentError += (parentError - l.parentError) * varianceSmoothing
	l.ownError += (ownError - l.ownError) * varianceSmoothing
}

// Estimate is the expected work of one request. The zero value knows nothing.
type Estimate struct {
	// median is the expected median in seconds, at a target of median speed; 0 if nothing is known.
	median     float64
	deviations *distribution
}

// LogMedian returns the logarithm of the expected median in seconds, of a known estimate.
func (e Estimate) LogMedian() float64 { return math.Log(e.median) }

// Known reports whether the estimate rests on any service times.
func (e Estimate) Known() bool { return e.median > 0 }

// Seconds returns the expected work.
func (e Estimate) Seconds() float64 {
	if !e.Known() {
		return 0
	}
	return e.median * e.deviations.mean
}

// Duration returns the expected work as a time.
func (e Estimate) Duration() time.Duration { return time.Duration(e.Seconds() * float64(time.Second)) }

// Remaining returns the expected part of the work that is left, in seconds, after the given seconds of work.
func (e Estimate) Remaining(age float64) float64 {
	if !e.Known() {
		return 0
	}
	x := age / e.median
	if x <= binFactors[0] {
		return e.Seconds()
	}
	position := math.Log(x)/binWidth + numBins/2
	if position >= numBins-1 {
		// Older than anything that the distribution tells apart: as much is expected to be left as has passed.
		return age
	}
	i := int(position)
	low, high := float64(e.deviations.remaining[i]), float64(e.deviations.remaining[i+1])
	return e.median * (low + (high-low)*(position-float64(i)))
}

// Known reports whether enough service times have been seen for estimates.
func (e *Estimator) Known() bool { return e.observed >= minSamples }

// Expected returns the expected work of a request as a time; 0 if nothing is known.
func (e *Estimator) Expected(f Features) time.Duration { return e.Estimate(f).Duration() }

// Estimate returns what is known of the work of a request.
func (e *Estimator) Estimate(f Features) Estimate {
	if !e.Known() {
		return Estimate{}
	}
	mean, deviations := e.root.mean, e.all
	for l, key := range f.keys() {
		i, found := e.index[key]
		if !found {
			// What is below an unknown node may be known: the account, where the size is new.
			continue
		}
		n := &e.nodes[i]
		n.used = true
		mean += (n.mean - mean) * n.weight(&e.levels[l])
		if n.deviations != nil {
			deviations = n.deviations
		}
	}
	return Estimate{median: math.Exp(mean), deviations: deviations}
}

func (n *node) weight(l *level) float64 { return n.samples / (n.samples + l.shrinkage()) }

// Observe adds the service time of a request, divided by the slowness of its target. weight is how far that slowness is
// known, from 0 to 1.
func (e *Estimator) Observe(f Features, service time.Duration, weight float64) {
	if service <= 0 || weight <= 0 {
		return
	}
	sample := math.Log(service.Seconds())
	if e.all == nil {
		e.all = newDistribution()
		e.index = make(map[uint64]int)
		e.root.mean = sample
	}
	e.observed = min(minSamples, e.observed+1)
	mean, deviations := e.root.mean, (*distribution)(nil)
	e.root.add(sample, weight)
	for l, key := range f.keys() {
		n := e.node(key, mean)
		own := mean + (n.mean-mean)*n.weight(&e.levels[l])
		if n.samples >= varianceSamples {
			e.levels[l].observe(bounded(sample-mean), bounded(sample-n.mean))
		}
		n.add(sample, weight)
		if l == levelRoute && n.samples >= deviationSamples {
			e.ownDistribution(n)
			deviations = e.all
			if n.deviations != nil {
				deviations = n.deviations
			}
		}
		mean = own
	}
	if deviations == nil {
		// How far an unknown route is from the others says nothing about how its own requests differ.
		return
	}
	e.all.observe(sample - mean)
	if deviations != e.all {
		deviations.observe(sample - mean)
	}
}

func bounded(deviation float64) float64 { return max(-maxDeviation, min(maxDeviation, deviation)) }

func (n *node) add(sample, weight float64) {
	n.used = true
	if n.samples == 0 {
		n.mean, n.samples = sample, weight
		return
	}
	n.samples = min(maxNodeSamples, n.samples+weight)
	n.mean += bounded(sample-n.mean) * weight / max(n.samples, 1)
}

func (e *Estimator) ownDistribution(n *node) {
	if n.deviations == nil && n.samples >= ownDistributionSamples && e.distributions < maxDistributions {
		n.deviations = newDistribution()
		e.distributions++
	}
}

// node returns the node of the key. A new one takes the place of one that was not used lately if there are too many.
func (e *Estimator) node(key uint64, mean float64) *node {
	if i, found := e.index[key]; found {
		return &e.nodes[i]
	}
	if len(e.nodes) < maxNodes {
		e.index[key] = len(e.nodes)
		e.nodes = append(e.nodes, node{key: key, mean: mean})
		return &e.nodes[len(e.nodes)-1]
	}
	for e.nodes[e.hand].used {
		e.nodes[e.hand].used = false
		e.hand = (e.hand + 1) % maxNodes
	}
	n := &e.nodes[e.hand]
	if n.deviations != nil {
		e.distributions--
	}
	delete(e.index, n.key)
	e.index[key] = e.hand
	*n = node{key: key, mean: mean}
	e.hand = (e.hand + 1) % maxNodes
	return n
}
