package measure

import (
	"math/rand/v2"
)

func newCostPool(policy PolicyName, s *costRun, seed uint64) costPool {
	switch policy {
	case RoundRobin:
		next := 0
		return &immediatePool{s, func() *costTarget {
			next++
			return s.targets[next%len(s.targets)]
		}}
	case TwoChoices:
		random := rand.New(rand.NewPCG(seed, 4))
		return &immediatePool{s, func() *costTarget {
			a, b := s.targets[random.IntN(len(s.targets))], s.targets[random.IntN(len(s.targets))]
			if len(b.running)+len(b.waiting) < len(a.running)+len(a.waiting) {
				return b
			}
			return a
		}}
	case Oracle:
		return &oraclePool{run: s}
	}
	return newCostCell(s, seed, policy == CellPolicy)
}

// immediatePool sends each request to a target at once, which queues it if it must.
type immediatePool struct {
	run  *costRun
	pick func() *costTarget
}

func (p *immediatePool) submit(r *costRequest)            { p.run.start(p.pick(), r) }
func (p *immediatePool) finish(*costRequest, *costTarget) {}
func (p *immediatePool) tick()                            {}

// oraclePool queues requests like a cell. It knows the work of each and how much every target has left, and sends a
// request where it and the requests that it slows down take the least time together.
type oraclePool struct {
	run   *costRun
	queue []*costRequest
}

func (p *oraclePool) submit(r *costRequest) {
	p.queue = append(p.queue, r)
	p.dispatch()
}

func (p *oraclePool) finish(*costRequest, *costTarget) { p.dispatch() }
func (p *oraclePool) tick()                            {}

func (p *oraclePool) dispatch() {
	for len(p.queue) > 0 {
		r := p.queue[0]
		var best *costTarget
		bestTime := 0.0
		for _, t := range p.run.targets {
			if len(t.running) >= costSlots {
				continue
			}
			if took := t.addedTime(p.run.now(), r.work); best == nil || took < bestTime {
				best, bestTime = t, took
			}
		}
		if best == nil {
			return
		}
		p.queue = p.queue[1:]
		if p.run.now()-r.submitted >= p.run.limit {
			p.run.end(r, false)
			continue
		}
		p.run.start(best, r)
	}
}
