package table

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

func newSmallPair(t *testing.T) *Pair {
	t.Helper()
	pair, err := NewPair(1, values(smallRoutes, smallPools))
	if err != nil {
		t.Fatal(err)
	}
	return pair
}

// A request must be routed to the route with the longest prefix, by path segments. No path, method or
// account may bypass the rules of that route.
func TestRouter(t *testing.T) {
	tests := []struct {
		name, method, path string
		account            AccountName
		token              string
		route              RouteName
		refused            RefusalReason
	}{
		{name: "prefix", method: "GET", path: "/a", route: "lookup"},
		{name: "below", method: "PUT", path: "/a/b/c/d/e/", route: "lookup"},
		{name: "longest", method: "POST", path: "/a/orders/7", account: "clerk", token: "test", route: "order"},
		{name: "segment, not substring", method: "GET", path: "/ab", refused: RefusedNoRoute},
		{name: "root", method: "GET", path: "/", refused: RefusedNoRoute},
		{name: "asterisk", method: "OPTIONS", path: "*", refused: RefusedPath},
		{name: "empty", method: "GET", path: "", refused: RefusedPath},
		{name: "dot segments", method: "POST", path: "/a/x/../orders", refused: RefusedPath},
		{name: "empty segment", method: "POST", path: "/a//orders", refused: RefusedPath},
		{name: "double slash at the end", method: "POST", path: "/a//", refused: RefusedPath},
		{name: "many segments", method: "GET", path: "/a" + strings.Repeat("/x", 9000), route: "lookup"},
		{name: "method", method: "GET", path: "/a/orders", refused: RefusedMethod},
		{name: "no account", method: "POST", path: "/a/orders", refused: RefusedNoAccount},
		{name: "wrong token", method: "POST", path: "/a/orders", account: "clerk", token: "tes", refused: RefusedToken},
		{name: "unknown account", method: "POST", path: "/a/orders", account: "nobody", token: "test", refused: RefusedToken},
		{name: "other account", method: "POST", path: "/a/orders", account: "guest", token: "test", refused: RefusedAccount},
		{name: "token on an open route", method: "GET", path: "/a", account: "guest", token: "no", refused: RefusedToken},
		{name: "account on an open route", method: "GET", path: "/a", account: "guest", token: "test", route: "lookup"},
	}
	router := NewRouter(newSmallPair(t))
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			m, err := router.Route(tt.method, "", tt.path, tt.account, tt.token)
			if tt.refused != "" {
				var refusal *Refusal
				is.True(errors.As(err, &refusal))
				is.Equal(refusal.Reason, tt.refused)
				return
			}
			is.NoErr(err)
			is.Equal(m.Route.Name, tt.route)
			is.Equal(m.Route.ChoosePool(0.5), m.Route.Pool)
			is.Equal(m.Account, tt.account)
			is.Equal(m.Idempotent, m.Route.Idempotent || tt.method == "GET")
		})
	}
}

// Every change between two pairs must be listed, because operators and the monitor use the list to
// decide whether a change was intended. Digests of tokens must be shortened.
func TestDiff(t *testing.T) {
	is := is.New(t)
	from := newSmallPair(t)
	pools := strings.NewReplacer(`"floor": 1`, `"floor": 2`, `"retryPercent": 0`, `"retryPercent": 5`,
		`{"id": "t1", "address": "127.0.0.1:1001"`, `{"id": "t3", "address": "127.0.0.1:1003"`, `"leaving": true`, `"leaving": false`,
		`"fleetGroups": 1`, `"fleetGroups": 2`).Replace(smallPools)
	routes := strings.NewReplacer(`"guest", "tokenSha256": "9f86d081`, `"guest", "tokenSha256": "00000000`, `["POST"]`, `["PUT"]`).Replace(smallRoutes)
	to, err := NewPair(2, values(routes, pools))
	is.NoErr(err)
	var lines []string
	for _, c := range Diff(from, to) {
		lines = append(lines, c.String())
	}
	is.Equal(lines, []string{
		"account guest: tokenSha256 changed from 9f86d081... to 00000000...",
		"fleet : fleetGroups changed from 1 to 2",
		"pool p: floor changed from 1 to 2",
		"pool p: retryPercent changed from 0 to 5",
		"route order: methods changed from [POST] to [PUT]",
		"target p/t1 removed",
		"target p/t2: leaving changed from true to false",
		"target p/t3 added",
	})
	is.Equal(len(Diff(from, from)), 0)
	is.Equal(len(Diff(nil, from)), 8) // 2 routes, 2 accounts, 2 pools and 2 targets.
	is.Equal(len(Diff(from, nil)), 8)
}

func newPool(targets, cellSize, floor int) *Pool {
	p := &Pool{Name: "p", Slots: 2, CellSize: cellSize, Floor: floor}
	for i := range targets {
		p.Targets = append(p.Targets, Target{ID: TargetID(fmt.Sprintf("t%d", i))})
	}
	p.SetDefaults()
	return p
}

