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

// ErrCompacted says that a store no longer has the changes after a revision, so that it must be listed anew.
var ErrCompacted = Error.New("the store no longer has this history")

// Change is one change in a store. At most one of the first three fields is set.
type Change struct {
	Definition   *table.Definition
	Registration *table.Registration
	// Deregistered is a target whose registration was removed.
	Deregistered table.TargetID
	// Key names what changed, for logs; Problem says why it could not be read.
	Key string
	Err error
}

// Changes are the changes up to a revision of the store.
type Changes struct {
	Revision table.Revision
	Changes  []Change
}

// Store is a place where operators publish definitions and where targets register themselves.
type Store interface {
	// List returns everything that the store holds. Changes after the revision may be in it already.
	List(ctx context.Context) (Changes, error)
	// Watch returns the changes after a revision as soon as there are any, or none after wait. The error is
	// ErrCompacted if some of them are no longer known.
	Watch(ctx context.Context, after table.Revision, wait time.Duration) (Changes, error)
}

// Defaults of a Follower's fields.
const (
	// DefaultStoreMinInterval is the least time between two calls. Targets renew their registrations all the
	// time, so each call finds changes; twice a second is well within the 2 s in which a change must be in
	// force, and keeps the calls of a reader low, which are limited over the whole fleet.
	DefaultStoreMinInterval = 500 * time.Millisecond
	// DefaultStoreLongPollTimeout is how long one call waits for a change, so that a silent connection is noticed soon.
	DefaultStoreLongPollTimeout = time.Second
	// minStoreBackoff and maxStoreBackoff bound the pause after a failed call.
	minStoreBackoff = 100 * time.Millisecond
	maxStoreBackoff = time.Second
	// unreachableAfter is how long no call may succeed before the store counts as away: more than a call that waits
	// and the pause after it.
	unreachableAfter = 2 * time.Second
	// expireAfter is how long the store must have been away for registrations to lapse because of that: targets
	// renew them every 1.5 s and they hold for three times as long, less the time since the last renewal.
	expireAfter = 3500 * time.Millisecond
)

// StoreWatcher turns the changes of a Store into snapshots of the tables. Its exported fields are set before Run.
type StoreWatcher struct {
	Store Store
	// Registry joins definitions and registrations; its exported fields are set.
	Registry table.Registry
	// OnSnapshot is called with each snapshot that differs from the one before.
	OnSnapshot func(table.Snapshot)
	// ReadByPeers says whether another entry has read the store lately. If one has while this one could not,
	// the store was not away, and registrations that are missing have been removed. Nil means no.
	ReadByPeers func() bool
	Log         zerolog.Logger
	// MinInterval and Wait have defaults that stand for 0.
	MinInterval, LongPollTimeout time.Duration

	once        sync.Once
	runState    runState
	status      statusState
	calls       counters
	revision    table.Revision
	digest      uint64
	unreachable bool
	// readByPeers says that another entry read the store while it was away for this one.
	readByPeers bool
	// graceUntil is until when targets are kept whose registrations lapsed while the store was away.
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

// Run follows the store while the follower is active, until ctx ends. It is called once.
func (w *StoreWatcher) Run(ctx context.Context) {
	w.init()
	w.runState.whileActive(ctx, w.watch)
}

// SetActive switches the calls to the store on or off.
func (w *StoreWatcher) SetActive(active bool) {
	w.init()
	w.runState.set(active)
}

// Status returns the state of the follower.
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

// watch reads changes until ctx ends. It begins with a listing, because nothing was read while the follower
// was not active.
func (w *StoreWatcher) watch(ctx context.Context) {
	pause := &backoff{minDelay: minStoreBackoff, maxDelay: maxStoreBackoff, random: rand.Float64}
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
			listed = false
			continue
		case err != nil:
			sleep(ctx, pause.next())
			continue
		}
		pause.reset()
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

// recordResult keeps the status, and logs when the store is lost and when it is back.
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
			w.Log.Warn().Str("event", "storeLost").Time("lastAnswer", s.lastResponse).Err(err).Msg("the store does not answer; the tables in force stay")
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
			Time("heldUntil", w.graceUntil).Msg("the store answers again")
	}
	w.unreachable, w.readByPeers = false, false
	s.lastError, s.lastResponse = "", now
}

// applyChanges applies changes to the roster and hands on the tables if they differ. whole says that the changes are a
// listing of everything.
func (w *StoreWatcher) applyChanges(changes Changes, complete bool) {
	now := time.Now()
	listed := make(map[table.TargetID]bool)
	for _, c := range changes.Changes {
		w.applyChange(c, now, listed)
	}
	if complete {
		w.Registry.DeregisterMissing(listed, now, w.graceUntil)
	}
	w.Registry.Expire(now)
	w.revision = max(w.revision, changes.Revision)
	w.deliver()
}

func (w *StoreWatcher) applyChange(c Change, now time.Time, listed map[table.TargetID]bool) {
	switch {
	case c.Err != nil:
		w.Log.Warn().Str("event", "storeValueIgnored").Str("key", c.Key).Err(c.Err).Msg("a value in the store can't be used")
		if c.Deregistered != "" {
			w.Registry.Deregister(c.Deregistered, now, now)
		}
	case c.Definition != nil:
		w.Registry.SetDefinition(*c.Definition)
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
		w.Log.Error().Str("event", "tablesNotBuilt").Err(err).Msg("the tables could not be written")
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
