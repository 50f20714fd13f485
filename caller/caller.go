package caller

import (
	"context"
	crand "crypto/rand"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/bilberrywood/bilberrywood/notice"
	"github.com/bilberrywood/bilberrywood/table"
)

// Defaults of a Caller's fields.
const (
	defaultTimeout     = 30 * time.Second
	defaultMaxAttempts = 8
	defaultBackoff     = 50 * time.Millisecond
	maxBackoff         = 2 * time.Second
	dialTimeout        = time.Second
	// idleTimeout is short, because connections may go silent while they are idle.
	idleTimeout = 5 * time.Second
)

// Caller sends requests through the fleet. Its fields are set before use; zero values mean the
// defaults. It may be used by many goroutines.
type Caller struct {
	// Entries are the callers' addresses of any entries, at least one of which is up.
	Entries []string
	// Account and Token authorise requests on routes that need an account.
	Account table.AccountName
	Token   string
	// MaxAttempts is the most sendings of a request; 8.
	MaxAttempts int
	// InitialBackoff is the first pause between two attempts, doubled up to 2 s, with jitter; 50 ms.
	InitialBackoff time.Duration
	// ResponseHeaderTimeout is how long an idempotent request waits for the head of an answer before it is sent
	// to the next address; 0 means a third of the time that is left. Non-idempotent requests
	// wait until the deadline, because giving up would cancel the run.
	ResponseHeaderTimeout time.Duration

	// trustRefusals takes a refusal for certain even after a lost attempt; only tests set it.
	trustRefusals bool

	once sync.Once
	// pooled reuses connections. fresh doesn't, so that no request without a second run is lost on
	// a connection that has gone silent.
	pooled, fresh http.Client

	mu      sync.Mutex
	random  *rand.Rand
	answers map[table.RouteName]kept
}

// Request is one request to a route.
type Request struct {
	Route  table.RouteName
	Method string
	// Path is the path with the query.
	Path   string
	Header http.Header
	// GetBody opens the body from its start, once for each attempt; nil means no body. An error on a
	// later call ends the attempts.
	GetBody func() (io.ReadCloser, error)
	// ContentLength is the body's length in bytes, or -1 if it isn't known.
	ContentLength int64
	// Idempotent says that a second run does no harm. GET and HEAD always count as idempotent.
	Idempotent bool
	// ID is the run id of an earlier sending of the same request whose outcome is unknown; empty
	// for a new request.
	ID string
	// OnNewID is called with every run id before a request is sent with it, so that the id can be
	// kept for a resend after a crash of the program. An error ends the request as not run.
	OnNewID func(id string) error
	// Deadline is the latest useful time of an answer; zero means 30 s from now.
	Deadline time.Time
}

func (r *Request) idempotent() bool {
	return r.Idempotent || r.Method == http.MethodGet || r.Method == http.MethodHead
}

func (c *Caller) init() {
	if c.MaxAttempts == 0 {
		c.MaxAttempts = defaultMaxAttempts
	}
	if c.InitialBackoff == 0 {
		c.InitialBackoff = defaultBackoff
	}
	c.random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	c.answers = make(map[table.RouteName]kept)
	c.pooled = newClient(false)
	c.fresh = newClient(true)
}

func newClient(fresh bool) http.Client {
	dialer := net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2},
	}
	return http.Client{
		Transport: &http.Transport{
			DialContext:        dialer.DialContext,
			DisableKeepAlives:  fresh,
			DisableCompression: true,
			IdleConnTimeout:    idleTimeout,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Close closes idle connections. Answers must have been closed before.
func (c *Caller) Close() error {
	c.once.Do(c.init)
	c.pooled.CloseIdleConnections()
	c.fresh.CloseIdleConnections()
	return nil
}

// NewID makes a run id from a binding.
func NewID(b notice.Binding) string {
	id := notice.ID{Entry: b.Entry, Incarnation: b.Incarnation, Epoch: b.Epoch, Random: crand.Text()}
	return id.String()
}

// authorize adds the account to a header.
func (c *Caller) authorize(h http.Header) {
	if c.Account != "" {
		h.Set(HeaderAccount, string(c.Account))
		h.Set("Authorization", "Bearer "+c.Token)
	}
}

// pause returns the time before attempt number n, counted from 1, with jitter of half of it.
func (c *Caller) pause(n int) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := min(c.InitialBackoff<<min(n-1, 10), maxBackoff)
	return d/2 + time.Duration(c.random.Int64N(int64(d/2)+1))
}

// sleep waits for d. It returns false if ctx ends first or would end before d has passed.
func sleep(ctx context.Context, d time.Duration) bool {
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) <= d {
		return false
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
