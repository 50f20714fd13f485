package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberrywood/bilberrywood/table"
)

// Guards against doubt that takes more targets out of use than the floor allows while many requests are lost: then the
// doubt may be wrong, and the targets that are left have to bear all of the load (seen: 49 of 66 sound targets got
// nothing for 2 s while a fifth of the requests was not served).
func TestFloorOfUse(t *testing.T) {
	for _, c := range []struct {
		name string
		// lostPerMille is how many requests of the targets in no doubt are lost.
		lostPerMille int
		atLeast      int
		atMost       int
	}{
		{"many requests are lost", 200, 14, 20},
		{"few requests are lost", 10, 1, 8},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			cell, now := spellCell(20, 6000)
			cell.Tick(now)
			used := make(map[table.TargetID]Time)
			var id RequestID
			for end := now + Time(6*time.Second); now < end; now += Time(10 * time.Millisecond) {
				for i := range 12 {
					// Old faults keep twelve targets in doubt all the time.
					target := cell.targets.get(table.TargetID(fmt.Sprintf("t%02d", i)))
					target.belief = belief{bad: mostBelief, at: now, faultAt: now, began: now, tryAt: now + Time(time.Hour)}
				}
				cell.Tick(now)
				id++
				cell.Submit(now, Request{ID: id, Deadline: now + Time(3*time.Second)})
				for _, d := range append([]Decision(nil), cell.Decisions()...) {
					if d.Kind != DecisionRun {
						continue
					}
					used[d.Target] = now
					o := Outcome{Kind: OutcomeSuccess, Written: true, Service: time.Millisecond}
					if int(id*37%1000) < c.lostPerMille {
						o.Kind = OutcomeFailed
					}
					cell.Finish(now, d.Request, o)
				}
			}
			lately := 0
			for _, at := range used {
				if now-at <= Time(2*time.Second) {
					lately++
				}
			}
			t.Logf("%d of 20 targets in use", lately)
			is.True(lately >= c.atLeast)
			is.True(lately <= c.atMost)
		})
	}
}
