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

// Target is a stand-in for one server of a pool. It runs requests in slots, sheds what exceeds them,
// and has faults that are switched by SetFault or POST /control/fault. Its fields are set before
// Start.
type Target struct {
	// Listen is an IP address with a port; port 0 takes any.
	Listen string
	// ID is what the target calls itself in answers and records.
	ID string
	// Slots is how many requests run at a time; 0 means 4. Queue is how many wait for a slot; more
	// are shed.
	Slots      int
	QueueLimit int
	// ServiceTime is the median service time. Spread is the sigma of its logarithm; 0 means that
	// every request takes the median.
	ServiceTime      time.Duration
	ServiceTimeSigma float64
	// ColdStart is how long after a start requests take longer: five times at first, falling
	// evenly to once.
	ColdStart time.Duration
	// ProbeDelay is how long /health and /load take.
	ProbeDelay time.Duration
	// Seed makes the service times and random failures repeatable.
	Seed uint64
	// OnCrash replaces the crash within the process, if it is set, such as by os.Exit.
	OnCrash func()

	record targetRecord
	slots  chan struct{}
	// stop is closed by Close, for requests that ignore cancellation.
	stop chan struct{}

	mu      sync.Mutex
	random  *rand.Rand
	fault   TargetFault
	waiting int
	address string
	server  *http.Server
	conns   *connSet
	started time.Time
	closed  bool
	restart *time.Timer

	active sync.WaitGroup
}

// Start listens and serves. Errors are of class TargetError.
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
	// Multipath TCP sockets, Go's default for listeners, take no socket filters.
	var config net.ListenConfig
	config.SetMultipathTCP(false)
	listener, err := config.Listen(context.Background(), "tcp", t.address)
	if err != nil {
		return TargetError.Wrap(err)
	}
	t.address = listener.Addr().String()
	t.started = time.Now()
	t.conns = &connSet{Listener: listener, open: make(map[*targetConn]struct{})}
	server := &http.Server{
		Handler: t.handler(),
		// The failures that the stand-in plays are not worth a log line.
		ErrorLog: log.New(io.Discard, "", 0),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
	}
	t.server = server
	conns := t.conns
	t.active.Go(func() { _ = server.Serve(conns) }) // always returns an error when it is closed
	return nil
}

// Address returns the address on which the target listens.
func (t *Target) Address() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.address
}

// Close ends all connections and waits for the requests in service.
func (t *Target) Close() error {
	t.mu.Lock()
	if t.closed || t.server == nil {
		t.mu.Unlock()
		return nil
	}
	t.closed = true
	close(t.stop)
	if t.restart != nil {
		t.restart.Stop()
	}
	server := t.server
	t.mu.Unlock()
	err := server.Close()
	t.active.Wait()
	return TargetError.Wrap(err)
}

// Crash resets all connections and stops listening, as the end of the process would. If the fault's
// RestartMs isn't 0 the target starts again after that time.
func (t *Target) Crash() {
	if t.OnCrash != nil {
		t.OnCrash()
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.record.crash(time.Now())
	t.conns.reset()
	_ = t.server.Close() // the connections are gone already
	if t.fault.RestartMs > 0 && !t.closed {
		after := time.Duration(t.fault.RestartMs) * time.Millisecond
		t.restart = time.AfterFunc(after, func() { _ = t.Restart() })
	}
}

// Restart serves again after a Crash, with a cold start.
func (t *Target) Restart() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return TargetError.Wrap(errors.New("closed"))
	}
	return t.serveLocked()
}

// handler routes control, probe and load requests; everything else is work.
func (t *Target) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/health", t.health)
	mux.HandleFunc("/load", t.load)
	mux.HandleFunc("GET /control/fault", t.getFault)
	mux.HandleFunc("POST /control/fault", t.postFault)
	mux.HandleFunc("GET /control/record", t.getRecord)
	mux.HandleFunc("/", t.work)
	return mux
}

// serviceTime draws the service time of one request.
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

// chance is true with the given probability.
func (t *Target) chance(probability float64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.random.Float64() < probability
}
