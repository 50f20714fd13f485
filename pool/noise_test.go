package pool

import (
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

// noiseDays is the number of simulated days per pool; BILBERRYWOOD_NOISE_DAYS sets it for long runs.
func noiseDays(t *testing.T) float64 {
	days, err := strconv.ParseFloat(os.Getenv("BILBERRYWOOD_NOISE_DAYS"), 64)
	if err != nil {
		t.Log("2 simulated hours; set BILBERRYWOOD_NOISE_DAYS for more")
		return 2.0 / 24
	}
	return days
}

// Guards against ejections of healthy targets by chance, at day rate, at peak and at night.
func TestHealthyNoise(t *testing.T) {
	days := noiseDays(t)
	seed, _ := strconv.ParseUint(os.Getenv("BILBERRYWOOD_SEED"), 10, 64)
	for _, p := range simPools {
		for _, profile := range []struct {
			name  string
			share float64
			part  float64
		}{{"day", day, 1}, {"peak", peak, 0.1}, {"night", 0, 1}} {
			t.Run(profile.name+"/"+string(p.name), func(t *testing.T) {
				is := is.New(t)
				t.Parallel()
				s := newSimulation(p, seed, profile.share)
				if profile.share == 0 {
					s.rate = 1.0 / 30
				}
				s.run(time.Duration(days * profile.part * 24 * float64(time.Hour)))
				t.Logf("%s %s: requests %d avoided %d ejected %d commonCause %d refused %d", profile.name, p.name,
					s.nextID, s.count(EventAvoided), s.count(EventEjected), s.count(EventCommonCause), s.refused)
				is.Equal(s.count(EventEjected), 0)
			})
		}
	}
}
