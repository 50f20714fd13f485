package pool

import (
	"math"
	"slices"
	"time"

	"github.com/bilberrywood/bilberrywood/table"
)

// demandWindow is the time over which the slot time that the requests of a level ask for and get is averaged. It is shorter
// than a crowd and longer than the gaps between the requests of a small cell.
const demandWindow = 2 * time.Second

// levelRank orders the levels: by the priority of the account, or of the route if the account has none, then by that of the
// route.
type levelRank struct {
	priority, routePriority int
}

// compare returns a negative number if k comes before other.
func (k levelRank) compare(other levelRank) int {
	if k.priority != other.priority {
		return k.priority - other.priority
	}
	return k.routePriority - other.routePriority
}

// level holds the waiting requests of one rank. Accounts share its slot time equally by start-time fair queueing (Goyal,
// Vin and Cheng, 1996): the account whose virtual start is earliest is served next, and each attempt moves its start by
// the slot time that it takes.
type level struct {
	rank  levelRank
	flows []*accountFlow
	// free are flows for reuse.
	free []*accountFlow
	// virtual is the virtual start of the latest attempt; it never falls.
	virtual time.Duration
	// finished has the virtual starts that lie ahead of virtual, of accounts without waiting requests.
	finished map[table.AccountName]time.Duration
	size     int
	// work is the expected slot time of the waiting requests.
	work time.Duration
	// asked and granted are the slot time of the requests that came and of those that got their first attempt.
	asked, granted slotTime
	overload       classOverload
}

// accountFlow holds the waiting requests of one account at a level; it has at least one.
type accountFlow struct {
	account table.AccountName
	// start is the virtual start of its first request.
	start time.Duration
	work  time.Duration
	// requests are in the order of scheduledBefore.
	requests []*request
}

// slotTime is a sum of slot time in which older amounts count less.
type slotTime struct {
	sum float64
	at  Time
}

func (s *slotTime) add(now Time, d time.Duration) {
	s.sum = s.value(now) + float64(d)
	s.at = now
}

func (s *slotTime) value(now Time) float64 {
	return s.sum * math.Exp(-float64(now-s.at)/float64(demandWindow))
}

// slots returns the sum as the mean number of slots that it occupies.
func (s *slotTime) slots(now Time) float64 { return s.value(now) / float64(demandWindow) }

// scheduledBefore orders the waiting requests of an account at a level: those that have had an attempt, then by the time
// until which a response is in time.
func scheduledBefore(a, b *request) bool {
	if a.returned != b.returned {
		return a.returned
	}
	return a.latestResponse() < b.latestResponse()
}

// latestResponse returns until when a response is in time; a deadline may come before the objective.
func (r *request) latestResponse() Time {
	latest := Time(math.MaxInt64)
	if r.Objective > 0 {
		latest = r.Objective
	}
	if r.Deadline > 0 {
		latest = min(latest, r.Deadline)
	}
	return latest
}

func (l *level) flow(account table.AccountName) *accountFlow {
	for _, f := range l.flows {
		if f.account == account {
			return f
		}
	}
	return nil
}

// startOf returns the virtual start of the next request of an account without waiting ones.
func (l *level) startOf(account table.AccountName) time.Duration {
	return max(l.virtual, l.finished[account])
}

func (l *level) push(r *request, cost time.Duration) {
	f := l.flow(r.Account)
	if f == nil {
		f = l.addFlow(r.Account)
	}
	i := len(f.requests)
	for i > 0 && scheduledBefore(r, f.requests[i-1]) {
		i--
	}
	f.requests = slices.Insert(f.requests, i, r)
	r.level, r.cost = l, cost
	f.work += cost
	l.work += cost
	l.size++
}

func (l *level) remove(r *request) {
	f := l.flow(r.Account)
	i := slices.Index(f.requests, r)
	f.requests = slices.Delete(f.requests, i, i+1)
	r.level = nil
	f.work -= r.cost
	l.work -= r.cost
	l.size--
	if len(f.requests) > 0 {
		return
	}
	i = slices.Index(l.flows, f)
	l.flows = slices.Delete(l.flows, i, i+1)
	l.finish(f.account, f.start)
	l.free = append(l.free, f)
}

