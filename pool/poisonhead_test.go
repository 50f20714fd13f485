package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against requests whose body isn't known when they are placed and that are never recognised when they come
// again, and against refusals of other requests with the same head.
func TestSuspectedHead(t *testing.T) {
	const head, otherHead, body = Fingerprint(7), Fingerprint(8), Fingerprint(9)
	lost := Outcome{Kind: OutcomeConnectionLost, Written: true, ServiceTime: time.Millisecond}
	for _, c := range []struct {
		name     string
		request  Request
		outcome  Outcome
		after    time.Duration
		suspects bool
	}{
		{"lost", Request{Head: head}, lost, time.Second, true},
		{"lost before a byte was written", Request{Head: head}, Outcome{Kind: OutcomeConnectionLost}, time.Second, false},
		{"answered", Request{Head: head}, Outcome{Kind: OutcomeSuccess, Written: true}, time.Second, false},
		{"the server is gone", Request{Head: head}, Outcome{Kind: OutcomeConnectFailed}, time.Second, false},
		{"another head", Request{Head: otherHead}, lost, time.Second, false},
		{"the body is known", Request{Fingerprint: body}, lost, time.Second, false},
		{"long ago", Request{Head: head}, lost, suspicionTime + 2*time.Second, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			cell, now := newEpisodeCell(6, 6000)
			cell.Tick(now)
			c.request.ID = 1
			cell.Submit(now, c.request)
			is.Equal(len(cell.Decisions()), 1)
			cell.Finish(now, 1, c.outcome)
			for end := now + Time(c.after); now < end; now += Time(TickInterval) {
				cell.Tick(now)
			}
			is.Equal(cell.SuspectsHead(now, head), c.suspects)
			is.Equal(len(cell.PoisonFingerprints()), 0)
			is.Equal(cell.poison.heads.len() > 0, c.suspects || c.request.Head == otherHead)
		})
	}
}

// Guards against refusals of other requests with the head of a request that crashes targets, and against a poison
// request that crashes a third target once its body is known.
func TestHeadIsNeverRefused(t *testing.T) {
	const head, poison = Fingerprint(7), Fingerprint(9)
	is := is.New(t)
	cell, now := newEpisodeCell(6, 6000)
	cell.Tick(now)
	crashed, lastID := 0, RequestID(0)
	// send returns the final decision of a request that crashes its target.
	send := func(r Request, crashes bool) DecisionKind {
		lastID++
		id := lastID
		r.ID = id
		cell.Submit(now, r)
		for range 100 {
			for _, d := range append([]Decision(nil), cell.Decisions()...) {
				switch {
				case d.Request != id:
				case d.Kind != DecisionRun:
					return d.Kind
				case crashes:
					crashed++
					target := cell.targets.get(d.Target)
					cell.Finish(now, id, Outcome{Kind: OutcomeConnectionLost, Written: true, ServiceTime: time.Millisecond})
					cell.confirmCrash(now, target)
				default:
					cell.Finish(now, id, Outcome{Kind: OutcomeSuccess, Written: true, ServiceTime: time.Millisecond})
				}
			}
			now += Time(TickInterval)
			cell.Tick(now)
		}
		return DecisionRun
	}
	for range 4 {
		is.Equal(send(Request{Head: head}, true), DecisionFinal)
	}
	is.Equal(send(Request{Head: head}, false), DecisionFinal)
	is.True(cell.SuspectsHead(now, head))
	crashed = 0
	for range 5 {
		send(Request{Fingerprint: poison}, true)
	}
	is.Equal(crashed, 2)
	is.Equal(send(Request{Fingerprint: poison}, true), DecisionRefuse)
	is.Equal(send(Request{Fingerprint: poison + 1}, false), DecisionFinal)
	is.Equal(send(Request{Head: head}, false), DecisionFinal)
	is.Equal(cell.PoisonFingerprints(), []Fingerprint{poison})
}

// Guards against unbounded memory when many different requests lose their connections.
func TestSuspectedHeadsAreBounded(t *testing.T) {
	is := is.New(t)
	var p poisonTable
	for f := Fingerprint(1); f <= 2*maxSuspectedHeads; f++ {
		p.recordHeadLoss(0, f)
	}
	is.Equal(p.heads.len(), maxSuspectedHeads)
	p.expire(Time(suspicionTime))
	is.Equal(p.heads.len(), 0)
}
