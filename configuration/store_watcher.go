package configuration

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/bilberrywood/bilberrywood/table"
)

// ErrCompacted means that a store no longer has all changes after a revision, so that it must be listed
// again.
var ErrCompacted = Error.New("the store has compacted these changes")

// Change is one change in a store. At most one of Definition, Registration and Deregistered is set.
type Change struct {
	Definition   *table.Definition
	Registration *table.Registration
	// Deregistered is a target whose registration was removed.
	Deregistered table.TargetID
	// Notes say what could not be taken as the store has it although the change holds.
	Notes []string
	// Key is the key of the change, for logs. Err says why the change could not be decoded.
	Key string
	Err error
}

// Changes are the changes up to a revision of the store.
type Changes struct {
	Revision table.Revision
	Changes  []Change
}

// Store is a store to which operators publish definitions, and in which targets register themselves.
//
// It may be restored from a copy that lacks its latest changes. Its revisions then have a higher era.
type Store interface {
	// List returns the complete content of the store. It may include changes after the returned
	// revision.
	List(ctx context.Context) (Changes, error)
	// Watch returns the changes after a revision as soon as there are any, or none after wait. The error
	// is ErrCompacted if the store no longer has all of these changes.
	Watch(ctx context.Context, after table.Revision, wait time.Duration) (Changes, error)
}

// Default values of the fields of a StoreWatcher.
const (
	// DefaultStoreMinInterval is the minimum time between two calls. Targets renew their registrations
	// all the time, so that each call returns changes. Two calls per second are well within the 2 s in
	// which a change must become active, and they use little of the rate limit that applies to the whole
	// fleet.
	DefaultStoreMinInterval = 500 * time.Millisecond
	// DefaultStoreLongPollTimeout is how long one call waits for a change. It is short, so that a silent
	// connection is detected soon.
	DefaultStoreLongPollTimeout = 700 * time.Millisecond
	// minStoreBackoff and maxStoreBackoff are the bounds of the delay after a failed call.
	minStoreBackoff = 100 * time.Millisecond
	maxStoreBackoff = time.Second
	// unreachableAfter is the time without a successful call after which the store counts as
	// unreachable. It is longer than a long poll and the interval after it.
	unreachableAfter = 2 * time.Second
	// expireAfter is how long the store must be unreachable before registrations can expire for that
	// reason. Targets renew them every 1.5 s, and a renewal is valid for three times as long. Part of this
	// time has passed when the store becomes unreachable.
	expireAfter = 3500 * time.Millisecond
)

// StoreWatcher turns the changes of a Store into snapshots of the tables. Its exported fields are set
// before Run.
type StoreWatcher struct {
	Store Store
	// Registry builds the tables from the definition and the registrations. Its exported fields are set
	// before Run.
	Registry table.Registry
	// OnSnapshot is called with each snapshot that differs from the previous one.
	OnSnapshot func(table.Snapshot)
	// ReadByPeers reports whether another entry has read the store recently. If one has, although this
	// entry could not, the store was reachable, and missing registrations were removed and did not
	// expire. Nil means no.
	ReadByPeers func() bool
	Log         zerolog.Logger
	// MinInterval and LongPollTimeout are set to their defaults if they are 0.
	MinInterval, LongPollTimeout time.Duration

	once        sync.Once
	runState    runState
	status      statusState
	calls       counters
	revision    table.Revision
	digest      uint64
	unreachable bool
	// readByPeers says that another entry read the store while this entry could not reach it.
	readByPeers bool
	// graceUntil is the end of the grace period of targets whose registrations expired while the store
	// was unreachable.
	graceUntil time.Time
}

func (w *StoreWatcher) init() {
	w.once.Do(func() {
		w.runState.changed = make(chan struct{})
		if w.MinInterval == 0 {
			w.MinInterval = DefaultStoreMinInterval
		}
		if w.LongPollTimeout == 0 {
			w.LongPollTimeout = DefaultStoreLongPollTimeout
		}
	})
}

// Run watches the store while the watcher is active, until ctx ends. It must be called only once.
func (w *StoreWatcher) Run(ctx context.Context) {
	w.init()
	w.runState.whileActive(ctx, w.watch)
}

// SetActive starts or stops the calls to the store.
func (w *StoreWatcher) SetActive(active bool) {
	w.init()
	w.runState.set(active)
}

// Status returns the state of the watcher.
func (w *StoreWatcher) Status() Status {
	w.init()
	active, _ := w.runState.get()
	w.status.mu.Lock()
	defer w.status.mu.Unlock()
	return Status{
		Active: active, LastResponse: w.status.lastResponse, LastError: w.status.lastError,
		Revision: w.status.revision, Calls: w.calls.snapshot(),
	}
}

// watch reads changes until ctx ends. It lists the store first, because nothing was read while the
// watcher was not active.
func (w *StoreWatcher) watch(ctx context.Context) {
	retryBackoff := &backoff{minDelay: minStoreBackoff, maxDelay: maxStoreBackoff, random: rand.Float64}
	listed := false
	for ctx.Err() == nil {
		started := time.Now()
		changes, err := w.fetch(ctx, listed)
		if ctx.Err() != nil {
			return
		}
		w.recordResult(err)
		switch {
		case errors.Is(err, ErrCompacted):
			w.Log.Info().Str("event", "storeCompacted").Stringer("revision", w.revision).
				Msg("the store does not have the changes since this revision; listing it")
			listed = false
			continue
		case err != nil:
			sleep(ctx, retryBackoff.next())
			continue
		case changes.Revision.Era() < w.revision.Era():
			w.Log.Warn().Str("event", "storeResponseIgnored").Stringer("revision", changes.Revision).Stringer("highest", w.revision).
				Msg("ignored a response from before the store was restored")
			sleep(ctx, retryBackoff.next())
			continue
		case w.revision > 0 && changes.Revision.Era() > w.revision.Era():
			w.storeRestored(changes.Revision)
			if listed {
				// The changes follow a revision of the former era.
				listed = false
				continue
			}
		}
		retryBackoff.reset()
		w.applyChanges(changes, !listed)
		listed = true
		sleep(ctx, w.MinInterval-time.Since(started))
	}
}

