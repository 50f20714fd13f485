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

// Defaults of the fields of Caller.
const (
	defaultTimeout     = 30 * time.Second
	defaultMaxAttempts = 8
	defaultBackoff     = 50 * time.Millisecond
	maxBackoff         = 2 * time.Second
	dialTimeout        = time.Second
	// idleTimeout is short, because idle connections may go silent.
	idleTimeout = 5 * time.Second
)

// Caller sends requests through the fleet. Its fields must be set before use; a zero value selects
// the default. It is safe for concurrent use.
type Caller struct {
	// Entries are caller addresses of some entries of the fleet. At least one of these must be up.
	Entries []string
	// Account and Token authorize requests on routes that require a client account.
	Account table.AccountName
	Token   string
	// MaxAttempts is the maximum number of attempts of a request; the default is 8. A failed
	// request for addresses counts as an attempt.
	MaxAttempts int
	// InitialBackoff is the delay before the second attempt. It doubles with every further attempt
	// up to 2 s and has jitter; the default is 50 ms.
	InitialBackoff time.Duration
	// ResponseHeaderTimeout is how long an idempotent request waits for the response header before
	// it is sent to the next address; the default is a third of the time left until the deadline,
	// but at least 200 ms. Non-idempotent requests wait until the deadline, because closing the
	// connection would cancel the run.
	ResponseHeaderTimeout time.Duration

	// trustNotRun accepts "not run" as final even if an earlier attempt may have run; only tests
	// set it.
	trustNotRun bool

	once sync.Once
	// keepAliveClient reuses connections. singleUseClient does not, so that a non-idempotent
	// request is not lost on a connection that has gone silent.
	keepAliveClient, singleUseClient http.Client

	mu     sync.Mutex
	random *rand.Rand
	stored map[table.RouteName]storedAddresses
}

// Request is one request to a route.
type Request struct {
	Route  table.RouteName
	Method string
	// Path is the path with the query.
	Path   string
	Header http.Header
	// GetBody returns the body from its start. It is called once for each attempt; nil means no
	// body. If it returns an error, there are no further attempts.
	GetBody func() (io.ReadCloser, error)
	// ContentLength is the length of the body in bytes, or -1 if unknown.
	ContentLength int64
	// Idempotent reports that running the request twice does no harm. GET and HEAD always count as
	// idempotent.
	Idempotent bool
	// ID is the request ID of an earlier call of Do for the same request whose outcome is unknown;
	// empty for a new request.
	ID string
	// OnNewID is called with every new request ID before a request is sent with it, so that the
	// program can store the ID and retry after a crash. If it returns an error, the request ends as
	// not run.
	OnNewID func(id string) error
	// Deadline is when the complete response must have arrived; the default is 30 s from now.
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
	c.stored = make(map[table.RouteName]storedAddresses)
	c.keepAliveClient = newClient(false)
	c.singleUseClient = newClient(true)
}

func newClient(disableReuse bool) http.Client {
	dialer := net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2},
	}
	return http.Client{
		Transport: &http.Transport{
			DialContext:        dialer.DialContext,
			DisableKeepAlives:  disableReuse,
			DisableCompression: true,
			IdleConnTimeout:    idleTimeout,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Close closes idle connections. All responses must have been closed before.
func (c *Caller) Close() error {
	c.once.Do(c.init)
	c.keepAliveClient.CloseIdleConnections()
	c.singleUseClient.CloseIdleConnections()
	return nil
}

// NewID creates a request ID from a binding.
func NewID(b notice.Binding) string {
	id := notice.ID{Entry: b.Entry, Incarnation: b.Incarnation, Epoch: b.Epoch, Random: crand.Text()}
	return id.String()
}

// authorize adds the account and its token to a header.
func (c *Caller) authorize(h http.Header) {
	if c.Account != "" {
		h.Set(HeaderAccount, string(c.Account))
		h.Set("Authorization", "Bearer "+c.Token)
	}
}

// backoff returns the delay after attempt n, counted from 1. Up to half of it is jitter.
func (c *Caller) backoff(n int) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := min(c.InitialBackoff<<min(n-1, 10), maxBackoff)
	return d/2 + time.Duration(c.random.Int64N(int64(d/2)+1))
}

// sleep waits for d. It returns false if ctx ends first, and at once if the deadline of ctx comes
// before the end of d.
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
