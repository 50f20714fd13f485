package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/bilberrywood/bilberrywood/table"
)

// The trouble of a load lasts from troubleStart to troubleEnd; what comes until assessedEnd may still wait because of it.
const (
	troubleStart, troubleEnd = 10 * time.Second, 16 * time.Second
	assessedEnd              = troubleEnd + 4*time.Second
	contentionLength         = 26 * time.Second
)

const (
	// neededServed is the fraction of a kind of request that callers need to be served.
	neededServed = 0.93
	// maxInversion is by how much a more urgent kind may be served less often than a less urgent one.
	maxInversion = 0.05
	// starvedFraction is the served fraction, as a part of that of all, below which a kind or an account is starved.
	starvedFraction = 0.25
	// maxHarm is by how much callers may notice a hot account, or others that repeat their requests.
	maxHarm = 0.05
)

type selectRequests func(route table.RouteName, account int) bool

func anyRequest(table.RouteName, int) bool             { return true }
func hotAccount(_ table.RouteName, account int) bool   { return account == 0 }
func patientRequest(route table.RouteName, _ int) bool { return route == calendar.name }
func urgentRequest(route table.RouteName, _ int) bool  { return route == publish.name }
func accountPriority(account int) int                  { return account%4 - 1 }
func repeatingAccount(account int) bool                { return account%3 == 0 }

// crowdOf multiplies the rate of the selected requests during the trouble.
func crowdOf(x float64, selects selectRequests) func(time.Duration, table.RouteName, int) float64 {
	return func(at time.Duration, route table.RouteName, account int) float64 {
		if at >= troubleStart && at < troubleEnd && selects(route, account) {
			return x
		}
		return 1
	}
}

// lostDomain is the loss of a third of 39 targets when the trouble starts.
func lostDomain(at time.Duration) int {
	if at >= troubleStart {
		return 26
	}
	return 39
}

// contentionLoads are the loads under which room is short. A part of the targets is lost from the start.
var contentionLoads = []struct {
	name string
	load contention
	// urgentFits says that the urgent requests alone leave room for what the others get at least.
	urgentFits bool
}{
	{"hot account", contention{targets: 26, factor: crowdOf(7.5, hotAccount)}, true},
	{"patient crowd", contention{targets: 26, factor: crowdOf(2.4, patientRequest)}, true},
	{"urgent crowd", contention{targets: 20, factor: crowdOf(6, urgentRequest)}, false},
	{"crowd beside a lost domain", contention{targets: 39, left: lostDomain, factor: crowdOf(2.5, anyRequest)}, true},
	{"accounts with priorities", contention{targets: 26, priority: accountPriority, factor: crowdOf(2.2, anyRequest)}, true},
	{"abusive repeats", contention{targets: 26, repeats: 3, abusing: repeatingAccount, factor: crowdOf(2.2, anyRequest)}, true},
}

// runContention simulates the load, with short urgent requests behind long patient ones if it has no routes.
func runContention(load contention, order waitingOrder, seed uint64) *contention {
	load.order, load.slots, load.accounts = order, 3, 71
	if load.routes == nil {
		load.routes = []contendingRoute{publish, calendar}
	}
	load.run(seed, contentionLength)
	return &load
}

// Guards against serving what can wait before what can't, a kind or an account that starves, and slots that work on
// responses which come too late, under each of the loads.
func TestContention(t *testing.T) {
	for _, l := range contentionLoads {
		t.Run(l.name, func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(3) {
				byOrder := map[waitingOrder]*contention{}
				for _, order := range []waitingOrder{firstComeOrder, retryableOrder, priorityOrder} {
					byOrder[order] = runContention(l.load, order, seed)
					t.Logf("seed %d, %s: %v", seed, order, byOrder[order])
				}
				s, first := byOrder[priorityOrder], byOrder[firstComeOrder]
				urgent, patient, all := s.byRoute(publish.name), s.byRoute(calendar.name), s.assess(anyContender)
				is.True(urgent.inTimeFraction() >= first.byRoute(publish.name).inTimeFraction())
				is.True(!l.urgentFits || urgent.inTimeFraction() >= neededServed)
				is.True(urgent.servedFraction() >= patient.servedFraction()-maxInversion)
				is.True(patient.servedFraction() >= starvedFraction*all.servedFraction())
				is.True(s.leastServed() >= starvedFraction*all.servedFraction())
				is.True(all.inTime >= first.assess(anyContender).inTime)
			}
		})
	}
}

