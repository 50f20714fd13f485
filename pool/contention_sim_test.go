package pool

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/bilberrywood/bilberrywood/fleet"
	"github.com/bilberrywood/bilberrywood/table"
)

// waitingOrder is the order in which a simulated pool serves waiting requests.
type waitingOrder string

const (
	// firstComeOrder is the baseline: any free slot goes to the request that came first, and what has expired is dropped.
	firstComeOrder waitingOrder = "first come"
	retryableOrder waitingOrder = "retryable"
	priorityOrder  waitingOrder = "priority"
)

// contendingRoute is one kind of request.
type contendingRoute struct {
	name                         table.RouteName
	priority                     int
	idempotent                   bool
	perSecond                    float64
	service, objective, deadline time.Duration
	spread                       float64 // sigma of the log-normal service time
	// tail is the fraction of requests that take tailFactor times as long.
	tail, tailFactor float64
}

// Press releases that are urgent and short, and calendars that are patient and long, at half of the servers of their service.
var (
	publish  = contendingRoute{"publish", 0, false, 53, 160 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second, 0.5, 0.01, 5}
	calendar = contendingRoute{"calendar", 2, true, 39, 960 * time.Millisecond, 6 * time.Second, 5 * time.Second, 0.3, 0.01, 5}
)

// contention simulates one cell whose routes and accounts compete for slots. Each target is healthy as long as it is listed.
type contention struct {
	order          waitingOrder
	targets, slots int
	routes         []contendingRoute
	accounts       int
	// factor multiplies the rate of a route and account; nil means 1.
	factor func(at time.Duration, route table.RouteName, account int) float64
	// left returns how many targets are left; nil means all.
	left func(at time.Duration) int
	// priority returns the priority of an account, or a negative number if it has none; nil means that none has.
	priority func(account int) int
	// repeats is how often a request of an abusing account is sent again after a refusal or half of its objective.
	repeats int
	abusing func(account int) bool

	random   *rand.Rand
	cell     *Cell
	now      Time
	lastID   RequestID
	listed   int
	open     map[RequestID]*contender
	waiting  []*contender
	running  []*contender
	repeated []*contender
	asked    []*contender
}

// contender is one request.
type contender struct {
	id       RequestID
	route    *contendingRoute
	account  int
	at       Time
	start    Time
	end      Time
	service  time.Duration
	deadline Time
	target   string
	repeats  int
	repeatAt Time
	// served and inTime are set at the first request if a repetition was served instead.
	served, inTime, refused, expired bool
	heldFor                          time.Duration
	// first is the request that this one repeats; itself if none.
	first *contender
}

const contentionStep = Time(2 * time.Millisecond)

func (s *contention) run(seed uint64, length time.Duration) {
	s.random = rand.New(rand.NewPCG(seed, 31))
	s.open, s.now = make(map[RequestID]*contender), Time(time.Second)
	policy := episodePolicy
	if s.order == priorityOrder {
		policy.Scheduling = table.SchedulePriority
	}
	policy.SetDefaults()
	s.cell = &Cell{Policy: policy, SlotsPerTarget: s.slots, Random: rand.New(rand.NewPCG(seed, 32))}
	s.list(s.targets)
	s.cell.SetOwnership(s.now, fleet.ExclusiveOwner, false)
	weights := zipf(s.accounts)
	start := s.now
	for ; s.now < start+Time(length); s.now += contentionStep {
		at := time.Duration(s.now - start)
		if s.left != nil && s.left(at) != s.listed {
			s.list(s.left(at))
		}
		if (s.now-start)%Time(TickInterval) == 0 {
			s.cell.Tick(s.now)
		}
		s.finish()
		s.repeat()
		for i := range s.routes {
			s.arrive(at, &s.routes[i], weights)
		}
		s.dispatchFirstCome()
		s.collect()
	}
}

// zipf returns the shares of the accounts: a few of them are large.
func zipf(n int) []float64 {
	const skew = 1.2
	weights, sum := make([]float64, n), 0.0
	for i := range weights {
		weights[i] = math.Pow(float64(i+1), -skew)
		sum += weights[i]
	}
	for i := range weights {
		weights[i] /= sum
	}
	return weights
}

