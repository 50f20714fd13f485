package standin

import (
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/bilberrywood/bilberrywood/configuration"
	"github.com/bilberrywood/bilberrywood/table"
)

// maxSnapshots is the number of stored snapshots, which limits how stale a response can be.
const maxSnapshots = 1000

// platformSnapshot is the immutable state of the store at one revision.
type platformSnapshot struct {
	revision table.Revision
	values   map[string]platformValue
	// deleted holds the revisions of deletions, which also count as changes of the index.
	deleted map[string]table.Revision
	fleet   []configuration.FleetRow
}

type platformValue struct {
	revision table.Revision
	raw      []byte
}

// index returns the values whose names start with prefix, sorted by name.
func (s *platformSnapshot) index(prefix string) configuration.Index {
	i := configuration.Index{Revision: s.revision, Values: []configuration.IndexRow{}}
	for _, name := range slices.Sorted(maps.Keys(s.values)) {
		if strings.HasPrefix(name, prefix) {
			i.Values = append(i.Values, configuration.IndexRow{Name: name, Revision: s.values[name].revision})
		}
	}
	return i
}

// changedAt returns the highest revision at which a value under prefix was written or deleted.
func (s *platformSnapshot) changedAt(prefix string) table.Revision {
	var highest table.Revision
	for name, value := range s.values {
		if strings.HasPrefix(name, prefix) {
			highest = max(highest, value.revision)
		}
	}
	for name, revision := range s.deleted {
		if strings.HasPrefix(name, prefix) {
			highest = max(highest, revision)
		}
	}
	return highest
}

// platformStore holds the snapshots of the store, the newest last.
type platformStore struct {
	mu        sync.Mutex
	snapshots []*platformSnapshot
	// changed is closed and replaced on every change.
	changed chan struct{}
}

func newPlatformStore(revision table.Revision) *platformStore {
	return &platformStore{
		snapshots: []*platformSnapshot{{revision: revision}},
		changed:   make(chan struct{}),
	}
}

// latest returns the current snapshot and a channel that is closed at the next change.
func (s *platformStore) latest() (*platformSnapshot, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.snapshots[len(s.snapshots)-1], s.changed
}

// atRevision returns the newest snapshot that is not above the revision, or the oldest one.
func (s *platformStore) atRevision(revision table.Revision) *platformSnapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := len(s.snapshots) - 1; i > 0; i-- {
		if s.snapshots[i].revision <= revision {
			return s.snapshots[i]
		}
	}
	return s.snapshots[0]
}

// update adds a snapshot at the next revision, modified by edit.
func (s *platformStore) update(edit func(next *platformSnapshot)) table.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.snapshots[len(s.snapshots)-1]
	next := &platformSnapshot{
		revision: last.revision + 1,
		values:   maps.Clone(last.values),
		deleted:  maps.Clone(last.deleted),
		fleet:    last.fleet,
	}
	if next.values == nil {
		next.values = make(map[string]platformValue)
		next.deleted = make(map[string]table.Revision)
	}
	edit(next)
	s.snapshots = append(s.snapshots, next)
	if len(s.snapshots) > maxSnapshots {
		s.snapshots = s.snapshots[1:]
	}
	s.notifyWatchesLocked()
	return next.revision
}

// notifyWatches makes pending watches check the store and the faults again.
func (s *platformStore) notifyWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notifyWatchesLocked()
}

func (s *platformStore) notifyWatchesLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}
