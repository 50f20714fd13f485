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

// Guards against a response that is delivered to another request while responses arrive late,
// connections are lost and requests are canceled at any moment: every complete response must belong
// to its request. The variant that checks neither idle connections nor nonces must deliver wrong
// responses.
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
			var complete, misdelivered atomic.Int32
			var wg sync.WaitGroup
			for worker := range 8 {
				random := rand.New(rand.NewPCG(uint64(worker), 1))
				wg.Go(func() {
					for i := range 150 {
						ctx, cancel := context.WithTimeout(t.Context(), time.Duration(1+random.IntN(20))*time.Millisecond)
						nonce := strconv.Itoa(worker) + "-" + strconv.Itoa(i)
						_, ok, err := do(ctx, c, newGet(s.Address(), nonce, ""), 64)
						cancel()
						if err == nil {
							complete.Add(1)
							if !ok {
								misdelivered.Add(1)
							}
						}
					}
				})
			}
			wg.Wait()
			is.True(complete.Load() > 100)
			is.Equal(misdelivered.Load() > 0, faulty)
		})
	}
}