// list lists the first n targets; requests at the others lose their connection.
func (s *contention) list(n int) {
	s.listed = n
	list := make([]table.Target, n)
	for i := range list {
		list[i] = table.Target{ID: contendedTarget(i), Started: 1}
	}
	s.cell.Update(s.now, list, n*7/10)
	for _, r := range slices.Clone(s.running) {
		if r.target >= string(contendedTarget(n)) {
			s.end(r, OutcomeConnectionLost)
		}
	}
}

func contendedTarget(i int) table.TargetID { return table.TargetID(fmt.Sprintf("t%03d", i)) }

func (s *contention) arrive(at time.Duration, route *contendingRoute, weights []float64) {
	for account, weight := range weights {
		rate := weight * route.perSecond
		if s.factor != nil {
			rate *= s.factor(at, route.name, account)
		}
		if s.random.Float64() < rate*time.Duration(contentionStep).Seconds() {
			r := &contender{route: route, account: account, at: s.now, service: s.drawService(route)}
			if s.abusing != nil && s.abusing(account) {
				r.repeats = s.repeats
			}
			r.first = r
			s.asked = append(s.asked, r)
			s.submit(r)
		}
	}
}

func (s *contention) submit(r *contender) {
	s.lastID++
	r.id, r.deadline = s.lastID, s.now+Time(r.route.deadline)
	if r.repeats > 0 {
		r.repeatAt = s.now + Time(r.route.objective/2)
		s.repeated = append(s.repeated, r)
	}
	s.open[r.id] = r
	if s.order == firstComeOrder {
		s.waiting = append(s.waiting, r)
		return
	}
	priority := r.route.priority
	if s.priority != nil && s.priority(r.account) >= 0 {
		priority = s.priority(r.account)
	}
	s.cell.Submit(s.now, Request{
		ID: r.id, Route: r.route.name, Account: table.AccountName(fmt.Sprint(r.account)), Priority: priority,
		RoutePriority: r.route.priority, Idempotent: r.route.idempotent, Replayable: true,
		Objective: r.first.at + Time(r.route.objective), Deadline: r.deadline,
	})
	s.collect()
}

// repeat sends requests of abusing accounts again.
func (s *contention) repeat() {
	var due []*contender
	s.repeated = slices.DeleteFunc(s.repeated, func(r *contender) bool {
		if r.repeatAt <= s.now {
			due = append(due, r)
		}
		return r.repeatAt <= s.now
	})
	for _, r := range due {
		if !r.first.served {
			s.submit(&contender{route: r.route, account: r.account, at: s.now, service: r.service, repeats: r.repeats - 1, first: r.first})
		}
	}
}

// drawService draws the service time of a request when it comes, so that all orders serve the same requests.
func (s *contention) drawService(route *contendingRoute) time.Duration {
	x := math.Exp(route.spread*s.random.NormFloat64() - route.spread*route.spread/2)
	if s.random.Float64() < route.tail {
		x *= route.tailFactor
	}
	return time.Duration(x * float64(route.service))
}

func (s *contention) begin(r *contender, target string) {
	r.target, r.start, r.end = target, s.now, s.now+Time(r.service)
	s.running = append(s.running, r)
}

func (s *contention) dispatchFirstCome() {
	for len(s.waiting) > 0 && len(s.running) < s.listed*s.slots {
		r := s.waiting[0]
		s.waiting = s.waiting[1:]
		if r.deadline > s.now {
			s.begin(r, string(contendedTarget(len(s.running)%s.listed)))
		}
	}
}

func (s *contention) collect() {
	for _, d := range slices.Clone(s.cell.Decisions()) {
		r := s.open[d.Request]
		switch d.Kind {
		case DecisionRun:
			s.begin(r, string(d.Target))
		case DecisionRefuse:
			r.refused, r.heldFor = true, time.Duration(s.now-r.at)
			if r.repeats > 0 {
				r.repeatAt = s.now
			}
			delete(s.open, r.id)
		case DecisionFinal:
			delete(s.open, r.id)
		}
	}
	s.cell.Events()
}

