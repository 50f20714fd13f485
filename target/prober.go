package target

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/bilberrywood/bilberrywood/pool"
	"github.com/bilberrywood/bilberrywood/table"
)

// Defaults of the fields of Prober.
const (
	defaultProbeInterval = time.Second
	defaultProbeTimeout  = 500 * time.Millisecond
	// maxProbeBodyBytes limits how much of the response to a probe or load request is read.
	maxProbeBodyBytes = 4 << 10
	// probeJitter is the fraction of the interval by which rounds are shifted at random, so that
	// the probes of many entries don't coincide.
	probeJitter = 0.2
)

// ProbeTarget is one target to poll.
type ProbeTarget struct {
	Pool    table.PoolName
	ID      table.TargetID
	Address string
	// ProbePath and LoadPath are the paths of the endpoints; empty means that there is none.
	ProbePath string
	LoadPath  string
}

// LoadReport is the response body of a load endpoint.
type LoadReport struct {
	// InFlight is the number of requests that the target is running.
	InFlight int `json:"inFlight"`
}

// Prober polls the probe and load endpoints of targets. If the protocol says so, it probes on demand
// only. Its fields must be set before the first call of SetTargets; a zero value
// selects the default. Every probe uses a new connection, so that a silent connection is not
// mistaken for an unresponsive target.
type Prober struct {
	// Interval is the time between two rounds of a target, with a jitter of 20%. The default
	// is 1 s.
	Interval time.Duration
	// Timeout limits one probe; the default is 500 ms.
	Timeout time.Duration
	// Protocol is the target protocol; nil selects DefaultProtocol.
	Protocol *Protocol
	// Skip, if not nil, reports whether to skip a round of a target, for instance because the
	// response to a request has just given the same information. It is called concurrently.
	Skip func(ProbeTarget) bool
	// OnSignal is called concurrently with every result. A failed load request has no result.
	OnSignal func(ProbeTarget, pool.Signal)

	once   sync.Once
	client http.Client
	active sync.WaitGroup

	mu      sync.Mutex
	closed  bool
	pollers map[ProbeTarget]context.CancelFunc
}

func (p *Prober) init() {
	setDefault(&p.Interval, defaultProbeInterval)
	setDefault(&p.Timeout, defaultProbeTimeout)
	if p.Protocol == nil {
		p.Protocol = &DefaultProtocol
	}
	p.pollers = make(map[ProbeTarget]context.CancelFunc)
	p.client = http.Client{
		Transport: &http.Transport{
			DisableKeepAlives:  true,
			DisableCompression: true,
			DialContext:        (&net.Dialer{Timeout: p.Timeout, KeepAlive: -1}).DialContext,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// SetTargets replaces the set of polled targets. Targets in both sets keep their schedule. A target
// that left the set gives no more signals after SetTargets has returned, except one that is being
// delivered and those of a Probe in progress.
func (p *Prober) SetTargets(targets []ProbeTarget) {
	p.once.Do(p.init)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	wanted := make(map[ProbeTarget]bool, len(targets))
	for _, t := range targets {
		wanted[t] = t.ProbePath != "" || t.LoadPath != ""
	}
	for t, cancel := range p.pollers {
		if !wanted[t] {
			cancel()
			delete(p.pollers, t)
		}
	}
	for t, polled := range wanted {
		if _, ok := p.pollers[t]; !ok && polled {
			ctx, cancel := context.WithCancel(context.Background())
			p.pollers[t] = cancel
			if !p.Protocol.ProbesOnDemand {
				p.active.Go(func() { p.poll(ctx, t) })
			}
		}
	}
}

// Probe probes a polled target at once, in addition to its rounds, for instance to find out whether
// a lost connection means a crash. It does not wait for the result.
func (p *Prober) Probe(id table.TargetID) {
	p.once.Do(p.init)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	for t := range p.pollers {
		if t.ID == id {
			p.active.Go(func() { p.probeOnce(context.Background(), t) })
			return
		}
	}
}

// Close stops all polling and waits until the probes in progress and their signals have ended.
func (p *Prober) Close() error {
	p.once.Do(p.init)
	p.mu.Lock()
	p.closed = true
	for _, cancel := range p.pollers {
		cancel()
	}
	p.mu.Unlock()
	p.active.Wait()
	return nil
}

// poll polls one target until ctx ends. The first round starts at a random point of the interval.
func (p *Prober) poll(ctx context.Context, t ProbeTarget) {
	timer := time.NewTimer(rand.N(p.Interval))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		if p.Skip == nil || !p.Skip(t) {
			p.probeOnce(ctx, t)
		}
		jitter := (rand.Float64()*2 - 1) * probeJitter
		timer.Reset(time.Duration(float64(p.Interval) * (1 + jitter)))
	}
}

// probeOnce requests both endpoints of a target once.
func (p *Prober) probeOnce(ctx context.Context, t ProbeTarget) {
	if t.ProbePath != "" {
		status, header, _, err := p.get(ctx, t, t.ProbePath)
		ok := err == nil && status >= http.StatusOK && status < http.StatusMultipleChoices
		signal := pool.Signal{Kind: pool.SignalProbeFailed}
		if ok {
			signal.Kind = pool.SignalProbeOK
		}
		p.deliver(ctx, t, signal)
		if err == nil && p.Protocol.draining(header) {
			p.deliver(ctx, t, pool.Signal{Kind: pool.SignalDraining})
		}
	}
	if t.LoadPath != "" {
		status, _, body, err := p.get(ctx, t, t.LoadPath)
		if err != nil || status != http.StatusOK {
			return
		}
		if load, ok := ParseLoad(body); ok {
			p.deliver(ctx, t, pool.Signal{Kind: pool.SignalLoad, Load: load})
		}
	}
}

// deliver delivers a signal unless ctx has ended, which means that the target has left the set.
func (p *Prober) deliver(ctx context.Context, t ProbeTarget, s pool.Signal) {
	if ctx.Err() == nil {
		p.OnSignal(t, s)
	}
}

// get requests one endpoint. Errors are of class Error.
func (p *Prober) get(ctx context.Context, t ProbeTarget, path string) (int, http.Header, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, p.Timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+t.Address+path, nil)
	if err != nil {
		return 0, nil, nil, Error.Wrap(err)
	}
	response, err := p.client.Do(request)
	if err != nil {
		return 0, nil, nil, Error.Wrap(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxProbeBodyBytes))
	return response.StatusCode, response.Header, body, Error.Wrap(err)
}

// ParseLoad returns the load that the response body of a load endpoint reports. ok is false if it
// isn't a LoadReport or if the load is negative.
func ParseLoad(body []byte) (load int, ok bool) {
	report := LoadReport{InFlight: -1}
	if err := json.Unmarshal(body, &report); err != nil || report.InFlight < 0 {
		return 0, false
	}
	return report.InFlight, true
}
