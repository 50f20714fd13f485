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

// Default values of the fields of a Watcher.
const (
	// DefaultLongPollTimeout is shorter than the service allows: a silent connection is detected after
	// this time plus 2 s, within the 5 s in which a change must become active. With it 52 readers make
	// about 17 of the allowed 2,000 calls per second.
	DefaultLongPollTimeout = 3 * time.Second
	// DefaultFleetInterval is the mean time between two reads of the fleet list.
	DefaultFleetInterval = 3 * time.Second
	// DefaultMinInterval is the minimum time between two watches. With it 52 readers make fewer than 800
	// calls per second even if the tables change all the time.
	DefaultMinInterval = 200 * time.Millisecond
	// DefaultMinBackoff and DefaultMaxBackoff are the bounds of the delay after a failed call.
	DefaultMinBackoff = 200 * time.Millisecond
	DefaultMaxBackoff = 3 * time.Second
)

// Watcher watches the tables and the fleet list of the platform while it is active. Only the watchers of
// readers are active. Exported fields are set before Run.
type Watcher struct {
	Client *Client
	// OnSnapshot is called with each snapshot of the tables that differs from the previous one and was
	// not read at a lower revision of the store. OnFleet is called with each fleet list that has no
	// lower revision. Each is called by one goroutine at a time and must not call PollOnce. The revision
	// of a snapshot may be lower than the previous one if a value that is no table was deleted. In this
	// case table.Acceptor decides.
	OnSnapshot func(table.Snapshot)
	OnFleet    func(FleetList)
	// LongPollTimeout, FleetInterval, MinInterval, MinBackoff and MaxBackoff are set to their defaults
	// if they are 0.
	LongPollTimeout time.Duration
	FleetInterval   time.Duration
	MinInterval     time.Duration
	MinBackoff      time.Duration
	MaxBackoff      time.Duration
	// Random returns a number in [0, 1) for jitter; nil means rand.Float64.
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
	// last is the newest index with the tables that were delivered last. A watch starts from its
	// revision of the store.
	last Index
	// revision is the revision of the last snapshot. It is written with mu held, and read by Status
	// without.
	revision atomic.Uint64
}

// Run watches the platform until ctx ends or Close is called. It must be called only once.
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

// Close ends Run and waits for it. No callback is called afterwards.
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

// SetActive starts or stops the calls to the platform. When it stops them, pending calls are canceled.
// It may be called before Run.
func (w *Watcher) SetActive(active bool) {
	w.init()
	w.runState.set(active)
}

// PollOnce reads the tables and the fleet list once, whether or not the watcher is active. It is meant
// for entries that know no working reader.
func (w *Watcher) PollOnce(ctx context.Context) error {
	w.init()
	var g errs.Group
	index, err := w.Client.Index(ctx, table.KeyPrefix)
	if err == nil {
		err = w.readTables(ctx, index)
	}
	g.Add(w.recordResult(err))
	g.Add(w.recordResult(w.readFleet(ctx)))
	return g.Err()
}

// watchTables reads the tables whenever they change, until ctx ends.
func (w *Watcher) watchTables(ctx context.Context) {
	retryBackoff := w.newBackoff()
	index, err := w.Client.Index(ctx, table.KeyPrefix)
	for started := time.Now(); ; {
		if err == nil {
			err = w.readTables(ctx, index)
		}
		if ctx.Err() != nil {
			return
		}
		if w.recordResult(err) != nil {
			sleep(ctx, retryBackoff.next())
			index, err = w.Client.Index(ctx, table.KeyPrefix)
			continue
		}
		retryBackoff.reset()
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

// readTables reads the snapshot that index describes and passes it to OnSnapshot, unless it is the last
// one. An index at a lower revision of the store comes from a stale replica of the service and is
// ignored.
func (w *Watcher) readTables(ctx context.Context, index Index) error {
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
	w.Log.Info().Stringer("revision", s.Revision).Msg("read new tables from the platform")
	if w.OnSnapshot != nil {
		w.OnSnapshot(s)
	}
	return nil
}

// staleOrUnchanged reports whether index is stale or lists the tables that were delivered last.
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

// ReadFleet reads the fleet list once, whether or not the watcher is active. A failure is recorded in the
// status.
func (w *Watcher) ReadFleet(ctx context.Context) {
	w.init()
	_ = w.recordResult(w.readFleet(ctx))
}
