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

// Platform is a stand-in for the configuration service: a key-value store with one revision counter
// for all values, and the fleet list. SetFault or POST /control/fault make it unreachable, stale or
// slow. Its fields must be set before Start.
type Platform struct {
	// Listen and ControlListen are IP addresses with ports; port 0 selects a free one. Both serve
	// the control endpoints. Without ControlListen, a control request can't make the service refuse
	// connections, because no later request could end that.
	Listen        string
	ControlListen string
	// Files maps the names of values to the files that Reload reads. FleetFile is the file with the
	// fleet list.
	Files     map[string]string
	FleetFile string
	// Revision is the revision of the store before the first change. After a restart it must be
	// above the previous revision, or entries ignore the service as stale.
	Revision table.Revision
	Log      zerolog.Logger

	once       sync.Once
	store      *platformStore
	operations operationCounter
	closed     chan struct{}

	mu            sync.Mutex
	fault         PlatformFault
	serviceServer *http.Server
	controlServer *http.Server
	// address and controlAddress are set by Start.
	address, controlAddress string
	servers                 sync.WaitGroup
}

func (p *Platform) init() {
	p.once.Do(func() {
		p.store = newPlatformStore(p.Revision)
		p.closed = make(chan struct{})
	})
}

// Handler returns the service without a listener, for tests within one process.
func (p *Platform) Handler() http.Handler {
	p.init()
	return p.serviceHandler()
}

// Start loads the files and starts serving until Close.
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
		p.controlServer, p.controlAddress = server, address
	}
	return p.listenLocked()
}

// listenLocked opens the listener of the service. If there was one before, the address stays the same.
func (p *Platform) listenLocked() error {
	server, address, err := p.serve(p.address, p.serviceHandler())
	if err != nil {
		return err
	}
	p.serviceServer, p.address = server, address
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
			p.Log.Error().Err(err).Msg("HTTP server stopped unexpectedly")
		}
	})
	return server, listener.Addr().String(), nil
}

// readHeaderTimeout limits how long a client may take to send a request header.
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

// Close ends all calls, closes the listeners and waits until they have stopped.
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
	var errGroup errs.Group
	for _, s := range []*http.Server{p.serviceServer, p.controlServer} {
		if s != nil {
			errGroup.Add(s.Close())
		}
	}
	p.mu.Unlock()
	p.servers.Wait()
	return PlatformError.Wrap(errGroup.Err())
}

// Put changes a value and returns the new revision. It returns an error of class PlatformError if
// the name is empty or the value is larger than configuration.MaxValueBytes.
func (p *Platform) Put(name string, raw []byte) (table.Revision, error) {
	return p.PutAll(map[string][]byte{name: raw})
}

// PutAll changes several values at one revision and returns it.
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
	return p.store.update(func(next *platformSnapshot) {
		for name, raw := range values {
			next.values[name] = platformValue{revision: next.revision, raw: raw}
			delete(next.deleted, name)
		}
	}), nil
}

// Delete removes a value and returns the new revision.
func (p *Platform) Delete(name string) table.Revision {
	p.init()
	return p.store.update(func(next *platformSnapshot) {
		delete(next.values, name)
		next.deleted[name] = next.revision
	})
}

// SetFleet replaces the fleet list and returns the new revision.
func (p *Platform) SetFleet(rows []configuration.FleetRow) table.Revision {
	p.init()
	return p.store.update(func(next *platformSnapshot) { next.fleet = rows })
}

// CurrentRevision returns the current revision of the store.
func (p *Platform) CurrentRevision() table.Revision {
	p.init()
	snapshot, _ := p.store.latest()
	return snapshot.revision
}

// snapshotFor returns the snapshot for the response to a call, and a channel that is closed when it
// may have changed.
func (p *Platform) snapshotFor(callNumber uint64) (*platformSnapshot, <-chan struct{}) {
	latest, changed := p.store.latest()
	stale := p.Fault().StaleReads
	if stale.Every == 0 || callNumber%uint64(stale.Every) != 0 {
		return latest, changed
	}
	return p.store.atRevision(stale.Revision), changed
}

// sleep waits for d. It returns false if the call or the service ends first.
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
