package entry

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/bilberrywood/bilberrywood/fleet"
	"github.com/bilberrywood/bilberrywood/notice"
	"github.com/bilberrywood/bilberrywood/peer"
	"github.com/bilberrywood/bilberrywood/pool"
	"github.com/bilberrywood/bilberrywood/settings"
	"github.com/bilberrywood/bilberrywood/target"
)

// tickEvery is the period of the systems: membership, cells and their decisions.
const tickEvery = 50 * time.Millisecond

// Entry is the daemon. The exported fields are set before Run.
type Entry struct {
	// Settings have passed their Check.
	Settings settings.Entry
	Log      zerolog.Logger
	// Metrics is where counters and timers are registered; nil means a registry of its own.
	Metrics metrics.Registry
	// LogLines, if set, gives operators the last log lines and those that follow.
	LogLines *LogLines
	// NewSource builds the source of the tables; nil means the configuration service of the settings.
	NewSource func(OfferFunc) Source
	// CallerProtocol is how callers speak to the entry; nil means DefaultCallerProtocol.
	CallerProtocol *CallerProtocol
	// ExtraListeners are further interfaces that Run serves and closes.
	ExtraListeners []Listener
	// TargetProtocol is how targets are spoken to; nil means target.DefaultProtocol.
	TargetProtocol *target.Protocol

	start     time.Time
	register  *notice.Deduplicator
	config    config
	fleet     fleetState
	cells     *cellSet
	client    *target.Client
	node      *peer.Node
	source    Source
	requests  requestCount
	answers   answerClock
	counters  counters
	callers   *http.Server
	operators *http.Server
	extras    []*http.Server
	// background counts the goroutines that Run waits for.
	background sync.WaitGroup
	state      atomic.Uint32
	lastTick   atomic.Int64
	faults     faults
	paths      paths
	fetches    fetches
	// links are the states of the links at the last tick; only the tick uses them.
	links map[fleet.EntryID]fleet.LinkState
}

// now returns the monotonic time since the start for decisions.
func (e *Entry) now() pool.Time { return pool.Time(time.Since(e.start)) }

// sinceStart returns the monotonic time since the start.
func (e *Entry) sinceStart() time.Duration { return time.Since(e.start) }

// intN returns a random number in [0, n).
func (e *Entry) intN(n int) int { return rand.IntN(n) }

func (e *Entry) setState(s fleet.State) {
	e.state.Store(uint32(s))
	e.fleet.update(e.sinceStart(), func(m *fleet.Membership) { m.SetState(e.sinceStart(), s) })
	e.Log.Info().Str("event", "stateChanged").Str("state", stateNames[s]).Msg("entry changed its state")
}

var stateNames = map[fleet.State]string{
	fleet.StateStarting: "starting", fleet.StateServing: "serving", fleet.StateLeaving: "leaving",
}

// Run serves until ctx ends and then stops without cutting off requests, as far as
// Settings.StopLimitMs allows. Errors are of class Error and mean that the entry could not serve.
func (e *Entry) Run(ctx context.Context) error {
	var err error
	if e.faults, err = readFaults(); err != nil {
		return err
	}
	e.prepare()
	work, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	if err := e.node.Start(); err != nil {
		return Error.Wrap(err)
	}
	e.background.Go(func() { every(work, tickEvery, e.tick) })
	if err := e.listen(); err != nil {
		stopWork()
		e.close()
		return err
	}
	if !e.faults.platformFirst {
		e.join(ctx)
	}
	e.background.Go(func() { every(work, catchUpEvery, func() { e.catchUp(work) }) })
	e.background.Go(func() { e.source.Run(work) })
	e.awaitTables(ctx)
	e.setState(fleet.StateServing)
	<-ctx.Done()
	e.stop()
	stopWork()
	e.close()
	return nil
}

// prepare builds the parts from the settings.
func (e *Entry) prepare() {
	e.start = time.Now()
	e.links = make(map[fleet.EntryID]fleet.LinkState)
	if e.Metrics == nil {
		e.Metrics = metrics.NewRegistry()
	}
	s := &e.Settings
	e.Log = e.Log.With().Str("entry", string(s.ID)).Logger()
	incarnation := fleet.NewIncarnation(e.start.UnixMilli(), rand.Uint64())
	e.register = &notice.Deduplicator{
		Entry: s.ID, Incarnation: incarnation,
		Limits: notice.Limits{
			MaxIDs: s.NoticeIDs, MaxTotalResponseBytes: s.AnswerBytes, MaxResponseBytes: s.AnswerBytes / maxAnswerShare,
			ResponseTTL: keepAnswers,
		},
	}
	e.counters.register(e.Metrics, e)
	e.config.acceptor.OnOffer = e.config.ruled
	e.config.log, e.config.self, e.config.changed = e.Log, s.ID, e.tablesChanged
	e.fleet.membership = e.membership(incarnation)
	e.fleet.update(0, func(*fleet.Membership) {})
	e.cells = &cellSet{e: e, cells: make(map[fleet.CellKey]*servedCell)}
	e.client = &target.Client{Protocol: e.TargetProtocol}
	e.source = e.newSource()
	e.node = &peer.Node{
		ID: s.ID, Address: s.PeerListen, Handler: e, Log: e.Log,
		TLS: peer.TLSFiles{CA: s.TLS.CA, Certificate: s.TLS.Certificate, Key: s.TLS.Key},
	}
}

