package pool

import (
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
