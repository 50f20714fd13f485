package cost

import "math"

// Layout of the distribution of deviations: bins of equal width in logarithmic time.
const (
	numBins       = 64
	binsPerOctave = 4
	binWidth      = math.Ln2 / binsPerOctave
	// refreshSamples is the number of samples after which what is derived from the counts is computed anew.
	refreshSamples = 32
	// maxSamples is the number of samples from which older ones lose weight.
	maxSamples = 2048
	// priorWeight is the weight, in samples, of the distribution that is assumed before there are any. Its tail falls
	// with the square of time, so that the work that is left grows with age where nothing that old was seen yet.
	priorWeight = 8
	priorScale  = 0.5
)

// binFactors are the centers of the bins as factors of the expected median.
var binFactors = func() (factors [numBins]float64) {
	for i := range factors {
		factors[i] = math.Exp((float64(i) - numBins/2) * binWidth)
	}
	return factors
}()

// upperHalf is the mean of the upper half of a bin as a factor of its center.
var upperHalf = math.Exp(binWidth / 4)

// priorCounts is the assumed distribution.
var priorCounts = func() (counts [numBins]float64) {
	total := 0.0
	for i := range counts {
		counts[i] = math.Exp(-math.Abs(float64(i)-numBins/2) * binWidth / priorScale)
		total += counts[i]
	}
	for i := range counts {
		counts[i] *= priorWeight / total
	}
	return counts
}()

// distribution is that of the deviations of logarithmic service times from the expected ones.
type distribution struct {
	counts     [numBins]float32
	total      float64
	newSamples int
	// mean is that of the service time, and remaining[i] that of the part that is left at an age of binFactors[i], both
	// in units of the expected median.
	mean      float64
	remaining [numBins]float32
}

func newDistribution() *distribution {
	d := &distribution{}
	d.refresh()
	return d
}

func binOf(deviation float64) int {
	return int(min(numBins-1, max(0, math.Round(deviation/binWidth)+numBins/2)))
}

func (d *distribution) observe(deviation float64) {
	d.counts[binOf(deviation)]++
	d.total++
	d.newSamples++
	if d.total >= maxSamples {
		d.total = 0
		for i := range d.counts {
			d.counts[i] /= 2
			d.total += float64(d.counts[i])
		}
	}
	if d.newSamples >= refreshSamples || d.total <= refreshSamples {
		d.refresh()
	}
}

func (d *distribution) refresh() {
	d.newSamples = 0
	beyond, workBeyond := 0.0, 0.0
	for i := numBins - 1; i >= 0; i-- {
		count := float64(d.counts[i]) + priorCounts[i]
		// Half of the bin at its center is taken to be beyond that.
		upper := count / 2
		d.remaining[i] = float32((workBeyond+upper*binFactors[i]*upperHalf)/(beyond+upper) - binFactors[i])
		beyond += count
		workBeyond += count * binFactors[i]
	}
	d.mean = workBeyond / beyond
}