func otherAccount(r *contender) bool { return r.account != 0 }

// Guards against a hot account, at 7.5 times its usual, that others notice.
func TestHotAccountIsNotNoticed(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(3) {
		hot := runContention(contention{targets: 26, factor: crowdOf(7.5, hotAccount)}, priorityOrder, seed).assess(otherAccount)
		usual := runContention(contention{targets: 26}, priorityOrder, seed).assess(otherAccount)
		t.Logf("others beside the hot account: %v; without it: %v", hot, usual)
		is.True(hot.inTimeFraction() >= usual.inTimeFraction()-maxHarm)
	}
}

// Guards against a hot account that takes the room of accounts with a lower priority.
func TestHotAccountOfHighPriority(t *testing.T) {
	is := is.New(t)
	urgent := publish
	urgent.perSecond = 15
	lookup := contendingRoute{calendar.name, 1, true, 50, 320 * time.Millisecond, time.Second, 2 * time.Second, 0.5, 0.01, 5}
	load := contention{
		targets: 13, routes: []contendingRoute{urgent, lookup}, factor: crowdOf(7.5, hotAccount),
		priority: func(account int) int { return min(1, account/3) },
	}
	for seed := range uint64(3) {
		byPriority := runContention(load, priorityOrder, seed).assess(otherAccount)
		today := runContention(load, retryableOrder, seed).assess(otherAccount)
		t.Logf("others beside the hot account: %v; with today's order: %v", byPriority, today)
		is.True(byPriority.inTimeFraction() >= today.inTimeFraction())
	}
}

// Guards against accounts that repeat their requests at once and often, and so take room from those that don't.
func TestRepeatsTakeNoRoom(t *testing.T) {
	is := is.New(t)
	patientOnes := func(r *contender) bool { return !repeatingAccount(r.account) }
	load := contention{targets: 26, factor: crowdOf(2.2, anyRequest)}
	repeating := load
	repeating.repeats, repeating.abusing = 3, repeatingAccount
	for seed := range uint64(3) {
		beside := runContention(repeating, priorityOrder, seed).assess(patientOnes)
		usual := runContention(load, priorityOrder, seed).assess(patientOnes)
		t.Logf("accounts beside those that repeat: %v; if none repeats: %v", beside, usual)
		is.True(beside.inTimeFraction() >= usual.inTimeFraction()-maxHarm)
	}
}

// Guards against a level that starves, or is served more often than one above it, under whatever crowd lasts until the end.
func TestNoLevelStarves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		urgent, patient := rapid.Float64Range(0.5, 12).Draw(t, "urgent"), rapid.Float64Range(0.5, 4).Draw(t, "patient")
		s := contention{
			order: priorityOrder, targets: rapid.IntRange(8, 24).Draw(t, "targets"), slots: 3, accounts: 5,
			routes: []contendingRoute{publish, calendar},
			factor: func(_ time.Duration, route table.RouteName, _ int) float64 {
				if route == publish.name {
					return urgent
				}
				return patient
			},
		}
		s.run(rapid.Uint64Range(0, 100).Draw(t, "seed"), contentionLength)
		high, low := s.byRoute(publish.name), s.byRoute(calendar.name)
		t.Logf("urgent: %v; patient: %v", high, low)
		// A kind that takes few slots can be served far more often than there is room for all.
		room := s.servedSlotTime()
		if low.servedFraction() < starvedFraction*room {
			t.Fatalf("the patient starve: %v, room for %.2f", low, room)
		}
		if high.servedFraction() < low.servedFraction()-maxInversion {
			t.Fatalf("the urgent are served less often: %v, %v", high, low)
		}
	})
}
