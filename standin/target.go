package standin

import (
	"context"
	"errors"
	"io"
	"log"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/zeebo/errs"
)

// TargetError is the class of errors of Target.
var TargetError = errs.Class("target stand-in")

// Target is a stand-in for one server of a pool. It runs requests in a limited number of slots,
// sheds the excess, and has faults that SetFault or POST /control/fault switch on and off. Its
// fields must be set before Start.
type Target struct {
	// Listen is an IP address with a port; port 0 selects a free one.
	Listen string
	// ID is the name of the target in responses and records.
	ID string
	// Slots is the number of requests that run at the same time; 0 means 4. QueueLimit is the
	// maximum number of requests that wait for a slot; further ones are shed.
	Slots      int
	QueueLimit int
	// ServiceTime is the median service time. ServiceTimeSigma is the standard deviation of its
	// logarithm; 0 means that every request takes the median.
	ServiceTime      time.Duration
	ServiceTimeSigma float64
	// ColdStart is how long requests take longer after a start. The factor falls linearly from five
	// to one.
	ColdStart time.Duration
	// ProbeDelay is the response time of /health and /load.
	ProbeDelay time.Duration
	// Seed makes the service times and random failures reproducible.
	Seed uint64
	// OnCrash, if not nil, is called instead of simulating the crash within the process, for
	// example to call os.Exit.
	OnCrash func()

	record runRecorder
	slots  chan struct{}
	// stop is closed by Close, for requests that ignore cancellation.
	stop chan struct{}

	mu           sync.Mutex
	random       *rand.Rand
	fault        TargetFault
	queued       int
	address      string
	server       *http.Server
	conns        *trackingListener
	started      time.Time
	closed       bool
	restartTimer *time.Timer

	active sync.WaitGroup
}

// Start starts listening and serving. Errors are of class TargetError.
func (t *Target) Start() error {
	if t.Slots == 0 {
		t.Slots = 4
	}
	t.slots = make(chan struct{}, t.Slots)
	t.stop = make(chan struct{})
	t.random = rand.New(rand.NewPCG(t.Seed, 1))
	t.address = t.Listen
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.serveLocked()
}

// serveLocked opens the listener and serves it in the background.
func (t *Target) serveLocked() error {
	// Multipath TCP sockets, Go's default for listeners, don't support socket filters.
	var listenConfig net.ListenConfig
	listenConfig.SetMultipathTCP(false)
	listener, err := listenConfig.Listen(context.Background(), "tcp", t.address)
	if err != nil {
		return TargetError.Wrap(err)
	}
	t.address = listener.Addr().String()
	t.started = time.Now()
	t.conns = &trackingListener{Listener: listener, open: make(map[*targetConn]struct{})}
	server := &http.Server{
		Handler: t.handler(),
		// The simulated failures need no log lines.
		ErrorLog: log.New(io.Discard, "", 0),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
	}
	t.server = server
	conns := t.conns
	t.active.Go(func() { _ = server.Serve(conns) }) // always returns an error when closed
	return nil
}

// Address returns the address that the target listens on.
func (t *Target) Address() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.address
}

// Close closes all connections and waits for the active requests.
func (t *Target) Close() error {
	t.mu.Lock()
	if t.closed || t.server == nil {
		t.mu.Unlock()
		return nil
	}
	t.closed = true
	close(t.stop)
	if t.restartTimer != nil {
		t.restartTimer.Stop()
	}
	server := t.server
	t.mu.Unlock()
	err := server.Close()
	t.active.Wait()
	return TargetError.Wrap(err)
}

// Crash resets all connections and stops listening, as if the process had ended. If RestartMs of
// the fault isn't 0, the target starts again after that time.
func (t *Target) Crash() {
	if t.OnCrash != nil {
		t.OnCrash()
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.record.crash(time.Now())
	t.conns.reset()
	_ = t.server.Close() // the connections are already closed
	if t.fault.RestartMs > 0 && !t.closed {
		delay := time.Duration(t.fault.RestartMs) * time.Millisecond
		t.restartTimer = time.AfterFunc(delay, func() { _ = t.Restart() })
	}
}

// Restart starts serving again after a Crash, with a cold start.
func (t *Target) Restart() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return TargetError.Wrap(errors.New("closed"))
	}
	return t.serveLocked()
}

// handler routes control, probe and load requests. All other requests are run.
func (t *Target) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/health", t.serveHealth)
	mux.HandleFunc("/load", t.serveLoad)
	mux.HandleFunc("GET /control/fault", t.getFault)
	mux.HandleFunc("POST /control/fault", t.postFault)
	mux.HandleFunc("GET /control/record", t.getRecord)
	mux.HandleFunc("/", t.serveRequest)
	return mux
}

// serviceTime returns a random service time for one request.
func (t *Target) serviceTime() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := float64(t.ServiceTime)
	if t.ServiceTimeSigma > 0 {
		d *= math.Exp(t.ServiceTimeSigma * t.random.NormFloat64())
	}
	if t.fault.SlowFactor > 0 {
		d *= t.fault.SlowFactor
	}
	const coldFactor = 5
	if age := time.Since(t.started); age < t.ColdStart {
		d *= 1 + (coldFactor-1)*(1-float64(age)/float64(t.ColdStart))
	}
	return time.Duration(d)
}

// chance returns true with the given probability.
func (t *Target) chance(probability float64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.random.Float64() < probability
}
