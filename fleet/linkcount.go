package fleet

import "time"

// LinkCount says with how many entries of a set this entry has a two-way link, itself included, and how many of the set
// may still run.
type LinkCount struct {
	Linked, Known int
	// Self says that this entry is in the set.
	Self bool
}

// LinkCounter counts the links of an entry in a way in which two parts of a fleet that has split don't both count a
// majority. It is not safe for concurrent use.
type LinkCounter struct {
	startedAt time.Duration
	started   bool
	// hubSince has the time since which each member has been a hub; see establishedAge.
	hubSince map[EntryID]time.Duration
}

const (
	// establishedAge is how long a member must have been a hub to count. Each part of a fleet that has split soon has
	// hubs of its own. By then the links with other entries, whose heartbeats are rare, have been found silent.
	establishedAge = 15 * time.Second
	// seedsPeriod is how long after the start the links with the seeds count too, unless a fleet list names this entry. A
	// process that has just started may know only them and what was started with it, and all processes have the same
	// seeds.
	seedsPeriod = time.Minute
	// startupKnowledge is how long after the start each hub that is found counts as established.
	startupKnowledge = 3 * time.Second
)

// Count returns one or several counts, of which the least favorable one holds. The first is of the entries that may own
// cells, with links whose last heartbeat is younger than what makes peers choose another owner, less one heartbeat: so
// an owner learns of its isolation before them. In the hub-and-spoke topology these are the hubs, and another count is
// of all entries, which takes longer to notice a split. A third one is of the seeds; see seedsPeriod.
func (c *LinkCounter) Count(v *View) []LinkCount {
	if !c.started {
		c.started, c.startedAt, c.hubSince = true, v.At, make(map[EntryID]time.Duration)
	}
	var recent, all, seeds LinkCount
	recentSilence := v.timing.SuspectTimeout - v.timing.HeartbeatInterval
	for i := range v.Members {
		m := &v.Members[i]
		mayOwn := !v.hubTopology || c.established(v.At, m)
		self := i == v.selfIndex
		linked := self || m.Link == LinkTwoWay
		if v.states[i].seed {
			seeds.add(linked, self)
		}
		if m.State == StateLeaving {
			continue
		}
		all.add(linked, self)
		if mayOwn {
			recent.add(self || linked && v.At-v.states[i].heardAt <= recentSilence, self)
		}
	}
	var counts []LinkCount
	if recent.Known > 0 {
		counts = append(counts, recent)
	}
	if v.hubTopology || recent.Known == 0 {
		counts = append(counts, all)
	}
	if !v.listed && seeds.Known > 0 && v.At-c.startedAt < seedsPeriod {
		counts = append(counts, seeds)
	}
	return counts
}

func (n *LinkCount) add(linked, self bool) {
	n.Known++
	n.Self = n.Self || self
	if linked {
		n.Linked++
	}
}

// established reports whether a member is a hub and has been one for establishedAge.
func (c *LinkCounter) established(now time.Duration, m *Member) bool {
	if !m.Hub {
		delete(c.hubSince, m.ID)
		return false
	}
	since, known := c.hubSince[m.ID]
	if !known {
		since = now
		if now-c.startedAt <= startupKnowledge {
			since = now - establishedAge
		}
		c.hubSince[m.ID] = since
	}
	return now-since >= establishedAge
}
