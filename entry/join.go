package entry

import (
	"context"
	"slices"
	"time"

	"github.com/bilberrywood/bilberrywood/configuration"
	"github.com/bilberrywood/bilberrywood/fleet"
	"github.com/bilberrywood/bilberrywood/settings"
	"github.com/bilberrywood/bilberrywood/table"
)

// join asks the peers for the pair in force before the platform is trusted: a platform that serves
// an old copy must not bring back an older revision through a replaced VM. The peers come from the
// fleet list, if it can be read, and from the settings.
func (e *Entry) join(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, settings.Millis(e.Settings.JoinWaitMs))
	defer cancel()
	if l, ok := e.source.(fleetReader); ok {
		l.ReadFleet(ctx)
	}
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	asked := make(map[fleet.EntryID]bool)
	responses := 0
	for {
		for _, m := range e.fleet.view().Members {
			if m.ID == e.Settings.ID || asked[m.ID] || m.PeerAddress == "" || m.Link == fleet.LinkSilent {
				continue
			}
			asked[m.ID] = true
			if err := e.fetchPair(ctx, m); err == nil {
				responses++
			}
		}
		if responses >= minJoinResponses {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// minJoinResponses is how many peers are asked before an entry believes that it knows the highest
// revision. One peer may be cut off itself; three are rarely all behind.
const minJoinResponses = 3

// awaitTables waits until a pair is in force.
func (e *Entry) awaitTables(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for e.tables.current() == nil {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// updateFleetList passes the platform's fleet list on to the membership.
func (e *Entry) updateFleetList(l configuration.FleetList) {
	list := make([]fleet.ListedEntry, 0, len(l.Entries))
	for _, r := range l.Entries {
		list = append(list, fleet.ListedEntry{
			ID: r.ID, FailureDomain: r.FailureDomain, PeerAddress: r.PeerAddress,
			CallerAddress: r.CallerAddress, Leaving: r.State == configuration.EntryLeaving,
		})
	}
	e.fleet.update(e.sinceStart(), func(m *fleet.Membership) { m.UpdateFleetList(e.sinceStart(), list) })
}

// Source reads the tables from where operators publish them.
type Source interface {
	// Run follows the tables while it is active, until ctx ends.
	Run(ctx context.Context)
	// SetActive switches the reading on or off.
	SetActive(active bool)
	// Status is what operators see of the source.
	Status() configuration.Status
}

// fleetReader is implemented by sources that know a list of the fleet.
type fleetReader interface {
	// ReadFleet reads the list once; a failure shows in the status.
	ReadFleet(ctx context.Context)
}

// OfferFunc takes a snapshot of the tables from a source that names itself.
type OfferFunc func(source string, s table.Snapshot)

// newSource builds the reader of the tables: of the configuration service unless Connect is set.
func (e *Entry) newSource() Source {
	if e.NewSource != nil {
		return e.NewSource(e.tables.offer)
	}
	return &configuration.Watcher{
		Client: &configuration.Client{URL: e.Settings.Platform, Log: e.Log},
		Log:    e.Log,
		OnSnapshot: func(s table.Snapshot) {
			e.tables.offer("platform", s)
		},
		OnFleet: e.updateFleetList,
	}
}

// recentlyReadPlatform says that this entry has read the platform lately.
func (e *Entry) recentlyReadPlatform() bool {
	s := e.source.Status()
	return s.Active && time.Since(s.LastResponse) < settings.Millis(e.Settings.ReaderFreshMs)
}

// nonSeedReadDelay is how long after the first start of the fleet an entry that is no seed leaves reading to the others. The
// seeds read the tables within a few calls, and peers get them with their first heartbeats. After later starts
// callers wait, and every entry reads at once.
const nonSeedReadDelay = 800 * time.Millisecond

// shouldRead says whether this entry reads the tables from where operators publish them: as one of the readers, or
// because it knows of none.
func (e *Entry) shouldRead(v *fleet.View) bool {
	if e.Settings.FirstStart && e.tables.current() == nil && e.sinceStart() < nonSeedReadDelay && e.isNonSeed() {
		return false
	}
	return v.IsReader(e.Settings.ReadersPerDomain) || !v.HasReader
}

// isNonSeed says that the settings name seeds, and that this entry is none of them.
func (e *Entry) isNonSeed() bool {
	isSeed := slices.ContainsFunc(e.Settings.Seeds, func(s settings.Seed) bool { return s.ID == e.Settings.ID })
	return len(e.Settings.Seeds) > 0 && !isSeed
}

// HasOtherReader says whether another entry has read the tables from where operators publish them lately.
func (e *Entry) HasOtherReader() bool { return e.fleet.view().HasOtherReader }