func (w *StoreWatcher) fetch(ctx context.Context, listed bool) (Changes, error) {
	if !listed {
		w.calls.recordCall(OperationIndex)
		return w.Store.List(ctx)
	}
	w.calls.recordCall(OperationWatch)
	return w.Store.Watch(ctx, w.revision, w.LongPollTimeout)
}

// recordResult updates the status. It logs when the store becomes unreachable and when it is reachable
// again.
func (w *StoreWatcher) recordResult(err error) {
	s := &w.status
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil && !errors.Is(err, ErrCompacted) {
		w.calls.recordFailure()
		s.lastError = err.Error()
		unreachableFor := time.Since(s.lastResponse)
		if unreachableFor > expireAfter && w.ReadByPeers != nil {
			w.readByPeers = w.readByPeers || w.ReadByPeers()
		}
		if !w.unreachable && unreachableFor > unreachableAfter {
			w.unreachable = true
			w.Log.Warn().Str("event", "storeLost").Time("lastAnswer", s.lastResponse).Err(err).Msg("the store is unreachable; the active tables stay in use")
		}
		return
	}
	now := time.Now()
	if w.unreachable {
		unreachableFor := now.Sub(s.lastResponse)
		if unreachableFor > expireAfter && !w.readByPeers {
			w.graceUntil = now.Add(w.Registry.GracePeriod)
		}
		w.Log.Info().Str("event", "storeRegained").Dur("away", unreachableFor).Bool("othersRead", w.readByPeers).
			Time("heldUntil", w.graceUntil).Msg("the store is reachable again")
	}
	w.unreachable, w.readByPeers = false, false
	s.lastError, s.lastResponse = "", now
}

// storeRestored prepares for the content of a store that was restored from a copy. The copy may lack targets that are
// alive; they register again. The tables are delivered again, with a revision of the new era, because one of the former
// era ranks below the copy's tables, which an entry without tables may have accepted.
func (w *StoreWatcher) storeRestored(to table.Revision) {
	w.graceUntil = time.Now().Add(w.Registry.GracePeriod)
	w.Log.Warn().Str("event", "storeRestored").Stringer("from", w.revision).Stringer("to", to).Time("heldUntil", w.graceUntil).
		Msg("the store was restored from a copy; listing it")
	w.digest = 0
	// No table of the new era has been read yet.
	w.revision = to - table.Revision(to.Number())
}

// applyChanges applies changes to the registry and delivers the tables if they differ from the last
// ones. complete says that the changes are the complete content of the store.
func (w *StoreWatcher) applyChanges(changes Changes, complete bool) {
	now := time.Now()
	listed := make(map[table.TargetID]bool)
	for _, c := range changes.Changes {
		w.applyChange(c, changes.Revision, now, listed)
	}
	if complete {
		w.Registry.DeregisterMissing(listed, now, w.graceUntil)
	}
	w.Registry.Expire(now)
	w.revision = max(w.revision, changes.Revision)
	w.deliver()
}

func (w *StoreWatcher) applyChange(c Change, at table.Revision, now time.Time, listed map[table.TargetID]bool) {
	switch {
	case c.Err != nil:
		w.Log.Warn().Str("event", "storeValueIgnored").Str("key", c.Key).Err(c.Err).Msg("ignored an invalid value in the store")
		if c.Deregistered != "" {
			w.Registry.Deregister(c.Deregistered, now, now)
		}
	case c.Definition != nil:
		for _, note := range c.Notes {
			w.Log.Warn().Str("event", "definitionQuestionable").Str("key", c.Key).Str("note", note).Msg("part of the operators' definition is not taken as it stands")
		}
		applied := w.Registry.SetDefinition(*c.Definition)
		w.Log.Info().Str("event", "definitionRead").Int64("version", c.Definition.Routes.Version).Stringer("revision", at).
			Bool("applied", applied).Msg("read the operators' definition")
	case c.Registration != nil:
		listed[c.Registration.ID] = true
		w.Registry.Register(*c.Registration)
	case c.Deregistered != "":
		w.Registry.Deregister(c.Deregistered, now, w.graceUntil)
	}
}

func (w *StoreWatcher) deliver() {
	if !w.Registry.HasDefinition() || w.OnSnapshot == nil {
		return
	}
	values, err := w.Registry.Values()
	if err != nil {
		w.Log.Error().Str("event", "tablesNotBuilt").Err(err).Msg("the tables could not be encoded")
		return
	}
	digest := table.Digest(values)
	if digest == w.digest {
		return
	}
	w.digest = digest
	w.status.mu.Lock()
	w.status.revision = w.revision
	w.status.mu.Unlock()
	w.OnSnapshot(table.Snapshot{Revision: w.revision, Values: values})
}
