package configuration

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/zeebo/errs"

	"github.com/bilberrywood/bilberrywood/table"
)

// Defaults of a Watcher's fields.
const (
	// DefaultLongPollTimeout is shorter than the service allows: a connection that has gone silent is noticed
	// after the wait plus 2 s, within the 5 s in which a change must be in force. 52 readers cause
	// about 17 calls per second with it, of 2,000.
	DefaultLongPollTimeout = 3 * time.Second
	// DefaultFleetInterval is how often the fleet list is read.
	DefaultFleetInterval = 3 * time.Second
	// DefaultMinInterval is the least time between two watches. With it 52 readers stay below 800
	// calls per second, however fast the tables change.
	DefaultMinInterval = 200 * time.Millisecond
	// DefaultMinBackoff and DefaultMaxBackoff bound the pause after a failed call.
	DefaultMinBackoff = 200 * time.Millisecond
	DefaultMaxBackoff = 3 * time.Second
)

// Watcher follows the tables and the fleet list while it is active; only entries that are readers are.
// Exported fields are set before Run.
type Watcher struct {
	Client *Client
	// OnSnapshot is called with each snapshot of the tables that differs from the one before and is
	// not older in the store, and OnFleet with each fleet list that is not older. Each is called from
	// one goroutine at a time and must not call Once. The revision of a snapshot may be lower than before when
	// a value that is no table was deleted; table.Acceptor decides.
	OnSnapshot func(table.Snapshot)
	OnFleet    func(FleetList)
	// Wait, FleetInterval, MinInterval, MinBackoff and MaxBackoff have defaults that stand for 0.
	LongPollTimeout time.Duration
	FleetInterval   time.Duration
	MinInterval     time.Duration
	MinBackoff      time.Duration
	MaxBackoff      time.Duration
	// Random returns a number from 0 to 1 for jitter; nil means the runtime's generator.
	Random func() float64
	Log    zerolog.Logger

	once    sync.Once
	stop    context.CancelFunc
	stopped chan struct{}

	runState  runState
	tables    tableState
	fleetList fleetListState
	status    statusState
}

// tableState is guarded by mu, which is held during a read so that reads don't overlap.
type tableState struct {
	mu     sync.Mutex
	reader snapshotReader
	// last is the newest index whose tables were handed on or are the same as those. Its store
	// revision is the one that a watch starts from.
	last Index
	// revision is the revision of the last snapshot; written with mu held, read by Status without.
	revision atomic.Uint64
}

// Run follows the platform until ctx ends or Close is called. It is called once.
func (w *Watcher) Run(ctx context.Context) {
	w.init()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w.runState.mu.Lock()
	w.stop = cancel
	closed := w.runState.closed
	w.runState.running = true
	w.runState.mu.Unlock()
	defer close(w.stopped)
	if closed {
		return
	}
	var group sync.WaitGroup
	group.Go(func() { w.runState.whileActive(ctx, w.watchTables) })
	group.Go(func() { w.runState.whileActive(ctx, w.pollFleet) })
	group.Wait()
}

// Close ends Run and waits for it. No callback runs afterwards.
func (w *Watcher) Close() error {
	w.init()
	w.runState.mu.Lock()
	w.runState.closed = true
	running := w.runState.running
	if w.stop != nil {
		w.stop()
	}
	w.runState.mu.Unlock()
	if running {
		<-w.stopped
	}
	return nil
}

// SetActive switches the calls to the platform on or off. Calls under way are cancelled when it is
// switched off. It may be called before Run.
func (w *Watcher) SetActive(active bool) {
	w.init()
	w.runState.set(active)
}

// PollOnce reads the tables and the fleet list one time, whether or not the watcher is active, for an entry
// that has heard of no working reader.
func (w *Watcher) PollOnce(ctx context.Context) error {
	w.init()
	var g errs.Group
	index, err := w.Client.Index(ctx, table.KeyPrefix)
	if err == nil {
		err = w.deliver(ctx, index)
	}
	g.Add(w.recordResult(err))
	g.Add(w.recordResult(w.readFleet(ctx)))
	return g.Err()
}

// watchTables reads the tables whenever they have changed, until ctx ends.
func (w *Watcher) watchTables(ctx context.Context) {
	pause := w.newBackoff()
	index, err := w.Client.Index(ctx, table.KeyPrefix)
	for started := time.Now(); ; {
		if err == nil {
			err = w.deliver(ctx, index)
		}
		if ctx.Err() != nil {
			return
		}
		if w.recordResult(err) != nil {
			sleep(ctx, pause.next())
			index, err = w.Client.Index(ctx, table.KeyPrefix)
			continue
		}
		pause.reset()
		sleep(ctx, w.MinInterval-time.Since(started))
		started = time.Now()
		index, err = w.Client.Watch(ctx, table.KeyPrefix, w.watchRevision(), w.LongPollTimeout)
	}
}

func (w *Watcher) watchRevision() table.Revision {
	w.tables.mu.Lock()
	defer w.tables.mu.Unlock()
	return w.tables.last.Revision
}

// deliver hands on the snapshot that index shows, if it is not the last one. An index at a lower revision
// of the store comes from a stale replica of the service and is ignored.
func (w *Watcher) deliver(ctx context.Context, index Index) error {
	t := &w.tables
	t.mu.Lock()
	defer t.mu.Unlock()
	if w.staleOrUnchanged(index) {
		return nil
	}
	s, verified, err := t.reader.read(ctx, index)
	if err != nil || w.staleOrUnchanged(verified) {
		return err
	}
	t.last = verified
	t.revision.Store(uint64(s.Revision))
	w.Log.Info().Uint64("revision", uint64(s.Revision)).Msg("read new tables from the platform")
	if w.OnSnapshot != nil {
		w.OnSnapshot(s)
	}
	return nil
}

// staleOrUnchanged reports whether index is stale or shows the tables that were handed on last.
func (w *Watcher) staleOrUnchanged(index Index) bool {
	last := &w.tables.last
	switch {
	case index.Revision < last.Revision:
		w.recordStaleResponse(index.Revision, last.Revision)
		return true
	case slices.Equal(index.Values, last.Values):
		last.Revision = index.Revision
		return true
	}
	return false
}

func (w *Watcher) init() {
	w.once.Do(func() {
		w.stopped = make(chan struct{})
		w.runState.changed = make(chan struct{})
		w.tables.reader.client = w.Client
		defaults := []struct {
			field *time.Duration
			value time.Duration
		}{
			{&w.LongPollTimeout, DefaultLongPollTimeout},
			{&w.FleetInterval, DefaultFleetInterval},
			{&w.MinInterval, DefaultMinInterval},
			{&w.MinBackoff, DefaultMinBackoff},
			{&w.MaxBackoff, DefaultMaxBackoff},
		}
		for _, d := range defaults {
			if *d.field == 0 {
				*d.field = d.value
			}
		}
	})
}

// ReadFleet reads the fleet list once, whether or not the watcher is active. A failure shows in the status.
func (w *Watcher) ReadFleet(ctx context.Context) {
	w.init()
	_ = w.recordResult(w.readFleet(ctx))
}
