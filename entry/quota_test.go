package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/bilberrywood/bilberrywood/fleet"
	"github.com/bilberrywood/bilberrywood/peer"
	"github.com/bilberrywood/bilberrywood/quota"
	"github.com/bilberrywood/bilberrywood/table"
)

// A quotaSim is a partitionSim whose entries exchange credit.
type quotaSim struct {
	*partitionSim
	ctx context.Context

	mu sync.Mutex
	// stopped has the entries that answer nothing.
	stopped map[fleet.EntryID]bool
	ran     []time.Time
	refused map[int]int
}

func newQuotaSim(ctx context.Context, t *testing.T, row table.AccountRow) *quotaSim {
	t.Helper()
	s := &quotaSim{partitionSim: newPartitionSim(t, 40, true), ctx: ctx, stopped: make(map[fleet.EntryID]bool), refused: make(map[int]int)}
	pools, routes := s.tables(40, true)
	routes.Accounts, routes.AccountsByToken = []table.AccountRow{row}, true
	for _, e := range s.entries {
		e.tables.offer("test", table.Snapshot{Revision: 2, Values: map[string][]byte{
			table.RoutesKey: mustJSON(routes), table.PoolsKey: mustJSON(pools),
		}})
		is.New(t).Equal(e.tables.current().pair.Revision, table.Revision(2))
		e.quota.requestQuota = func(ctx context.Context, to fleet.Member, q peer.QuotaRequest) (peer.QuotaResult, error) {
			time.Sleep(2 * simNetworkDelay)
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.stopped[to.ID] {
				return peer.QuotaResult{}, errors.New("no answer")
			}
			return s.entries[to.ID].Quota(ctx, q), nil
		}
		go e.quota.run(ctx)
	}
	return s
}

// run sends perSecond requests of the account for a time, each to a random owner of a cell.
func (s *quotaSim) run(account table.AccountName, d time.Duration, perSecond float64) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second)))
		owner, ok := s.entries[s.order[0]].owner(fleet.CellKey{Pool: "mengen-buch", Index: s.intN(partitionDomains)})
		if !ok {
			continue
		}
		go func() {
			x := &exchange{ForwardHeader: peer.ForwardHeader{Account: account}, deadline: time.Now().Add(simDeadline)}
			_, refused := s.entries[owner.ID].quota.acquire(s.ctx, x)
			s.mu.Lock()
			defer s.mu.Unlock()
			if refused != nil {
				s.refused[refused.status]++
				return
			}
			s.ran = append(s.ran, time.Now())
		}()
	}
}

func (s *quotaSim) take() (ran []time.Time, refused map[int]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ran, refused = s.ran, s.refused
	s.ran, s.refused = nil, make(map[int]int)
	return ran, refused
}

// Guards against entries that refuse an account inside its quota, or admit more of one over it than the tolerance allows, and
// against an account that is refused for long when its owner is gone.
func TestQuotaOverAllEntries(t *testing.T) {
	startMeters()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		row := table.AccountRow{Name: "sese880", RatePerSecond: 50, Burst: 50}
		ctx, cancel := context.WithCancel(t.Context())
		s := newQuotaSim(ctx, t, row)
		defer func() {
			s.close(cancel)
			for _, e := range s.entries {
				e.quota.close()
			}
		}()
		s.start(ctx)
		time.Sleep(12 * time.Second)
		s.run(row.Name, 20*time.Second, 0.9*row.RatePerSecond)
		_, refused := s.take()
		is.Equal(len(refused), 0)

		first := s.entries[s.order[0]]
		s.run(row.Name, 20*time.Second, 7*row.RatePerSecond)
		ran, refused := s.take()
		is.True(float64(len(ran)) >= 0.9*20*row.RatePerSecond)
		is.True(float64(len(ran)) <= 4*first.quota.ledger.Tolerance.Bound(quota.Limit{RatePerSecond: 50, Burst: 50}))
		is.True(refused[http.StatusTooManyRequests] > 0)
		is.Equal(refused[http.StatusServiceUnavailable], 0)
		time.Sleep(5 * time.Second)
		s.take()

		owner, ok := first.owner(first.tables.current().accountKey(row.Name))
		is.True(ok)
		s.mu.Lock()
		s.stopped[owner.ID] = true
		s.mu.Unlock()
		s.entries[owner.ID].setState(fleet.StateLeaving)
		time.Sleep(time.Second)
		s.run(row.Name, 10*time.Second, 0.9*row.RatePerSecond)
		_, refused = s.take()
		is.Equal(len(refused), 0)
	})
}
