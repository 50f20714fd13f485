package entry

import (
	"context"
	"log"
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
	"github.com/bilberrywood/bilberrywood/table"
	"github.com/bilberrywood/bilberrywood/target"
)

// tickInterval is how often the membership and the decisions of each cell are advanced.
const tickInterval = 50 * time.Millisecond

// Entry is the proxy daemon. Its exported fields must be set before Run.
type Entry struct {
	// Settings must have passed Check.
	Settings settings.Entry
	Log      zerolog.Logger
	// Metrics is the registry of all counters, gauges and timers; nil means a new registry.
	Metrics metrics.Registry
	// LogLines, if set, serves the recent log lines to operators and streams new ones.
	LogLines *LogLines
	// NewSource returns the source of the tables; nil means the configuration service named in the settings.
	NewSource func(OfferFunc) Source
	// CallerProtocol is the protocol of callers; nil means DefaultCallerProtocol.
	CallerProtocol *CallerProtocol
	// ExtraListeners are further HTTP endpoints that Run opens and closes.
	ExtraListeners []Listener
	// TargetProtocol is the protocol of targets; nil means target.DefaultProtocol.
	TargetProtocol *target.Protocol

	startTime     time.Time
	suspension    suspensionClock
	dedup         *notice.Deduplicator
	tables        tableState
	fleet         fleetState
	cells         *cellSet
	quota         *quotaState
	announcements pool.Announcements
	targetClient  *target.Client
	node          *peer.Node
	// sendHeartbeat is node.SendHeartbeat, except in tests.
	sendHeartbeat func(fleet.OutgoingHeartbeat)
	source        Source
	inFlight      inFlight
	// aborted ends when abort is called, which aborts the requests in flight.
	aborted context.Context
	abort   context.CancelCauseFunc
	// lingering counts the connections of callers that are still read after their last response.
	lingering      atomic.Int64
	stalled        stalledReaders
	memory         memoryAccount
	addressClock   addressClock
	counters       counters
	callerServer   *http.Server
	operatorServer *http.Server
	extraServers   []*http.Server
	// background tracks the goroutines that Run waits for.
	background sync.WaitGroup
	state      atomic.Uint32
	lastTick   atomic.Int64
	// stopAt is when a leaving entry aborts the requests in flight, on the clock of sinceStart; 0 while it serves.
	stopAt      atomic.Int64
	faults      faults
	pathMonitor pathMonitor
	pairFetches pairFetches
	// firstReadDelay is how long after the first start of the fleet the seeds alone read the tables.
	firstReadDelay time.Duration
	// peerStatuses has the status of each member at the last tick. Only the tick uses it.
	peerStatuses map[fleet.EntryID]peerStatus
}

// now returns the time since startTime as the cells use it.
func (e *Entry) now() pool.Time { return pool.Time(e.sinceStart()) }

// sinceStart returns the monotonic time since startTime, suspensions of the VM included.
func (e *Entry) sinceStart() time.Duration { return time.Since(e.startTime) + e.suspension.elapsed() }

// intN returns a random number in [0, n).
func (e *Entry) intN(n int) int { return rand.IntN(n) }

func (e *Entry) setState(s fleet.State) {
	e.state.Store(uint32(s))
	e.fleet.update(e.sinceStart(), func(m *fleet.Membership) { m.SetState(e.sinceStart(), s) })
	e.Log.Info().Str("event", "stateChanged").Str("state", stateNames[s]).Msg("entry state changed")
}

var stateNames = map[fleet.State]string{
	fleet.StateStarting: "starting", fleet.StateServing: "serving", fleet.StateLeaving: "leaving",
}

// Run serves until ctx ends and then drains. Requests in flight are aborted only when Settings.StopLimitMs has
// passed. An error is of class Error and means that the entry could not start serving. Failures after the start
// are only logged.
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
	e.background.Go(func() { runEvery(work, tickInterval, e.tick) })
	e.background.Go(func() { e.quota.run(work) })
	if err := e.listen(); err != nil {
		stopWork()
		e.close()
		return err
	}
	if !e.faults.platformFirst {
		e.join(ctx)
	}
	e.background.Go(func() { runEvery(work, syncInterval, func() { e.syncFromPeers(work) }) })
	e.background.Go(func() { e.source.Run(work) })
	e.awaitTables(ctx)
	e.setState(fleet.StateServing)
	<-ctx.Done()
	e.stop()
	stopWork()
	e.close()
	return nil
}

