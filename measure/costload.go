package measure

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/bilberrywood/bilberrywood/cost"
	"github.com/bilberrywood/bilberrywood/table"
)

// work is the distribution of the work of requests: log-normal around the mean, and a fraction that takes longer.
type work struct {
	mean, spread, tailFraction, tailFactor float64
}

func (w work) draw(random *rand.Rand) float64 {
	x := w.mean / (1 + w.tailFraction*(w.tailFactor-1)) * math.Exp(w.spread*random.NormFloat64()-w.spread*w.spread/2)
	if random.Float64() < w.tailFraction {
		x *= w.tailFactor
	}
	return x
}

// costLoad is a load of the experiment "cost".
type costLoad struct {
	name  string
	kinds []costKind
	// speedSpread is the spread of the targets' speeds.
	speedSpread float64
	// slowing is the fraction of the targets that slow down when nearly full.
	slowing float64
	// slowEpisodes says that some targets work much slower from time to time.
	slowEpisodes bool
	// ownerChange says that the cell passes to a new owner, and that the time after that is measured.
	ownerChange bool
}

// costKind is a kind of requests that an entry can't tell from others of its route by what it sees.
type costKind struct {
	share float64
	work  work
	route table.RouteName
	// accountSpread and shapeSpread are the spreads of the work between accounts and between shapes of paths.
	accountSpread, shapeSpread float64
}

// Work and tails are those of the deployments with uneven demand.
var (
	wideSpread = []costKind{{1, work{0.26, 0.48, 0.03, 7}, "submission", 0.5, 0.4}}
	heavyTail  = []costKind{{1, work{0.35, 0.3, 0.03, 7}, "query", 0, 0}}
	lookAlike  = []costKind{{0.58, work{0.16, 0.3, 0.01, 5}, "desk", 0, 0}, {0.42, work{0.96, 0.5, 0.01, 5}, "desk", 0, 0}}
	equalCosts = []costKind{{1, work{0.25, 0, 0, 1}, "lookup", 0, 0}}
)

var costLoads = []costLoad{
	{name: "wideSpread", kinds: wideSpread, speedSpread: 0.15, slowing: 0.34},
	{name: "heavyTail", kinds: heavyTail, speedSpread: 0.15, slowing: 0.34},
	{name: "lookAlike", kinds: lookAlike, speedSpread: 0.15, slowing: 0.34},
	{name: "speeds", kinds: heavyTail, speedSpread: 0.5, slowing: 0.34},
	{name: "ownerChange", kinds: wideSpread, speedSpread: 0.15, slowing: 0.34, ownerChange: true},
	{name: "slowEpisodes", kinds: wideSpread, speedSpread: 0.15, slowing: 0.34, slowEpisodes: true},
	{name: "equal", kinds: equalCosts},
	{name: "equalTargets", kinds: heavyTail},
}

// Size of the pool of the experiment.
const (
	costTargets    = 24
	costSlots      = 4
	costQueueLimit = 12
	costAccounts   = 60
	costShapes     = 12
	// Every episodeInterval a fraction of the targets takes episodeFactor as long for episodeLength.
	episodeInterval = 25.0
	episodeLength   = 6.5
	episodeFactor   = 5.0
	episodeFraction = 0.125
	// slowdownFactor is how much longer requests take at a full target that slows down.
	slowdownFactor = 1.5
)

// costTarget is a simulated target whose requests share its speed.
type costTarget struct {
	id      table.TargetID
	speed   float64
	slowing bool
	running []*costRequest
	waiting []*costRequest
	// updatedAt is when left was last computed of the running requests. Events of an earlier generation are void.
	updatedAt  float64
	generation int
}

// costRequest is a request with its true work.
type costRequest struct {
	features  cost.Features
	work      float64
	left      float64
	submitted float64
	started   float64
	id        uint64
}

func (l *costLoad) targets(random *rand.Rand) []*costTarget {
	var targets []*costTarget
	for i := range costTargets {
		targets = append(targets, &costTarget{
			id: table.TargetID(fmt.Sprintf("t%02d", i)), speed: math.Exp(l.speedSpread * random.NormFloat64()),
			slowing: float64(i) < l.slowing*costTargets,
		})
	}
	return targets
}

// rate returns the work per second of each of n running requests.
func (t *costTarget) rate(n int) float64 {
	if !t.slowing || n < costSlots-1 {
		return t.speed
	}
	full := float64(n-(costSlots-2)) / 2
	return t.speed / (1 + (slowdownFactor-1)*full)
}

func (t *costTarget) advance(now float64) {
	done := (now - t.updatedAt) * t.rate(len(t.running))
	for _, r := range t.running {
		r.left -= done
	}
	t.updatedAt = now
}

// next returns when the next running request ends, and which one.
func (t *costTarget) next() (float64, *costRequest) {
	if len(t.running) == 0 {
		return 0, nil
	}
	first := slices.MinFunc(t.running, func(a, b *costRequest) int {
		if a.left < b.left {
			return -1
		}
		return 1
	})
	return t.updatedAt + max(0, first.left)/t.rate(len(t.running)), first
}

// addedTime returns by how much a request of the given work would add to the time that all requests at the target take,
// its own included, if no further ones came.
func (t *costTarget) addedTime(now, work float64) float64 {
	t.advance(now)
	left := make([]float64, 0, costSlots)
	for _, r := range t.running {
		left = append(left, max(0, r.left))
	}
	before := t.totalTime(left)
	return t.totalTime(append(left, work)) - before
}

// totalTime returns how long requests with the given work left take, summed over the requests.
func (t *costTarget) totalTime(left []float64) float64 {
	slices.Sort(left)
	total, done := 0.0, 0.0
	for i, l := range left {
		running := len(left) - i
		total += float64(running) * (l - done) / t.rate(running)
		done = l
	}
	return total
}

// callers draws the requests of a load. Accounts and shapes of paths have factors of their own.
type callers struct {
	kinds            []costKind
	random           *rand.Rand
	accounts, shapes []float64
}

func newCallers(l *costLoad, random *rand.Rand) *callers {
	c := &callers{kinds: l.kinds, random: random}
	for range costAccounts {
		c.accounts = append(c.accounts, random.NormFloat64())
	}
	for range costShapes {
		c.shapes = append(c.shapes, random.NormFloat64())
	}
	return c
}

// meanWork returns the mean work of the requests, by which loads are given as fractions of the capacity.
func (c *callers) meanWork() float64 {
	const samples = 200_000
	sum := 0.0
	for range samples {
		sum += c.draw().work
	}
	return sum / samples
}

func (c *callers) draw() *costRequest {
	k, x := &c.kinds[0], c.random.Float64()
	for i := 1; i < len(c.kinds) && x >= k.share; i++ {
		x -= k.share
		k = &c.kinds[i]
	}
	account, shape := c.random.IntN(costAccounts), c.random.IntN(costShapes)
	factor := math.Exp(k.accountSpread*c.accounts[account] + k.shapeSpread*c.shapes[shape])
	return &costRequest{
		work: factor * k.work.draw(c.random),
		features: cost.Features{
			Route: k.route, Method: "POST", Shape: cost.Shape(shape + 1), Account: table.AccountName(fmt.Sprint("a", account)),
		},
	}
}

// capacity returns the work per second that the targets do when full.
func capacity(targets []*costTarget) float64 {
	sum := 0.0
	for _, t := range targets {
		sum += costSlots * t.rate(costSlots)
	}
	return sum
}