// The floors of the cells must add up to at least the floor of the pool. Otherwise several owners
// together could eject more targets than the pool allows. Each target must be in one cell only, or else
// two owners would count its slots.
func TestCells(t *testing.T) {
	tests := []struct{ targets, size, floor, cells int }{
		{0, 64, 0, 1}, {10, 64, 7, 1}, {64, 64, 64, 1}, {65, 64, 46, 2}, {640, 64, 448, 10}, {5000, 64, 3501, 79},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.targets), func(t *testing.T) {
			is := is.New(t)
			p := newPool(tt.targets, tt.size, tt.floor)
			cells := Cells(p)
			is.Equal(len(cells), tt.cells)
			seen, floor := make(map[TargetID]bool), 0
			for _, c := range cells {
				is.True(c.Floor <= len(c.Targets))
				is.True(len(c.Targets) < 2*tt.size) // No cell is much larger than the mean.
				floor += c.Floor
				for _, target := range c.Targets {
					is.True(!seen[target.ID])
					is.Equal(CellIndex(p, target), c.Index)
					seen[target.ID] = true
				}
			}
			is.Equal(len(seen), tt.targets)
			is.True(floor >= tt.floor && floor < tt.floor+max(1, tt.cells))
		})
	}
}

// When a pool grows, most targets must stay in their cells, because each move hands a target over to
// another owner. Pools must be spread evenly over the groups.
func TestRendezvous(t *testing.T) {
	is := is.New(t)
	before, after := newPool(640, 64, 0), newPool(641, 64, 0)
	moved := 0
	for _, target := range before.Targets {
		if CellIndex(before, target) != CellIndex(after, target) {
			moved++
		}
	}
	is.True(moved > 0 && moved < 2*640/11) // About 1 in 11 move to the new cell.
	counts := make([]int, 96)
	for i := range 9100 {
		counts[PoolGroup(PoolName(fmt.Sprintf("pool-%d", i)), 96)]++
	}
	for _, n := range counts {
		is.True(n > 50 && n < 150) // The mean is 95.
	}
	is.Equal(PoolGroup("p", 1), 0)
	is.Equal(EntryGroup("kb-01", 1), 0)
}

// An acceptor must never go back to a lower revision. It must keep the active pair if a higher revision
// is invalid, and report the reasons and the times of the rejection.
func TestAcceptor(t *testing.T) {
	is := is.New(t)
	var a Acceptor
	start := time.Unix(1000, 0)
	newSnapshot := func(revision Revision, floor string) Snapshot {
		return Snapshot{revision, values(smallRoutes, strings.Replace(smallPools, `"floor": 1`, `"floor": `+floor, 1))}
	}
	steps := []struct {
		snapshot Snapshot
		verdict  Verdict
		revision Revision
	}{
		{newSnapshot(5, "9"), Rejected, 0},
		{newSnapshot(4, "1"), Accepted, 4},
		{newSnapshot(4, "1"), Ignored, 4},
		{newSnapshot(4, "2"), Conflict, 4},
		{newSnapshot(3, "2"), Ignored, 4},
		{newSnapshot(7, "9"), Rejected, 4},
		{newSnapshot(7, "9"), Rejected, 4},
		{newSnapshot(6, "2"), Accepted, 6},
		{newSnapshot(8, "0"), Accepted, 8},
	}
	for i, s := range steps {
		result := a.Offer(start.Add(time.Duration(i)*time.Second), "test", s.snapshot)
		is.Equal(result.Verdict, s.verdict)
		pair, _ := a.Active()
		is.Equal(result.Active, pair)
		if s.revision == 0 {
			is.True(pair == nil)
			continue
		}
		is.Equal(pair.Revision, s.revision)
	}
	_, since := a.Active()
	is.Equal(since, start.Add(8*time.Second))
	rejections := a.Rejections()
	is.Equal(len(rejections), 3)
	is.Equal(rejections[2].Revision, Revision(7))
	is.Equal(rejections[2].Count, 2)
	is.Equal(rejections[2].Problems[0].Line, 2)
	is.Equal(rejections[2].LastSeen.Sub(rejections[2].FirstSeen), time.Second)
}

// State derived from the active pair must never go back to a lower revision either, when several sources
// offer pairs at the same time.
func TestOnOffer(t *testing.T) {
	is := is.New(t)
	var highest Revision // Written only by OnOffer, which runs for one offer at a time.
	a := Acceptor{OnOffer: func(_ time.Time, r OfferResult) {
		if r.Verdict != Accepted {
			return
		}
		is.True(r.Revision > highest)
		highest = r.Revision
	}}
	var group sync.WaitGroup
	for source := range 8 {
		group.Go(func() {
			for i := range 20 {
				revision := Revision(1 + (i*7+source*3)%50)
				a.Offer(time.Time{}, fmt.Sprint(source), Snapshot{revision, values(smallRoutes, smallPools)})
			}
		})
	}
	group.Wait()
	pair, _ := a.Active()
	is.Equal(pair.Revision, highest)
}
