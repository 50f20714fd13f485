package standin

import (
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/bilberrywood/bilberrywood/configuration"
	"github.com/bilberrywood/bilberrywood/table"
)

// keptViews is how many former states of the store can be served as stale ones.
const keptViews = 1000

// platformView is the state of the store at one revision. It is immutable.
type platformView struct {
	revision table.Revision
	values   map[string]platformValue
	// deleted holds the revisions of deletions, which change the index as well.
	deleted map[string]table.Revision
	fleet   []configuration.FleetRow
}

type platformValue struct {
	revision table.Revision
	raw      []byte
}

// index returns the values whose names start with prefix, ordered by name.
func (v *platformView) index(prefix string) configuration.Index {
	i := configuration.Index{Revision: v.revision, Values: []configuration.IndexRow{}}
	for _, name := range slices.Sorted(maps.Keys(v.values)) {
		if strings.HasPrefix(name, prefix) {
			i.Values = append(i.Values, configuration.IndexRow{Name: name, Revision: v.values[name].revision})
		}
	}
	return i
}

// changedAt returns the highest revision at which a value under prefix was put or deleted.
func (v *platformView) changedAt(prefix string) table.Revision {
	var highest table.Revision
	for name, value := range v.values {
		if strings.HasPrefix(name, prefix) {
			highest = max(highest, value.revision)
		}
	}
	for name, revision := range v.deleted {
		if strings.HasPrefix(name, prefix) {
			highest = max(highest, revision)
		}
	}
	return highest
}

// platformStore holds the views of the store, the newest last.
type platformStore struct {
	mu    sync.Mutex
	views []*platformView
	// changed is closed and replaced with every change.
	changed chan struct{}
}

func newPlatformStore(revision table.Revision) *platformStore {
	return &platformStore{
		views:   []*platformView{{revision: revision}},
		changed: make(chan struct{}),
	}
}

// newest returns the current view and a channel that is closed when there is another.
func (s *platformStore) newest() (*platformView, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.views[len(s.views)-1], s.changed
}

// at returns the newest view that is not above the revision, or the oldest one.
func (s *platformStore) at(revision table.Revision) *platformView {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := len(s.views) - 1; i > 0; i-- {
		if s.views[i].revision <= revision {
			return s.views[i]
		}
	}
	return s.views[0]
}

// update adds a view at the next revision, changed by edit.
func (s *platformStore) update(edit func(next *platformView)) table.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.views[len(s.views)-1]
	next := &platformView{
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
	s.views = append(s.views, next)
	if len(s.views) > keptViews {
		s.views = s.views[1:]
	}
	s.wakeLocked()
	return next.revision
}

// wake lets pending watches look again.
func (s *platformStore) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wakeLocked()
}

func (s *platformStore) wakeLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}
