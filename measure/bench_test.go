package measure

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkRun measures the cost of a simulated second at peak, for three pool sizes.
func BenchmarkRun(b *testing.B) {
	for _, policy := range []PolicyName{RoundRobin, CellPolicy} {
		for _, targets := range []int{10, 40, 160} {
			p := Profiles[0]
			p.Targets, p.Floor = targets, targets*7/10
			b.Run(fmt.Sprintf("%s/%d", policy, targets), func(b *testing.B) {
				sim := NewSimulation(p, 1, BalancerFactories[policy])
				sim.SetRate(Peak.Rate(p))
				for b.Loop() {
					sim.Run(time.Second)
				}
				b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(sim.stats.requests), "ns/request")
			})
		}
	}
}
