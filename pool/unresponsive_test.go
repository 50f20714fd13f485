package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against an owner that does not notice that it can no longer reach its targets, and against taking busy
// targets, or those that run uploads, for unresponsive ones.
func TestUnresponsiveTargets(t *testing.T) {
	const serviceTime = 200 * time.Millisecond
	for _, c := range []struct {
		name         string
		age          time.Duration
		upload       bool
		finished     bool
		outcome      OutcomeKind
		unresponsive int
	}{
		{"no response for a long time", time.Second, false, false, 0, 6},
		{"no response yet", serviceTime, false, false, 0, 0},
		{"uploads", time.Second, true, false, 0, 0},
		{"a response", time.Second, false, true, OutcomeSuccess, 0},
		{"a reset", time.Second, false, true, OutcomeConnectionLost, 0},
		{"only timeouts", time.Second, false, true, OutcomeTimeout, 6},
		{"connections fail to open", 2 * serviceTime, false, true, OutcomeConnectFailed, 6},
		{"connections failed to open long ago", time.Minute, false, true, OutcomeConnectFailed, 0},
		{"timeouts long ago", time.Minute, false, true, OutcomeTimeout, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			cell, now := newEpisodeCell(6, 6000)
			cell.queue.meanServiceTime = serviceTime
			for id := RequestID(1); id <= 12; id++ {
				cell.Submit(now, Request{ID: id, Upload: c.upload, Deadline: now + Time(time.Minute)})
			}
			decisions := append([]Decision(nil), cell.Decisions()...)
			is.Equal(len(decisions), 12)
			now += Time(serviceTime)
			if c.finished {
				for _, d := range decisions {
					cell.Finish(now, d.Request, Outcome{Kind: c.outcome, Written: true, ServiceTime: serviceTime})
				}
			}
			is.Equal(len(cell.UnresponsiveTargets(now-Time(serviceTime)+Time(c.age))), c.unresponsive)
		})
	}
}

// Guards against targets that are suspect or unreachable for the next owner because paths from the last one were broken:
// after a partition had ended, a quarter of the requests was refused or failed.
func TestPathEvidenceIsDiscarded(t *testing.T) {
	for _, kind := range []OutcomeKind{OutcomeConnectFailed, OutcomeConnectionLost, OutcomeTimeout} {
		t.Run(fmt.Sprint("outcome ", kind), func(t *testing.T) {
			is := is.New(t)
			cell, now := newEpisodeCell(6, 6000)
			fail := func(decisions []Decision) {
				for _, d := range decisions {
					cell.Finish(now, d.Request, Outcome{Kind: kind, Written: kind != OutcomeConnectFailed, ServiceTime: 3 * time.Second})
				}
			}
			submit := func(from, to RequestID) []Decision {
				for id := from; id < to; id++ {
					cell.Submit(now, Request{ID: id, Deadline: now + Time(time.Minute)})
				}
				return append([]Decision(nil), cell.Decisions()...)
			}
			first := submit(1, 25)
			is.Equal(len(first), 24) // four slots each
			for range 60 {
				now += Time(50 * time.Millisecond)
				cell.Tick(now)
			}
			for _, d := range first[:18] {
				now += Time(burstWindow)
				fail([]Decision{d})
				cell.Tick(now)
			}
			cell.Decisions()
			is.True(len(cell.EjectedTargets()) > 0)
			cell.DiscardPathEvidence(now)
			fail(first[18:]) // these began before
			cell.Tick(now)
			is.Equal(len(cell.EjectedTargets()), 0)
			is.Equal(len(cell.UnresponsiveTargets(now)), 0)
			for i := range cell.targets.len() {
				is.Equal(cell.targets.at(i).state, TargetServing)
			}
		})
	}
}
