package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeItem is one item of the store, in the form of PROTOCOL.md.
type storeItem struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"createdRev,omitempty"`
	Lease     uint64 `json:"lease"`
	Compacted bool   `json:"compacted,omitempty"`
}

// store is a stand-in of the platform's metadata store: kv-key, kv-range and kv-watch.
type store struct {
	address string

	mu       sync.Mutex
	revision uint64
	items    map[string]storeItem
	events   []storeItem
	changed  chan struct{}
	server   *http.Server
	// silent, while set, holds up all answers until it is closed; the calls get none then.
	silent chan struct{}
}

// pageItems is the number of items in a page of a listing.
const pageItems = 500

func startStore(ip string) (*store, error) {
	s := &store{revision: 1, items: make(map[string]storeItem), changed: make(chan struct{})}
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	s.address = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-key", s.serveKey)
	mux.HandleFunc("GET /api/kv-range", s.serveRange)
	mux.HandleFunc("GET /api/kv-watch", s.serveWatch)
	s.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		silent := s.silent
		s.mu.Unlock()
		if silent != nil {
			select {
			case <-silent:
			case <-r.Context().Done():
			}
			panic(http.ErrAbortHandler)
		}
		mux.ServeHTTP(w, r)
	})}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// silence stops or resumes the answers to reading calls.
func (s *store) silence(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case on && s.silent == nil:
		s.silent = make(chan struct{})
		close(s.changed)
		s.changed = make(chan struct{})
	case !on && s.silent != nil:
		close(s.silent)
		s.silent = nil
	}
}

func (s *store) close() { _ = s.server.Close() }

// put writes a value as JSON.
func (s *store) put(key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	i := storeItem{Key: key, Value: raw, Revision: s.revision, Created: s.revision}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.add(i)
}

// remove removes an item.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.add(storeItem{Key: key, Revision: s.revision, Compacted: true})
}

func (s *store) add(i storeItem) {
	s.events = append(s.events, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

func respondJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the caller has gone
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.URL.Query().Get("key")]
	at := s.revision
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	respondJSON(w, struct {
		storeItem
		At uint64 `json:"atRev"`
	}{i, at})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	more := len(keys) > pageItems
	if more {
		keys = keys[:pageItems]
	}
	items := make([]storeItem, 0, len(keys))
	for _, k := range keys {
		items = append(items, s.items[k])
	}
	at := s.revision
	s.mu.Unlock()
	respondJSON(w, map[string]any{"items": items, "hasMore": more, "atRev": at})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(q.Get("waitMs"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		first := sort.Search(len(s.events), func(i int) bool { return s.events[i].Revision > after })
		var events []storeItem
		for _, e := range s.events[first:] {
			if strings.HasPrefix(e.Key, q.Get("prefix")) {
				events = append(events, e)
			}
		}
		at, changed, future, silent := s.revision, s.changed, after > s.revision, s.silent
		s.mu.Unlock()
		if silent != nil {
			select {
			case <-silent:
			case <-r.Context().Done():
			}
			panic(http.ErrAbortHandler)
		}
		if future {
			w.WriteHeader(http.StatusGone)
			return
		}
		expired := false
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-timer.C:
				expired = true
			}
		}
		if len(events) > 0 || expired {
			if events == nil {
				events = []storeItem{}
			}
			respondJSON(w, map[string]any{"events": events, "atRev": at})
			return
		}
	}
}
