//go:build process

package process

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/bilberrywood/bilberrywood/caller"
	"github.com/bilberrywood/bilberrywood/configuration"
	"github.com/bilberrywood/bilberrywood/standin"
	"github.com/bilberrywood/bilberrywood/table"
	"github.com/bilberrywood/bilberrywood/target"
)

// traffic sends requests until it is stopped and keeps what callers were told.
type traffic struct {
	w    *world
	stop context.CancelFunc
	done sync.WaitGroup

	mu    sync.Mutex
	told  []told
	count int
}

// told is the end of one request as its caller saw it.
type told struct {
	route   string
	id      string
	outcome caller.Outcome
	status  int
	reason  string
	foreign bool
	partial bool
	// cut says that the caller saw that an answer of unknown length was cut off.
	cut      bool
	attempts []caller.Attempt
	took     time.Duration
}

// callers starts n callers that send lookups and notices in turn, each through the given entries.
func (w *world) callers(n int, rows []configuration.FleetRow) *traffic {
	ctx, cancel := context.WithCancel(context.Background())
	tr := &traffic{w: w, stop: cancel}
	for i := range n {
		c := &caller.Caller{MaxAttempts: 6}
		for j := range rows {
			c.Entries = append(c.Entries, rows[(i+j)%len(rows)].CallerAddress)
		}
		tr.done.Go(func() {
			defer func() { _ = c.Close() }()
			for seq := 0; ctx.Err() == nil; seq++ {
				route := []string{lookups, notices}[seq%2]
				tr.send(c, route, fmt.Sprintf("%d-%d", i, seq), 64)
			}
		})
	}
	return tr
}

// send sends one request and notes its end.
func (tr *traffic) send(c *caller.Caller, route, nonce string, size int64) told {
	path := fmt.Sprintf("/%s/%s", route, nonce)
	if rand.IntN(2) == 0 {
		// Answers of unknown length are whole only if their end is announced.
		return tr.sendPath(c, route, path+"?"+standin.ParamChunked+"&", nonce, size)
	}
	return tr.sendPath(c, route, path+"?", nonce, size)
}

// sendPath sends one request with the given path and begin of the query.
func (tr *traffic) sendPath(c *caller.Caller, route, path, nonce string, size int64) told {
	body := strings.Repeat("x", 200)
	r := &caller.Request{
		Route: table.RouteName(route), Method: http.MethodPost,
		Path:          fmt.Sprintf("%s%s=%d", path, standin.ParamBytes, size),
		Header:        http.Header{target.HeaderNonce: {nonce}},
		GetBody:       func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader([]byte(body))), nil },
		ContentLength: int64(len(body)), Idempotent: route == lookups,
		Deadline: time.Now().Add(8 * time.Second),
	}
	began := time.Now()
	result := c.Do(context.Background(), r)
	e := told{
		route: route, id: result.ID, outcome: result.Outcome, reason: result.Reason, attempts: result.Attempts,
		took: time.Since(began),
	}
	if result.Response != nil {
		e.status = result.Response.StatusCode
		if result.Outcome == caller.OutcomeRun && e.status == http.StatusOK {
			whole, _, err := standin.CheckNonceBody(result.Response.Body, nonce, size)
			e.cut = err != nil && result.Response.ContentLength < 0
			e.partial = err != nil && !e.cut
			e.foreign = !whole && err == nil || result.Response.Header.Get(target.HeaderNonce) != nonce
		}
		result.Response.Body.Close()
	}
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.told = append(tr.told, e)
	tr.count++
	return e
}

// sent returns how many requests have ended.
func (tr *traffic) sent() int {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.count
}

// more waits until n further requests have ended.
func (tr *traffic) more(n int) {
	tr.w.t.Helper()
	until := tr.sent() + n
	tr.w.await(fmt.Sprintf("%d further requests", n), func() bool { return tr.sent() >= until })
}

// end stops the callers and judges what they were told against the records of the targets.
func (tr *traffic) end() verdict {
	tr.w.t.Helper()
	tr.stop()
	tr.done.Wait()
	return tr.judge()
}

// verdict counts the ends of requests by outcome.
type verdict struct {
	run, notRun, unknown, failed int
}

// judge checks I2, I3 and I4: no foreign or partial answer was taken for whole, an id ran at most
// once, and one that was reported as not run did not run.
func (tr *traffic) judge() verdict {
	tr.w.t.Helper()
	runs := tr.w.runs()
	for id, n := range runs {
		if n > 1 {
			tr.w.violated("I4", "id %s ran %d times", id, n)
		}
	}
	var v verdict
	for _, e := range tr.told {
		switch {
		case e.foreign:
			tr.w.violated("I2", "not the whole answer of the request: %+v", e)
		case e.partial:
			tr.w.violated("I2", "truncated answer passed as whole: %+v", e)
		}
		tr.judgeAttempts(e, runs)
		switch e.outcome {
		case caller.OutcomeRun:
			v.run++
			if e.status >= http.StatusInternalServerError {
				v.failed++
			}
			if e.route == notices && e.id != "" && runs[e.id] == 0 {
				tr.w.violated("I3", "reported as run but did not run: %+v", e)
			}
		case caller.OutcomeNotRun:
			v.notRun++
		case caller.OutcomeUnknown:
			v.unknown++
		}
	}
	tr.w.t.Logf("outcomes: %+v", v)
	return v
}

// runs counts the runs of each id at all targets.
func (w *world) runs() map[string]int {
	runs := map[string]int{}
	for _, targets := range w.targets {
		for _, t := range targets {
			for _, run := range t.Record("").Runs {
				if run.ID != "" {
					runs[run.ID]++
				}
			}
		}
	}
	return runs
}

// judgeAttempts checks each attempt whose entry said that its id was not run.
func (tr *traffic) judgeAttempts(e told, runs map[string]int) {
	for _, a := range e.attempts {
		if a.Outcome == caller.OutcomeNotRun && a.Status != 0 && a.ID != "" && runs[a.ID] > 0 {
			tr.w.violated("I3", "id %s ran although it was reported as not run: %+v", a.ID, e)
		}
	}
}
