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

// Defaults of a Prober's fields.
const (
	defaultProbeInterval = time.Second
	defaultProbeTimeout  = 500 * time.Millisecond
	// maxProbeBody bounds what is read of a probe's or load report's answer.
	maxProbeBody = 4 << 10
	// probeJitter is the part of the interval by which rounds are moved at random, so that the
	// probes of many entries don't meet.
	probeJitter = 0.2
)

// ProbeTarget is one target to poll.
type ProbeTarget struct {
	Pool    table.PoolName
	ID      table.TargetID
	Address string
	// ProbePath and LoadPath are the endpoints; empty means that there is none.
	ProbePath string
	LoadPath  string
}

// LoadReport is the body of a load endpoint's answer.
type LoadReport struct {
	// InFlight is the number of requests in service.
	InFlight int `json:"inFlight"`
}

// Prober polls the probe and load endpoints of targets, or only asks them on demand if the protocol has no drain
// signal. Its fields are set before the first call of
// SetTargets; zero values mean the defaults. Every probe uses a connection of its own, so that a
// silent connection is not taken for a silent target.
type Prober struct {
	// Interval is the time between two rounds of a target; 1 s, with a jitter of 20%.
	Interval time.Duration
	// Timeout bounds one probe; 500 ms.
	Timeout time.Duration
	// Protocol is how targets are spoken to; nil means DefaultProtocol.
	Protocol *Protocol
	// Skip, if it is set, says that a target's round is left out, for instance because an answer to
	// real work has just told the same. It is called from many goroutines.
	Skip func(ProbeTarget) bool
	// OnSignal is called for every result, from many goroutines. A failed load report gives none.
	OnSignal func(ProbeTarget, pool.Signal)

	once   sync.Once
	client http.Client
	active sync.WaitGroup

	mu     sync.Mutex
	closed bool
	polls  map[ProbeTarget]context.CancelFunc
}

func (p *Prober) init() {
	orDefault(&p.Interval, defaultProbeInterval)
	orDefault(&p.Timeout, defaultProbeTimeout)
	if p.Protocol == nil {
		p.Protocol = &DefaultProtocol
	}
	p.polls = make(map[ProbeTarget]context.CancelFunc)
	p.client = http.Client{
		Transport: &http.Transport{
			DisableKeepAlives:  true,
			DisableCompression: true,
			DialContext:        (&net.Dialer{Timeout: p.Timeout, KeepAlive: -1}).DialContext,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// SetTargets replaces the set of polled targets. Targets in both sets keep their rhythm; a target
// that left the set gives no more signals once SetTargets has returned, apart from one that was being
// delivered.
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
	for t, cancel := range p.polls {
		if !wanted[t] {
			cancel()
			delete(p.polls, t)
		}
	}
	for t, polled := range wanted {
		if _, ok := p.polls[t]; !ok && polled {
			ctx, cancel := context.WithCancel(context.Background())
			p.polls[t] = cancel
			if p.Protocol.IsDraining != nil {
				p.active.Go(func() { p.poll(ctx, t) })
			}
		}
	}
}

// Probe asks a polled target's probe endpoint at once, besides its rounds, for instance to learn whether a
// lost connection meant a crash. It does not wait for the result.
func (p *Prober) Probe(id table.TargetID) {
	p.once.Do(p.init)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	for t := range p.polls {
		if t.ID == id {
			p.active.Go(func() { p.round(context.Background(), t) })
			return
		}
	}
}

// Close ends all polling and waits for signals that are being delivered.
func (p *Prober) Close() error {
	p.once.Do(p.init)
	p.mu.Lock()
	p.closed = true
	for _, cancel := range p.polls {
		cancel()
	}
	p.mu.Unlock()
	p.active.Wait()
	return nil
}

// poll polls one target until ctx ends. The first round comes at a random point of the interval.
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
			p.round(ctx, t)
		}
		jitter := (rand.Float64()*2 - 1) * probeJitter
		timer.Reset(time.Duration(float64(p.Interval) * (1 + jitter)))
	}
}

// round asks both endpoints of a target once.
func (p *Prober) round(ctx context.Context, t ProbeTarget) {
	if t.ProbePath != "" {
		status, header, _, err := p.get(ctx, t, t.ProbePath)
		ok := err == nil && status >= http.StatusOK && status < http.StatusMultipleChoices
		signal := pool.Signal{Kind: pool.SignalProbeFailed}
		if ok {
			signal.Kind = pool.SignalProbeOK
		}
		p.report(ctx, t, signal)
		if err == nil && p.Protocol.draining(header) {
			p.report(ctx, t, pool.Signal{Kind: pool.SignalDraining})
		}
	}
	if t.LoadPath != "" {
		status, _, body, err := p.get(ctx, t, t.LoadPath)
		if err != nil || status != http.StatusOK {
			return
		}
		if load, ok := ParseLoad(body); ok {
			p.report(ctx, t, pool.Signal{Kind: pool.SignalLoad, Load: load})
		}
	}
}

// report delivers a signal unless the target has left the set.
func (p *Prober) report(ctx context.Context, t ProbeTarget, s pool.Signal) {
	if ctx.Err() == nil {
		p.OnSignal(t, s)
	}
}

// get asks one endpoint. Errors are of class Error.
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
	body, err := io.ReadAll(io.LimitReader(response.Body, maxProbeBody))
	return response.StatusCode, response.Header, body, Error.Wrap(err)
}

// ParseLoad returns the load that a load endpoint's answer reports. ok is false if it isn't a
// LoadReport or the load is negative.
func ParseLoad(body []byte) (load int, ok bool) {
	report := LoadReport{InFlight: -1}
	if err := json.Unmarshal(body, &report); err != nil || report.InFlight < 0 {
		return 0, false
	}
	return report.InFlight, true
}