// prepare builds the components from the settings.
func (e *Entry) prepare() {
	e.startTime = time.Now()
	if err := e.suspension.start(); err != nil {
		e.Log.Warn().Str("event", "suspensionsUnnoticed").Err(err).Msg("no clock counts the time that the VM is suspended")
	}
	e.aborted, e.abort = context.WithCancelCause(context.Background())
	e.peerStatuses = make(map[fleet.EntryID]peerStatus)
	e.firstReadDelay = nonSeedReadDelay + rand.N(nonSeedReadSpread)
	if e.Metrics == nil {
		e.Metrics = metrics.NewRegistry()
	}
	s := &e.Settings
	e.Log = e.Log.With().Str("entry", string(s.ID)).Logger()
	incarnation := fleet.NewIncarnation(e.startTime.UnixMilli(), rand.Uint64())
	e.dedup = &notice.Deduplicator{
		Entry: s.ID, Incarnation: incarnation,
		Limits: notice.Limits{
			MaxIDs: s.NoticeIDs, MaxTotalResponseBytes: s.AnswerBytes, MaxResponseBytes: s.AnswerBytes / responseMemoryDivisor,
			ResponseTTL: responseTTL,
		},
	}
	e.counters.register(e.Metrics, e)
	e.openMemory()
	e.tables.acceptor.OnOffer, e.tables.acceptor.Paths = e.tables.onOffer, e.callerProtocol().Paths
	e.tables.log, e.tables.self, e.tables.onChange = e.Log, s.ID, e.tablesChanged
	e.fleet.membership = e.membership(incarnation)
	e.fleet.update(0, func(*fleet.Membership) {})
	e.cells = &cellSet{e: e, cells: make(map[fleet.CellKey]*servedCell)}
	e.quota = newQuotaState(e)
	e.targetClient = &target.Client{Protocol: e.TargetProtocol}
	e.source = e.newSource()
	e.node = &peer.Node{
		ID: s.ID, Address: s.PeerListen, Handler: e, Log: e.Log,
		TLS: peer.TLSFiles{CA: s.TLS.CA, Certificate: s.TLS.Certificate, Key: s.TLS.Key},
	}
	e.sendHeartbeat = e.node.SendHeartbeat
	e.quota.requestQuota = e.node.RequestQuota
}

// responseTTL is how long responses are stored for retries with the same request ID.
const responseTTL = 5 * time.Minute

