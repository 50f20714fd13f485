package main

import (
	"encoding/json"
	"os"
	"sync"
	"time"
)

// event is one line of record.txt: something that a stand-in sent, received or did.
type event struct {
	// T is the time since the start of the rig in seconds.
	T float64 `json:"t"`
	// Who is the stand-in: store, operator, client, a server's ID or a node's name.
	Who string `json:"who"`
	// What is the kind of event.
	What   string `json:"what"`
	ID     string `json:"id,omitempty"`
	Method string `json:"method,omitempty"`
	Path   string `json:"path,omitempty"`
	Status int    `json:"status,omitempty"`
	Stamp  string `json:"stamp,omitempty"`
	Note   string `json:"note,omitempty"`
}

// record collects events in memory and in a file.
type record struct {
	start time.Time

	mu     sync.Mutex
	file   *os.File
	events []event
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: f}, nil
}

// now returns the time since the start in seconds.
func (r *record) now() float64 { return time.Since(r.start).Seconds() }

func (r *record) add(e event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.T = r.now()
	r.events = append(r.events, e)
	raw, err := json.Marshal(e)
	if err == nil {
		_, err = r.file.Write(append(raw, '\n'))
	}
	if err != nil {
		panic(err)
	}
}

// all returns the events so far.
func (r *record) all() []event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]event(nil), r.events...)
}

// count returns how many events fit.
func (r *record) count(fits func(event) bool) int {
	n := 0
	for _, e := range r.all() {
		if fits(e) {
			n++
		}
	}
	return n
}
