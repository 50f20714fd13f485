package target

import (
	"math"
	"net/http"
	"net/textproto"
	"strconv"

	"github.com/bilberrywood/bilberrywood/pool"
)

// rateLimit returns the rate limit that a response header names. A value that is no decimal number of requests per
// second is an error, and the limit is then not known.
func (p *Protocol) rateLimit(h http.Header) (pool.RateLimit, error) {
	if p.RateLimitHeader == "" {
		return pool.RateLimit{}, nil
	}
	value := textproto.TrimString(h.Get(p.RateLimitHeader))
	if value == "" {
		return pool.RateLimit{Known: true}, nil
	}
	perSecond, err := strconv.ParseFloat(value, 64)
	if err != nil || perSecond < 0 || math.IsNaN(perSecond) || math.IsInf(perSecond, 0) {
		return pool.RateLimit{}, Error.New("%s: %q is no number of requests per second", p.RateLimitHeader, value)
	}
	return pool.RateLimit{Known: true, Limited: true, PerSecond: perSecond}, nil
}
