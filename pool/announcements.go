package pool

import (
	"sync"
	"time"

	"github.com/bilberrywood/bilberrywood/fleet"
	"github.com/bilberrywood/bilberrywood/table"
)

// Announcement is what a process of a target has said about itself in responses. Only a later process of the target
// ends it: registrations and probes lag, and a clock doesn't know whether the process has ended.
type Announcement struct {
	// Started is when the process started, as in table.Target; 0 if it isn't known.
	Started int64
	// Leaving says that the process wants no new requests at all.
	Leaving bool
	// PausedUntil is until when it wants no new requests; 0 if there was no such response.
	PausedUntil Time
}

// maxAnnouncements is how many targets Announcements remembers. Beyond that the oldest announcement is forgotten.
const maxAnnouncements = 20_000

// Announcements holds the announcements of targets. All cells of an entry share it, because targets move between cells,
// and because a cell drops a target whose registration is removed, which may be written again. Its zero value is ready
// for use, and its methods may be called concurrently.
type Announcements struct {
	mu   sync.Mutex
	rows map[table.TargetID]Announcement
	// order has the targets in rows by the time of their first announcement.
	order []table.TargetID
	// version counts the changes.
	version uint64
}

// Add merges an announcement into the known one of the same process. It replaces that of an earlier process, and is
// ignored if a later one is known.
func (a *Announcements) Add(id table.TargetID, n Announcement) {
	a.mu.Lock()
	defer a.mu.Unlock()
	known, ok := a.rows[id]
	merged := n
	if ok && known.Started > n.Started {
		return
	}
	if ok && known.Started == n.Started {
		merged.Leaving = n.Leaving || known.Leaving
		merged.PausedUntil = max(n.PausedUntil, known.PausedUntil)
		if merged == known {
			return
		}
	}
	if a.rows == nil {
		a.rows = make(map[table.TargetID]Announcement)
	}
	if !ok {
		a.makeRoom()
		a.order = append(a.order, id)
	}
	a.rows[id] = merged
	a.version++
}

func (a *Announcements) makeRoom() {
	if len(a.order) < maxAnnouncements {
		return
	}
	delete(a.rows, a.order[0])
	a.order = a.order[1:]
}

// endLeaving records that the target, the start of whose process is not known, is not leaving any more.
func (a *Announcements) endLeaving(id table.TargetID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if known, ok := a.rows[id]; ok {
		known.Leaving = false
		a.rows[id] = known
	}
}

// get returns the announcement of a process of the target; the zero value if there is none.
func (a *Announcements) get(id table.TargetID, started int64) Announcement {
	a.mu.Lock()
	defer a.mu.Unlock()
	known := a.rows[id]
	if known.Started < started {
		return Announcement{}
	}
	return known
}

func (a *Announcements) currentVersion() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.version
}

// recallAnnouncement copies what the target's process has announced to its row.
func (c *Cell) recallAnnouncement(t *target) {
	a := c.Announcements.get(t.id, t.started)
	if c.injectedFaults.forgetAnnouncements {
		return
	}
	t.drainSignaled = t.drainSignaled || a.Leaving
	t.pausedUntil = max(t.pausedUntil, a.PausedUntil)
	t.shedUntil = max(t.shedUntil, t.pausedUntil)
}

// applyAnnouncement applies what the target's process has announced.
func (c *Cell) applyAnnouncement(now Time, t *target) {
	a := c.Announcements.get(t.id, t.started)
	if a.Leaving {
		c.drain(now, t)
	}
	if a.PausedUntil > now && a.PausedUntil > t.pausedUntil {
		t.pausedUntil = a.PausedUntil
		c.pauseUntil(now, t, a.PausedUntil)
	}
}

// applyAnnouncements applies the announcements that other cells, forwarded responses and heartbeats have added.
func (c *Cell) applyAnnouncements(now Time) {
	version := c.Announcements.currentVersion()
	if version == c.announcementsVersion {
		return
	}
	c.announcementsVersion = version
	for i := range c.targets.len() {
		c.applyAnnouncement(now, c.targets.at(i))
	}
}

// collectAnnouncements records what a response to a request says about its target. The refusal of another target that
// has the address now says nothing about it.
func (c *Cell) collectAnnouncements(now Time, t *target, r *request, o *Outcome) {
	if o.Kind == OutcomeMisdirected {
		return
	}
	a := Announcement{Started: r.targetStarted, Leaving: o.Draining}
	if o.RetryAfter > 0 {
		a.PausedUntil = now + Time(o.RetryAfter)
	}
	if !a.Leaving && a.PausedUntil == 0 {
		return
	}
	c.Announcements.Add(t.id, a)
	c.applyAnnouncement(now, t)
}

// AcceptsRequests reports whether a target that was chosen earlier may still be sent the request. It may have announced
// since that it is leaving or wants no requests, while a connection was opened or found to be silent.
func (c *Cell) AcceptsRequests(now Time, id table.TargetID) bool {
	t := c.targets.get(id)
	return t != nil && t.state != TargetLeaving && now >= t.pausedUntil
}

// Bounds of the rest of a pause that an owner hands over to the next one. The upper one keeps a malformed claim from
// stopping traffic for long; no response asks for more.
const (
	minHandedOverPause = 500 * time.Millisecond
	maxHandedOverPause = time.Hour
)

// TargetAnnouncements returns what the targets have announced and the tables don't say, for the next owner of the cell.
func (c *Cell) TargetAnnouncements(now Time) []fleet.TargetAnnouncement {
	var out []fleet.TargetAnnouncement
	for i := range c.targets.len() {
		t := c.targets.at(i)
		a := fleet.TargetAnnouncement{Target: t.id, Started: t.started, Leaving: t.drainSignaled && !t.tableLeaving}
		if rest := time.Duration(t.pausedUntil - now); rest >= minHandedOverPause && !t.leaving() {
			a.PausedMs = rest.Milliseconds()
		}
		if a.Leaving || a.PausedMs > 0 {
			out = append(out, a)
		}
	}
	return out
}

// ImportAnnouncements takes over what targets have announced to the previous owner of the cell.
func (c *Cell) ImportAnnouncements(now Time, announcements []fleet.TargetAnnouncement) {
	c.beginCall(now)
	for _, a := range announcements {
		n := Announcement{Started: a.Started, Leaving: a.Leaving}
		if a.PausedMs > 0 {
			n.PausedUntil = now + Time(time.Duration(min(a.PausedMs, maxHandedOverPause.Milliseconds()))*time.Millisecond)
		}
		c.Announcements.Add(a.Target, n)
	}
	c.applyAnnouncements(now)
}
