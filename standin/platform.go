package standin

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/zeebo/errs"

	"github.com/bilberrywood/bilberrywood/configuration"
	"github.com/bilberrywood/bilberrywood/table"
)

// PlatformError is the class of errors of Platform.
var PlatformError = errs.Class("platform stand-in")

// Platform is a stand-in for the configuration service: a key-value store with one revision, and the
// fleet list. It can be down, stale and slow, switched by SetFault or POST /control/fault. Its fields
// are set before Start.
type Platform struct {
	// Listen and Control are IP addresses with ports; port 0 takes any. Control endpoints are
	// served on both. Without Control the service can't refuse connections by order of a control
	// endpoint, since it could not be told to end that.
	Listen        string
	ControlListen string
	// Files maps names of values to the files that Reload reads; FleetFile is the fleet list.
	Files     map[string]string
	FleetFile string
	// Revision is the store's revision before the first change. A restarted service must start
	// above its former revision, or entries ignore it as stale.
	Revision table.Revision
	Log      zerolog.Logger

	once   sync.Once
	store  *platformStore
	count  platformCount
	closed chan struct{}

	mu      sync.Mutex
	fault   PlatformFault
	service *http.Server
	control *http.Server
	// address and controlAddress are known from Start on.
	address, controlAddress string
	servers                 sync.WaitGroup
}

func (p *Platform) init() {
	p.once.Do(func() {
		p.store = newPlatformStore(p.Revision)
		p.closed = make(chan struct{})
	})
}

// Handler returns the service without a listener, for tests within a process.
func (p *Platform) Handler() http.Handler {
	p.init()
	return p.serviceHandler()
}

// Start loads the files and serves until Close.
func (p *Platform) Start() error {
	p.init()
	if err := p.Reload(); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.address = p.Listen
	if p.ControlListen != "" {
		server, address, err := p.serve(p.ControlListen, p.controlHandler())
		if err != nil {
			return err
		}
		p.control, p.controlAddress = server, address
	}
	return p.listenLocked()
}

// listenLocked opens the service's listener, at the same address as before if there was one.
func (p *Platform) listenLocked() error {
	server, address, err := p.serve(p.address, p.serviceHandler())
	if err != nil {
		return err
	}
	p.service, p.address = server, address
	return nil
}

func (p *Platform) serve(address string, handler http.Handler) (*http.Server, string, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, "", PlatformError.Wrap(err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	p.servers.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			p.Log.Error().Err(err).Msg("serving ended")
		}
	})
	return server, listener.Addr().String(), nil
}

// readHeaderTimeout bounds how long a caller may take to send a request's header.
const readHeaderTimeout = 10 * time.Second

// URL returns the base URL of the service.
func (p *Platform) URL() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return "http://" + p.address
}

// ControlURL returns the base URL of the control endpoints.
func (p *Platform) ControlURL() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.controlAddress == "" {
		return "http://" + p.address
	}
	return "http://" + p.controlAddress
}

// Close ends all calls, closes the listeners and waits.
func (p *Platform) Close() error {
	p.init()
	p.mu.Lock()
	select {
	case <-p.closed:
		p.mu.Unlock()
		return nil
	default:
	}
	close(p.closed)
	var g errs.Group
	for _, s := range []*http.Server{p.service, p.control} {
		if s != nil {
			g.Add(s.Close())
		}
	}
	p.mu.Unlock()
	p.servers.Wait()
	return PlatformError.Wrap(g.Err())
}

// Put changes a value and returns the new revision. A value above configuration.MaxValueBytes is refused.
func (p *Platform) Put(name string, raw []byte) (table.Revision, error) {
	return p.PutAll(map[string][]byte{name: raw})
}

// PutAll changes several values at one revision.
func (p *Platform) PutAll(values map[string][]byte) (table.Revision, error) {
	p.init()
	for name, raw := range values {
		if name == "" {
			return 0, PlatformError.New("name of the value is empty")
		}
		if len(raw) > configuration.MaxValueBytes {
			return 0, PlatformError.New("%s: %d bytes are more than %d", name, len(raw), configuration.MaxValueBytes)
		}
	}
	return p.store.update(func(next *platformView) {
		for name, raw := range values {
			next.values[name] = platformValue{revision: next.revision, raw: raw}
			delete(next.deleted, name)
		}
	}), nil
}

// Delete removes a value and returns the new revision.
func (p *Platform) Delete(name string) table.Revision {
	p.init()
	return p.store.update(func(next *platformView) {
		delete(next.values, name)
		next.deleted[name] = next.revision
	})
}

// SetFleet replaces the fleet list and returns the new revision.
func (p *Platform) SetFleet(rows []configuration.FleetRow) table.Revision {
	p.init()
	return p.store.update(func(next *platformView) { next.fleet = rows })
}

// CurrentRevision returns the store's revision.
func (p *Platform) CurrentRevision() table.Revision {
	p.init()
	view, _ := p.store.newest()
	return view.revision
}

// view returns the state that the next answer shows, and a channel that is closed when that may differ.
func (p *Platform) view(nth uint64) (*platformView, <-chan struct{}) {
	newest, changed := p.store.newest()
	stale := p.Fault().StaleReads
	if stale.Every == 0 || nth%uint64(stale.Every) != 0 {
		return newest, changed
	}
	return p.store.at(stale.Revision), changed
}

// sleep returns after d, or false when the call or the service ends first.
func (p *Platform) sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
	case <-p.closed:
	}
	return false
}
