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
	// minFollowBackoff and maxFollowBackoff bound the pause after a failed call.
	minFollowBackoff = 100 * time.Millisecond
	maxFollowBackoff = time.Second
	// awayAfter is how long no call may succeed before the store counts as away: more than a call that waits
	// and the pause after it.
	awayAfter = 2 * time.Second
	// lapseAfter is how long the store must have been away for registrations to lapse because of that: targets
	// renew them every 1.5 s and they hold for three times as long, less the time since the last renewal.
	lapseAfter = 3500 * time.Millisecond
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

	once     sync.Once
	activity activity
	status   statusState
	counts   counters
	revision table.Revision
	digest   uint64
	away     bool
	// othersRead says that another entry read the store while it was away for this one.
	othersRead bool
	// heldUntil is until when targets are kept whose registrations lapsed while the store was away.
	heldUntil time.Time
}

func (f *StoreWatcher) init() {
	f.once.Do(func() {
		f.activity.changed = make(chan struct{})
		if f.MinInterval == 0 {
			f.MinInterval = DefaultStoreMinInterval
		}
		if f.LongPollTimeout == 0 {
			f.LongPollTimeout = DefaultStoreLongPollTimeout
		}
	})
}

// Run follows the store while the follower is active, until ctx ends. It is called once.
func (f *StoreWatcher) Run(ctx context.Context) {
	f.init()
	f.activity.whileActive(ctx, f.follow)
}

// SetActive switches the calls to the store on or off.
func (f *StoreWatcher) SetActive(active bool) {
	f.init()
	f.activity.set(active)
}

// Status returns the state of the follower.
func (f *StoreWatcher) Status() Status {
	f.init()
	active, _ := f.activity.get()
	f.status.mu.Lock()
	defer f.status.mu.Unlock()
	return Status{
		Active: active, LastResponse: f.status.lastAnswer, LastError: f.status.lastError,
		Revision: f.status.revision, Calls: f.counts.snapshot(),
	}
}

// follow reads changes until ctx ends. It begins with a listing, because nothing was read while the follower
// was not active.
func (f *StoreWatcher) follow(ctx context.Context) {
	pause := &backoff{least: minFollowBackoff, most: maxFollowBackoff, random: rand.Float64}
	listed := false
	for ctx.Err() == nil {
		started := time.Now()
		changes, err := f.read(ctx, listed)
		if ctx.Err() != nil {
			return
		}
		f.noteResult(err)
		switch {
		case errors.Is(err, ErrCompacted):
			listed = false
			continue
		case err != nil:
			sleep(ctx, pause.next())
			continue
		}
		pause.reset()
		f.take(changes, !listed)
		listed = true
		sleep(ctx, f.MinInterval-time.Since(started))
	}
}

func (f *StoreWatcher) read(ctx context.Context, listed bool) (Changes, error) {
	if !listed {
		f.counts.called(OperationIndex)
		return f.Store.List(ctx)
	}
	f.counts.called(OperationWatch)
	return f.Store.Watch(ctx, f.revision, f.LongPollTimeout)
}

// noteResult keeps the status, and logs when the store is lost and when it is back.
func (f *StoreWatcher) noteResult(err error) {
	s := &f.status
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil && !errors.Is(err, ErrCompacted) {
		f.counts.failed()
		s.lastError = err.Error()
		away := time.Since(s.lastAnswer)
		if away > lapseAfter && f.ReadByPeers != nil {
			f.othersRead = f.othersRead || f.ReadByPeers()
		}
		if !f.away && away > awayAfter {
			f.away = true
			f.Log.Warn().Str("event", "storeLost").Time("lastAnswer", s.lastAnswer).Err(err).Msg("the store does not answer; the tables in force stay")
		}
		return
	}
	now := time.Now()
	if f.away {
		away := now.Sub(s.lastAnswer)
		if away > lapseAfter && !f.othersRead {
			f.heldUntil = now.Add(f.Registry.GracePeriod)
		}
		f.Log.Info().Str("event", "storeRegained").Dur("away", away).Bool("othersRead", f.othersRead).
			Time("heldUntil", f.heldUntil).Msg("the store answers again")
	}
	f.away, f.othersRead = false, false
	s.lastError, s.lastAnswer = "", now
}

// take applies changes to the roster and hands on the tables if they differ. whole says that the changes are a
// listing of everything.
func (f *StoreWatcher) take(changes Changes, whole bool) {
	now := time.Now()
	named := make(map[table.TargetID]bool)
	for _, c := range changes.Changes {
		f.apply(c, now, named)
	}
	if whole {
		f.Registry.DeregisterMissing(named, now, f.heldUntil)
	}
	f.Registry.Expire(now)
	f.revision = max(f.revision, changes.Revision)
	f.emit()
}

func (f *StoreWatcher) apply(c Change, now time.Time, named map[table.TargetID]bool) {
	switch {
	case c.Err != nil:
		f.Log.Warn().Str("event", "storeValueIgnored").Str("key", c.Key).Err(c.Err).Msg("a value in the store can't be used")
		if c.Deregistered != "" {
			f.Registry.Deregister(c.Deregistered, now, now)
		}
	case c.Definition != nil:
		f.Registry.SetDefinition(*c.Definition)
	case c.Registration != nil:
		named[c.Registration.ID] = true
		f.Registry.Register(*c.Registration)
	case c.Deregistered != "":
		f.Registry.Deregister(c.Deregistered, now, f.heldUntil)
	}
}

func (f *StoreWatcher) emit() {
	if !f.Registry.HasDefinition() || f.OnSnapshot == nil {
		return
	}
	values, err := f.Registry.Values()
	if err != nil {
		f.Log.Error().Str("event", "tablesNotBuilt").Err(err).Msg("the tables could not be written")
		return
	}
	digest := table.Digest(values)
	if digest == f.digest {
		return
	}
	f.digest = digest
	f.status.mu.Lock()
	f.status.revision = f.revision
	f.status.mu.Unlock()
	f.OnSnapshot(table.Snapshot{Revision: f.revision, Values: values})
}
