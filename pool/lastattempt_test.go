package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberrywood/bilberrywood/table"
)

// Guards against requests that spend all attempts at once on suspect targets, which always have free slots: the
// last attempt must wait for a trusted target. Seen in a pool that was short of slots: requests with a deadline
// of 0.9 s were served a quarter as often as those with 2.5 s, since they went to suspect targets after 0.27 s.
func TestLastAttemptWaitsForTrustedTarget(t *testing.T) {
	is := is.New(t)
	const trusted = table.TargetID("t00")
	c, now := newEpisodeCell(3, 60_000)
	c.Tick(now)
	for _, id := range []table.TargetID{"t01", "t02"} {
		c.targets.get(id).estimate = failureEstimate{
			probability: maxProbability, updatedAt: now, lastFaultAt: now,
			episodeStart: now, trialAt: now + Time(time.Hour),
		}
	}
	for id := RequestID(1); id <= 4; id++ {
		c.Submit(now, Request{ID: id, Deadline: now + Time(time.Minute)})
	}
	is.Equal(len(c.Decisions()), 4) // The slots of the trusted target.
	const deadline = 900 * time.Millisecond
	const last = RequestID(5)
	start := now
	c.Submit(now, Request{ID: last, Idempotent: true, Replayable: true, MaxAttempts: 2, Deadline: now + Time(deadline)})
	var targets []table.TargetID
	freed := false
	for ; now < start+Time(deadline); now += Time(10 * time.Millisecond) {
		c.Tick(now)
		if !freed && now-start > Time(600*time.Millisecond) {
			freed = true
			c.Finish(now, 1, Outcome{Kind: OutcomeSuccess, Written: true, ServiceTime: time.Millisecond})
		}
		for _, d := range append([]Decision(nil), c.Decisions()...) {
			if d.Request != last || d.Kind != DecisionRun {
				continue
			}
			targets = append(targets, d.Target)
			if d.Target != trusted {
				c.Finish(now, last, Outcome{Kind: OutcomeConnectionLost, Written: true, ServiceTime: time.Millisecond})
			}
		}
	}
	is.Equal(len(targets), 2)
	is.Equal(targets[1], trusted)
}