func (e *Entry) membership(incarnation fleet.Incarnation) *fleet.Membership {
	s := &e.Settings
	m := &fleet.Membership{
		ID: s.ID, Incarnation: incarnation, FailureDomain: s.FailureDomain,
		PeerAddress: s.PeerAddress, CallerAddress: s.CallerAddress, Capacity: s.VM.CapacityClass(),
		Timing: fleet.Timing{
			HeartbeatInterval: settings.Millis(s.HeartbeatMs), SlowHeartbeatInterval: settings.Millis(s.SlowHeartbeatMs), SuspectTimeout: settings.Millis(s.SuspectMs),
			GoneTimeout: settings.Millis(s.GoneMs), HandoverDelay: settings.Millis(s.HandoverMs), TickInterval: tickInterval,
		},
		Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	for _, seed := range s.Seeds {
		m.Seeds = append(m.Seeds, fleet.Seed{ID: seed.ID, PeerAddress: seed.PeerAddress})
	}
	return m
}

// tablesChanged applies a new pair to the cells at once, so that no request is placed by the previous pair
// until the next tick. It also announces the pair to peers.
func (e *Entry) tablesChanged(active *activeTables) {
	if e.cells != nil {
		e.cells.apply(active)
	}
	e.fleet.update(e.sinceStart(), func(m *fleet.Membership) {
		m.SetAcceptedRevision(e.sinceStart(), active.pair.Revision, active.pair.Digest, active.fromPeer)
		m.Groups = active.pair.Pools.FleetGroups
		m.ShardDomains = active.shardDomains
	})
}

// runEvery calls f once per period until ctx ends.
func runEvery(ctx context.Context, period time.Duration, f func()) {
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

// tick advances the membership and all cells once.
func (e *Entry) tick() {
	started := time.Now()
	e.updateSuspension()
	e.lastTick.Store(int64(e.sinceStart()))
	v := e.fleet.view()
	if active := e.tables.current(); active != nil {
		e.logPeerChanges(v)
		e.cells.createOwned(active, v)
		claims, poison := e.cells.tick(active, v)
		e.monitorPaths()
		e.quota.tick(active, v)
		e.fleet.mu.Lock()
		e.fleet.membership.SetClaims(claims)
		e.fleet.membership.SetPoison(poison)
		e.fleet.mu.Unlock()
	}
	e.source.SetActive(e.shouldRead(v))
	var out []fleet.OutgoingHeartbeat
	// With one time for all, the view takes over what the tick has computed.
	now := e.sinceStart()
	e.fleet.update(now, func(m *fleet.Membership) {
		m.SetReader(e.recentlyReadPlatform())
		m.SetHub(now, v.RanksAsHub(e.tables.ownCells()))
		m.SetEpoch(uint32(e.dedup.Binding(now).Epoch))
		out = m.Tick(now)
	})
	for _, o := range out {
		e.sendHeartbeat(o)
	}
	e.counters.tick.UpdateSince(started)
}

// maxTickAge is the maximum age of the last tick when a request is about to be written. A process that was
// paused must not act on its state from before the pause.
const maxTickAge = 500 * time.Millisecond

// beforeWrite is the last check before the first byte of a request is sent.
func (e *Entry) beforeWrite(x *exchange) error {
	if e.isAborted() {
		return errStopLimit
	}
	e.updateSuspension()
	if !time.Now().Before(e.deadline(x)) {
		return target.ErrDeadline
	}
	if age := e.sinceStart() - time.Duration(e.lastTick.Load()); age > maxTickAge {
		return Error.New("the last tick is %v old; this process was paused", age)
	}
	return nil
}

// deadline returns the deadline of a request by the monotonic clock, which stands still while the VM is suspended.
func (e *Entry) deadline(x *exchange) time.Time {
	return x.deadline.Add(x.suspendedBefore - e.suspension.elapsed())
}

// listen opens the HTTP endpoints for callers and operators and the extra ones, and serves them in the
// background.
func (e *Entry) listen() error {
	s := &e.Settings
	e.callerServer = e.server(e.callerRoutes())
	e.trackCallers(e.callerServer, true)
	e.operatorServer = e.server(e.operatorRoutes())
	e.trackCallers(e.operatorServer, false)
	type endpoint struct {
		address string
		server  *http.Server
	}
	servers := []endpoint{{s.CallerAddress, e.callerServer}, {s.OperatorAddress, e.operatorServer}}
	for _, x := range e.ExtraListeners {
		server := e.server(x.Handler)
		e.trackCallers(server, false)
		e.extraServers = append(e.extraServers, server)
		servers = append(servers, endpoint{x.Address, server})
	}
	for _, ep := range servers {
		listener, err := net.Listen("tcp", ep.address)
		if err != nil {
			return Error.Wrap(err)
		}
		callers := callerListener{Listener: listener, limits: e.callerLimits, lingering: new(atomic.Int64), memory: &e.memory}
		if ep.server == e.callerServer {
			callers.lingering, callers.stalled = &e.lingering, &e.stalled
		}
		e.background.Go(func() {
			// Serve always returns an error; after Shutdown it is ErrServerClosed.
			if err := ep.server.Serve(callers); err != http.ErrServerClosed {
				e.Log.Error().Str("event", "serverFailed").Err(err).Msg("HTTP server failed")
			}
		})
	}
	return nil
}

// callerLimits returns the operators' limits for callers; the zero value if no tables are active.
func (e *Entry) callerLimits() table.CallerLimits {
	if active := e.tables.current(); active != nil {
		return active.pair.Routes.Limits
	}
	return table.CallerLimits{}
}

// callerRoutes returns the HTTP handler for callers.
func (e *Entry) callerRoutes() http.Handler {
	r := echo.New()
	r.HideBanner, r.HidePort = true, true
	if !e.callerProtocol().RetriesOnlyNotRun {
		r.GET("/v1/addresses", e.addresses)
	}
	r.Any("/*", e.serve)
	// Any covers common methods only.
	r.RouteNotFound("/*", e.serve)
	return r
}

// Timeouts of the HTTP servers that apply to all routes.
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
		ErrorLog:          log.New(serverLog{e.Log}, "", 0),
	}
}

// close closes what Run started and waits for the background goroutines.
func (e *Entry) close() {
	_ = e.operatorServer.Close()
	for _, s := range e.extraServers {
		_ = s.Close()
	}
	_ = e.callerServer.Close()
	e.cells.close()
	_ = e.targetClient.Close()
	e.quota.close()
	_ = e.node.Close()
	e.background.Wait()
}
