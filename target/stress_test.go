package target_test

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberrywood/bilberrywood/standin"
	"github.com/bilberrywood/bilberrywood/target"
)

// Guards against an answer that reaches another request while answers come late, connections are lost
// and requests are cancelled at any moment: every answer that is read whole must be the request's
// own. In the variant that trusts idle connections and nonces, answers must go astray.
func TestNoMisdeliveryUnderFaults(t *testing.T) {
	for name, faulty := range map[string]bool{"sound": false, "faulty": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := startTarget(t, &standin.Target{Slots: 64, ServiceTime: time.Millisecond, ServiceTimeSigma: 1})
			is.NoErr(s.SetFault(standin.TargetFault{LateResponses: true, LateMs: 1}))
			c := newClient(t)
			if faulty {
				target.TrustIdleConnections(c)
			}
			var whole, astray atomic.Int32
			var wg sync.WaitGroup
			for worker := range 8 {
				random := rand.New(rand.NewPCG(uint64(worker), 1))
				wg.Go(func() {
					for i := range 150 {
						ctx, cancel := context.WithTimeout(t.Context(), time.Duration(1+random.IntN(20))*time.Millisecond)
						nonce := strconv.Itoa(worker) + "-" + strconv.Itoa(i)
						_, ok, err := do(ctx, c, get(s.Address(), nonce, ""), 64)
						cancel()
						if err == nil {
							whole.Add(1)
							if !ok {
								astray.Add(1)
							}
						}
					}
				})
			}
			wg.Wait()
			is.True(whole.Load() > 100)
			is.Equal(astray.Load() > 0, faulty)
		})
	}
}