func (l *level) addFlow(account table.AccountName) *accountFlow {
	var f *accountFlow
	if n := len(l.free); n > 0 {
		f, l.free = l.free[n-1], l.free[:n-1]
	} else {
		f = new(accountFlow)
	}
	*f = accountFlow{account: account, start: l.startOf(account), requests: f.requests[:0]}
	delete(l.finished, account)
	l.flows = append(l.flows, f)
	return f
}

// finish remembers the virtual start of an account that has no waiting requests. While nobody waits at the level there is
// nothing to share.
func (l *level) finish(account table.AccountName, start time.Duration) {
	if l.size == 0 {
		clear(l.finished)
		return
	}
	if start <= l.virtual {
		return
	}
	if l.finished == nil {
		l.finished = make(map[table.AccountName]time.Duration)
	}
	for other, s := range l.finished {
		if s <= l.virtual {
			delete(l.finished, other)
		}
	}
	l.finished[account] = start
}

// head returns the request that is served next, or nil. Those that can still be in time come before the others, which
// help their callers less.
func (l *level) head(now Time) *request {
	var first, firstLate *request
	var start, startLate time.Duration
	for _, f := range l.flows {
		r, late := f.head(now)
		switch {
		case late && (firstLate == nil || f.start < startLate):
			firstLate, startLate = r, f.start
		case !late && (first == nil || f.start < start):
			first, start = r, f.start
		}
	}
	if first != nil {
		return first
	}
	return firstLate
}

// head returns the request of the account that is served next, and whether it is too late for its objective.
func (f *accountFlow) head(now Time) (*request, bool) {
	for _, r := range f.requests {
		if !r.missesObjective(now) {
			return r, false
		}
	}
	return f.requests[0], true
}

// missesObjective reports whether the waiting request is too late for its objective.
func (r *request) missesObjective(now Time) bool {
	return r.Objective > 0 && now+Time(r.cost) > r.Objective
}

// charge adds slot time to an account, before the request that takes it is removed. A correction may be negative.
func (l *level) charge(account table.AccountName, d time.Duration) {
	if f := l.flow(account); f != nil {
		f.start += d
		return
	}
	if l.size > 0 {
		l.finish(account, l.startOf(account)+d)
	}
}

// ahead returns the expected slot time of the waiting requests that are served before a new one of the level.
func (l *level) ahead(r *request) time.Duration {
	start := l.startOf(r.Account)
	own := time.Duration(0)
	if f := l.flow(r.Account); f != nil {
		start, own = f.start, f.ahead(r)
	}
	work := own
	for _, f := range l.flows {
		if f.account != r.Account {
			work += min(f.work, max(0, start+own-f.start))
		}
	}
	return work
}

// each calls visit for every waiting request; visit may remove the request that it is called with.
func (l *level) each(visit func(*request)) {
	for _, f := range slices.Clone(l.flows) {
		for _, r := range slices.Clone(f.requests) {
			visit(r)
		}
	}
}

// ahead returns the expected slot time of the account's waiting requests that are served before a new one.
func (f *accountFlow) ahead(r *request) time.Duration {
	work := time.Duration(0)
	for _, other := range f.requests {
		if other == r || scheduledBefore(r, other) {
			break
		}
		work += other.cost
	}
	return work
}

// largest returns the account with the most expected slot time that waits, or nil.
func (l *level) largest() *accountFlow {
	var largest *accountFlow
	for _, f := range l.flows {
		if largest == nil || f.work > largest.work {
			largest = f
		}
	}
	return largest
}

func (l *level) state(now Time) LevelState {
	return LevelState{
		Priority: l.rank.priority, RoutePriority: l.rank.routePriority, Waiting: l.size, WaitingSlotTime: l.work,
		AskedSlots: l.asked.slots(now), GrantedSlots: l.granted.slots(now),
	}
}

// dominant returns the account to which most of the waiting slot time belongs, or nil. It keeps itself waiting, and has no
// precedence over the request of another account for that.
func (l *level) dominant(r *request) *accountFlow {
	f := l.largest()
	if f == nil || f.account == "" || f.account == r.Account || 2*f.work <= l.work {
		return nil
	}
	return f
}
