package standin

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/bilberrywood/bilberrywood/configuration"
	"github.com/bilberrywood/bilberrywood/table"
)

// maxControlBytes limits the body of a control request. It is larger than the limit of a value, so
// that the store itself refuses values that are too large.
const maxControlBytes = 16 << 20

// platformState is the response to control requests.
type platformState struct {
	Revision table.Revision `json:"revision"`
	Fault    PlatformFault  `json:"fault"`
}

func (p *Platform) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /control/operations", func(w http.ResponseWriter, _ *http.Request) {
		writePlatformJSON(w, p.Operations())
	})
	mux.HandleFunc("GET /control/state", func(w http.ResponseWriter, _ *http.Request) {
		writePlatformJSON(w, platformState{p.CurrentRevision(), p.Fault()})
	})
	mux.HandleFunc("POST /control/put", p.controlHandlerFunc(p.controlPut))
	mux.HandleFunc("POST /control/delete", p.controlHandlerFunc(p.controlDelete))
	mux.HandleFunc("POST /control/fleet", p.controlHandlerFunc(p.controlFleet))
	mux.HandleFunc("POST /control/reload", p.controlHandlerFunc(func(*http.Request, []byte) error { return p.Reload() }))
	mux.HandleFunc("POST /control/fault", p.controlHandlerFunc(p.controlFault))
	return mux
}

// controlHandlerFunc returns a handler that applies a control request. It responds with the
// resulting state, or with status 400 and the error.
func (p *Platform) controlHandlerFunc(apply func(r *http.Request, body []byte) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxControlBytes))
		if err == nil {
			err = apply(r, body)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		writePlatformJSON(w, platformState{p.CurrentRevision(), p.Fault()})
	}
}

func (p *Platform) controlPut(r *http.Request, body []byte) error {
	_, err := p.Put(r.URL.Query().Get("name"), body)
	return err
}

func (p *Platform) controlDelete(r *http.Request, _ []byte) error {
	name := r.URL.Query().Get("name")
	snapshot, _ := p.store.latest()
	if _, ok := snapshot.values[name]; !ok {
		return PlatformError.New("no value is called %q", name)
	}
	p.Delete(name)
	return nil
}

func (p *Platform) controlFleet(_ *http.Request, body []byte) error {
	rows, err := ParseFleet(body)
	if err != nil {
		return err
	}
	if rows == nil {
		rows = []configuration.FleetRow{}
	}
	p.SetFleet(rows)
	return nil
}

func (p *Platform) controlFault(_ *http.Request, body []byte) error {
	var f PlatformFault
	if err := json.Unmarshal(body, &f); err != nil {
		return PlatformError.Wrap(err)
	}
	if f.Mode == PlatformRefused && p.ControlListen == "" {
		return PlatformError.New("mode %q needs a separate control address", f.Mode)
	}
	return p.SetFault(f)
}