func (s *contention) finish() {
	for _, r := range slices.Clone(s.running) {
		switch {
		case r.end <= min(s.now, r.deadline):
			r.first.served = true
			r.first.inTime = r.first.inTime || s.now <= r.first.at+Time(r.route.objective)
			s.end(r, OutcomeSuccess)
		case r.deadline <= s.now:
			r.expired = true
			s.end(r, OutcomeTimeout)
		}
	}
}

func (s *contention) end(r *contender, kind OutcomeKind) {
	s.running = slices.DeleteFunc(s.running, func(other *contender) bool { return other == r })
	if s.order == firstComeOrder {
		return
	}
	s.cell.Finish(s.now, r.id, Outcome{Kind: kind, Written: true, ServiceTime: time.Duration(s.now - r.start)})
	s.collect()
}

// contentionResult summarizes the requests of one kind or account.
type contentionResult struct {
	asked, inTime, served, refused, expired int
	// held is how long the refused requests waited.
	held time.Duration
}

func (c contentionResult) String() string {
	return fmt.Sprintf("%.3f in time, %.3f served of %d (%d refused after %v, %d expired)",
		c.inTimeFraction(), c.servedFraction(), c.asked, c.refused, (c.held / time.Duration(max(1, c.refused))).Round(10*time.Millisecond), c.expired)
}

func (c contentionResult) inTimeFraction() float64 {
	return float64(c.inTime) / max(1, float64(c.asked))
}
func (c contentionResult) servedFraction() float64 {
	return float64(c.served) / max(1, float64(c.asked))
}

func anyContender(*contender) bool { return true }

// assess counts the requests that came until assessedEnd, since the trouble began, and that the filter keeps.
func (s *contention) assess(keep func(*contender) bool) contentionResult {
	var c contentionResult
	for _, r := range s.asked {
		if at := time.Duration(r.at) - time.Second; at < troubleStart || at >= assessedEnd || !keep(r) {
			continue
		}
		c.asked++
		switch {
		case r.inTime:
			c.inTime, c.served = c.inTime+1, c.served+1
		case r.served:
			c.served++
		case r.expired:
			c.expired++
		case r.refused:
			c.refused++
			c.held += r.heldFor
		}
	}
	return c
}

func (s *contention) byRoute(name table.RouteName) contentionResult {
	return s.assess(func(r *contender) bool { return r.route.name == name })
}

// servedSlotTime returns the part of the slot time that the requests ask for that went to those that were served.
func (s *contention) servedSlotTime() float64 {
	served, asked := 0.0, 0.0
	for i := range s.routes {
		c := s.byRoute(s.routes[i].name)
		asked += float64(c.asked) * s.routes[i].service.Seconds()
		served += float64(c.served) * s.routes[i].service.Seconds()
	}
	return served / max(asked, 1)
}

// leastServed returns the smallest served fraction of an account with enough requests to tell.
func (s *contention) leastServed() float64 {
	const enough = 20
	least := 1.0
	for account := range s.accounts {
		if c := s.assess(func(r *contender) bool { return r.account == account }); c.asked >= enough {
			least = min(least, c.servedFraction())
		}
	}
	return least
}

// String has a part for each route, and one for the largest account, the others, and the one that is served least.
func (s *contention) String() string {
	var b strings.Builder
	for i := range s.routes {
		fmt.Fprintf(&b, "%s: %v; ", s.routes[i].name, s.byRoute(s.routes[i].name))
	}
	first := s.assess(func(r *contender) bool { return r.account == 0 })
	others := s.assess(func(r *contender) bool { return r.account != 0 })
	fmt.Fprintf(&b, "largest account: %v; others: %v; least served %.2f", first, others, s.leastServed())
	return b.String()
}

// levelProblem returns what is wrong with the sums that the levels of a cell keep, or "".
func levelProblem(c *Cell) string {
	for _, l := range c.queue.levels {
		size, work := 0, time.Duration(0)
		l.each(func(r *request) {
			size++
			work += r.cost
			if r.level != l || r.phase != phaseQueued {
				size = -1
			}
		})
		if size != l.size || work != l.work {
			return fmt.Sprintf("level %v: %d requests with %v, counted %d with %v", l.rank, size, work, l.size, l.work)
		}
	}
	return ""
}
