package target

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/bilberrywood/bilberrywood/pool"
)

// Guards against a rate limit that is misread, and against an unreadable one that counts as the end of the limit.
func TestRateLimitOfHeader(t *testing.T) {
	limit := func(perSecond float64) pool.RateLimit {
		return pool.RateLimit{Known: true, Limited: true, PerSecond: perSecond}
	}
	for _, c := range []struct {
		value string
		want  pool.RateLimit
	}{
		{"", pool.RateLimit{Known: true}},
		{"1.4", limit(1.4)},
		{" 12 ", limit(12)},
		{"0", limit(0)},
		{"-1", pool.RateLimit{}},
		{"NaN", pool.RateLimit{}},
		{"Inf", pool.RateLimit{}},
		{"1,5", pool.RateLimit{}},
		{"many", pool.RateLimit{}},
	} {
		t.Run(c.value, func(t *testing.T) {
			is := is.New(t)
			h := http.Header{}
			if c.value != "" {
				h.Set(HeaderRateLimit, c.value)
			}
			r := newResponse(&DefaultProtocol, &http.Response{StatusCode: http.StatusOK, Header: h})
			is.Equal(r.RateLimit, c.want)
			is.Equal(r.RateLimitErr == nil, c.want.Known)
			is.Equal(r.Outcome().RateLimit, c.want)
		})
	}
}
