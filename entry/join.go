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

// join fetches the active pair from peers before the tables are read from the platform. If a platform serves
// stale data, a replaced VM must not bring back an older revision. The peers come from the settings and, if it
// can be read, from the fleet list. join returns after Settings.JoinWaitMs at the latest.
func (e *Entry) join(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, settings.Millis(e.Settings.JoinWaitMs))
	defer cancel()
	if r, ok := e.source.(fleetReader); ok {
		r.ReadFleet(ctx)
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

// minJoinResponses is how many peers must respond for join to end early and trust the highest revision seen. One
// peer may be partitioned itself; three are rarely all behind.
const minJoinResponses = 3

// awaitTables waits until tables are active or ctx ends.
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
	// Run reads the tables and their changes while the source is active, until ctx ends.
	Run(ctx context.Context)
	// SetActive turns reading on or off.
	SetActive(active bool)
	// Status returns the state of the source for operators.
	Status() configuration.Status
}

// fleetReader is implemented by sources that know a list of the fleet.
type fleetReader interface {
	// ReadFleet reads the list once. Status shows a failure.
	ReadFleet(ctx context.Context)
}

// OfferFunc submits a snapshot of the tables. source is the name of the source for logs.
type OfferFunc func(source string, s table.Snapshot)

// newSource returns the source of the tables: the configuration service unless NewSource is set.
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

// recentlyReadPlatform reports whether this entry reads the platform and got a usable response within
// Settings.ReaderFreshMs.
func (e *Entry) recentlyReadPlatform() bool {
	s := e.source.Status()
	return s.Active && time.Since(s.LastResponse) < settings.Millis(e.Settings.ReaderFreshMs)
}

// An entry that is not a seed leaves reading the tables to the seeds after the first start of the fleet: for nonSeedReadDelay
// and a random part of nonSeedReadSpread. The seeds read them within a few calls, and peers get them after their first
// heartbeats. In a large fleet that takes longer, because each peer's first heartbeat to a seed takes a handshake. After later
// starts callers are waiting, and every entry reads at once.
const (
	nonSeedReadDelay  = 800 * time.Millisecond
	nonSeedReadSpread = 3 * time.Second
)

// shouldRead reports whether this entry should read the tables from the source: because it is one of the
// readers, or because no other live reader is known.
func (e *Entry) shouldRead(v *fleet.View) bool {
	if e.Settings.FirstStart && e.tables.current() == nil && e.sinceStart() < e.firstReadDelay && e.isNonSeed() {
		return false
	}
	return v.IsReader(e.Settings.ReadersPerDomain) || !v.HasOtherReader
}

// isNonSeed reports whether the settings name seeds and this entry is not one of them.
func (e *Entry) isNonSeed() bool {
	isSeed := slices.ContainsFunc(e.Settings.Seeds, func(s settings.Seed) bool { return s.ID == e.Settings.ID })
	return len(e.Settings.Seeds) > 0 && !isSeed
}

// HasOtherReader reports whether another entry has recently read the tables from where operators publish them.
func (e *Entry) HasOtherReader() bool { return e.fleet.view().HasOtherReader }