// keepAnswers is how long answers are kept for resends.
const keepAnswers = 5 * time.Minute

func (e *Entry) membership(incarnation fleet.Incarnation) *fleet.Membership {
	s := &e.Settings
	m := &fleet.Membership{
		ID: s.ID, Incarnation: incarnation, FailureDomain: s.FailureDomain,
		PeerAddress: s.PeerAddress, CallerAddress: s.CallerAddress, Capacity: s.VM.CapacityClass(),
		Timing: fleet.Timing{
			HeartbeatInterval: settings.Millis(s.HeartbeatMs), SlowHeartbeatInterval: settings.Millis(s.SlowHeartbeatMs), SuspectTimeout: settings.Millis(s.SuspectMs),
			GoneTimeout: settings.Millis(s.GoneMs), HandoverDelay: settings.Millis(s.HandoverMs), TickInterval: tickEvery,
		},
		Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	for _, seed := range s.Seeds {
		m.Seeds = append(m.Seeds, fleet.Seed{ID: seed.ID, PeerAddress: seed.PeerAddress})
	}
	return m
}

// tablesChanged gives the cells a new pair, so that no request is placed by the former one until the next tick, and
// announces it to peers.
func (e *Entry) tablesChanged(f *inForce) {
	if e.cells != nil {
		e.cells.apply(f)
	}
	e.fleet.update(e.sinceStart(), func(m *fleet.Membership) {
		m.SetAcceptedRevision(e.sinceStart(), f.pair.Revision, f.pair.Digest, f.fromPeer)
		m.Groups = f.pair.Pools.FleetGroups
		m.ShardDomains = f.shards
	})
}

// every calls f each period until ctx ends.
func every(ctx context.Context, period time.Duration, f func()) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f()
		}
	}
}

// tick runs each system once.
func (e *Entry) tick() {
	started := time.Now()
	e.lastTick.Store(int64(e.sinceStart()))
	v := e.fleet.view()
	if force := e.config.current(); force != nil {
		e.noteLinks(v)
		e.cells.adopt(force, v)
		claims, poison := e.cells.tick(force, v)
		e.watchPaths()
		e.fleet.mu.Lock()
		e.fleet.membership.SetClaims(claims)
		e.fleet.membership.SetPoison(poison)
		e.fleet.mu.Unlock()
	}
	e.source.SetActive(e.mayRead(v))
	var out []fleet.OutgoingHeartbeat
	e.fleet.update(e.sinceStart(), func(m *fleet.Membership) {
		m.SetReader(e.platformWorking())
		m.SetHub(e.sinceStart(), v.RanksAsHub(e.config.ownCells()))
		m.SetEpoch(uint32(e.register.Binding(e.sinceStart()).Epoch))
		out = m.Tick(e.sinceStart())
	})
	for _, o := range out {
		e.node.SendHeartbeat(o)
	}
	e.counters.tick.UpdateSince(started)
}

// maxTickAge is how old the last tick may be when a request is about to be written. A process
// that was paused must not act on what it believed before the pause.
const maxTickAge = 500 * time.Millisecond

// beforeWrite is the last check before the first byte of a request leaves.
func (e *Entry) beforeWrite(deadline time.Time) error {
	if !time.Now().Before(deadline) {
		return target.ErrDeadline
	}
	if age := e.sinceStart() - time.Duration(e.lastTick.Load()); age > maxTickAge {
		return Error.New("the last tick is %v old; this process was paused", age)
	}
	return nil
}

// listen opens the two HTTP servers.
func (e *Entry) listen() error {
	s := &e.Settings
	e.callers = e.server(e.callerRoutes())
	e.operators = e.server(e.operatorRoutes())
	type served struct {
		address string
		server  *http.Server
	}
	servers := []served{{s.CallerAddress, e.callers}, {s.OperatorAddress, e.operators}}
	for _, x := range e.ExtraListeners {
		server := e.server(x.Handler)
		e.extras = append(e.extras, server)
		servers = append(servers, served{x.Address, server})
	}
	for _, l := range servers {
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			return Error.Wrap(err)
		}
		e.background.Go(func() {
			// Serve always returns an error; after Shutdown it is ErrServerClosed.
			if err := l.server.Serve(listener); err != http.ErrServerClosed {
				e.Log.Error().Str("event", "serverFailed").Err(err).Msg("HTTP server ended")
			}
		})
	}
	return nil
}

// callerRoutes returns the callers' interface.
func (e *Entry) callerRoutes() http.Handler {
	r := echo.New()
	r.HideBanner, r.HidePort = true, true
	if !e.dialect().RetriesOnlyNotRun {
		r.GET("/v1/addresses", e.addresses)
	}
	r.Any("/*", e.serve)
	return r
}

// Time limits of the HTTP servers that don't depend on a route.
const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 60 * time.Second
)

func (e *Entry) server(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    e.Settings.MaxHeaderBytes,
	}
}

// close ends what Run started and waits for it.
func (e *Entry) close() {
	_ = e.operators.Close()
	for _, s := range e.extras {
		_ = s.Close()
	}
	_ = e.callers.Close()
	e.cells.close()
	_ = e.client.Close()
	_ = e.node.Close()
	e.background.Wait()
}
