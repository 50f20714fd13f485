package pool

import (
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

// noiseDays returns the number of simulated days per pool; BILBERRYWOOD_NOISE_DAYS sets it for long runs.
func noiseDays(t *testing.T) float64 {
	days, err := strconv.ParseFloat(os.Getenv("BILBERRYWOOD_NOISE_DAYS"), 64)
	if err != nil {
		t.Log("2 simulated hours; set BILBERRYWOOD_NOISE_DAYS for more")
		return 2.0 / 24
	}
	return days
}

// hourRate returns the requests per second in an hour of the day: peak, day or night.
func hourRate(p simPool, hour int) float64 {
	switch {
	case hour < 2:
		return p.rate(peakLoad)
	case hour < 12:
		return p.rate(dayLoad)
	}
	return 1.0 / 30
}

// Guards against ejections of healthy targets by chance, or because the load changes over a day.
func TestHealthyNoise(t *testing.T) {
	hours := int(noiseDays(t) * 24)
	seed, _ := strconv.ParseUint(os.Getenv("BILBERRYWOOD_SEED"), 10, 64)
	for _, p := range simPools {
		t.Run(string(p.name), func(t *testing.T) {
			is := is.New(t)
			t.Parallel()
			s := newSimulation(p, seed, peakLoad)
			for hour := range hours {
				// Start at the second hour, so that a short run sees both peak and day load.
				s.rate = hourRate(p, (hour+1)%24)
				s.run(time.Duration(hour+1) * time.Hour)
			}
			t.Logf("%s: requests %d avoided %d ejected %d commonCause %d refused %d", p.name,
				s.nextID, s.count(EventAvoided), s.count(EventEjected), s.count(EventCommonCause), s.refused)
			is.Equal(s.count(EventEjected), 0)
			is.Equal(s.refused, 0)
		})
	}
}
