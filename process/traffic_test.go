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

// traffic sends requests until it is stopped and records their results.
type traffic struct {
	harness *testHarness
	stop    context.CancelFunc
	callers sync.WaitGroup

	mu        sync.Mutex
	results   []callResult
	completed int
}

// callResult is the result of one request as its caller saw it.
type callResult struct {
	route      string
	id         string
	outcome    caller.Outcome
	status     int
	reason     string
	mismatched bool
	truncated  bool
	// abortSeen reports whether the caller noticed that a response of unknown length was aborted.
	abortSeen bool
	attempts  []caller.Attempt
	duration  time.Duration
}

// startCallers starts n callers that alternate between lookups and notices. Each caller gets the
// given entries, rotated by its number.
func (h *testHarness) startCallers(n int, rows []configuration.FleetRow) *traffic {
	ctx, cancel := context.WithCancel(context.Background())
	tr := &traffic{harness: h, stop: cancel}
	for i := range n {
		c := &caller.Caller{MaxAttempts: 6}
		for j := range rows {
			c.Entries = append(c.Entries, rows[(i+j)%len(rows)].CallerAddress)
		}
		tr.callers.Go(func() {
			defer func() { _ = c.Close() }()
			for seq := 0; ctx.Err() == nil; seq++ {
				route := []string{lookups, notices}[seq%2]
				tr.send(c, route, fmt.Sprintf("%d-%d", i, seq), 64)
			}
		})
	}
	return tr
}

// send sends one request and records its result.
func (tr *traffic) send(c *caller.Caller, route, nonce string, size int64) callResult {
	path := fmt.Sprintf("/%s/%s", route, nonce)
	if rand.IntN(2) == 0 {
		// A response of unknown length is complete only if its end is announced.
		return tr.sendPath(c, route, path+"?"+standin.ParamChunked+"&", nonce, size)
	}
	return tr.sendPath(c, route, path+"?", nonce, size)
}

// sendPath sends one request; path ends with the start of the query.
func (tr *traffic) sendPath(c *caller.Caller, route, path, nonce string, size int64) callResult {
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
	res := callResult{
		route: route, id: result.ID, outcome: result.Outcome, reason: result.Reason, attempts: result.Attempts,
		duration: time.Since(began),
	}
	if result.Response != nil {
		res.status = result.Response.StatusCode
		if result.Outcome == caller.OutcomeRun && res.status == http.StatusOK {
			matches, _, err := standin.CheckNonceBody(result.Response.Body, nonce, size)
			res.abortSeen = err != nil && result.Response.ContentLength < 0
			res.truncated = err != nil && !res.abortSeen
			res.mismatched = !matches && err == nil || result.Response.Header.Get(target.HeaderNonce) != nonce
		}
		result.Response.Body.Close()
	}
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.results = append(tr.results, res)
	tr.completed++
	return res
}

// completedRequests returns how many requests have completed.
func (tr *traffic) completedRequests() int {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.completed
}

// awaitRequests waits until n more requests have completed.
func (tr *traffic) awaitRequests(n int) {
	tr.harness.t.Helper()
	until := tr.completedRequests() + n
	tr.harness.await(fmt.Sprintf("%d further requests", n), func() bool { return tr.completedRequests() >= until })
}

// stopAndCheck stops the callers and checks the results against the records of the targets.
func (tr *traffic) stopAndCheck() outcomeCounts {
	tr.harness.t.Helper()
	tr.stop()
	tr.callers.Wait()
	return tr.check()
}

// outcomeCounts counts requests by outcome.
type outcomeCounts struct {
	run, notRun, unknown, failed int
}

// check checks invariants I2, I3 and I4: no caller accepted another request's response or a truncated
// one, no ID ran more than once, and no ID that was reported as not run has run.
func (tr *traffic) check() outcomeCounts {
	tr.harness.t.Helper()
	runs := tr.harness.runsByID()
	for id, n := range runs {
		if n > 1 {
			tr.harness.reportViolation("I4", "id %s ran %d times", id, n)
		}
	}
	var counts outcomeCounts
	for _, r := range tr.results {
		switch {
		case r.mismatched:
			tr.harness.reportViolation("I2", "response does not match the request: %+v", r)
		case r.truncated:
			tr.harness.reportViolation("I2", "truncated response passed as complete: %+v", r)
		}
		tr.checkAttempts(r, runs)
		switch r.outcome {
		case caller.OutcomeRun:
			counts.run++
			if r.status >= http.StatusInternalServerError {
				counts.failed++
			}
			if r.route == notices && r.id != "" && runs[r.id] == 0 {
				tr.harness.reportViolation("I3", "reported as run but did not run: %+v", r)
			}
		case caller.OutcomeNotRun:
			counts.notRun++
		case caller.OutcomeUnknown:
			counts.unknown++
		}
	}
	tr.harness.t.Logf("outcomes: %+v", counts)
	return counts
}

// runsByID returns how many times each ID ran, summed over all targets.
func (h *testHarness) runsByID() map[string]int {
	runs := map[string]int{}
	for _, targets := range h.targets {
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

// checkAttempts checks each attempt that an entry reported as not run.
func (tr *traffic) checkAttempts(r callResult, runs map[string]int) {
	for _, a := range r.attempts {
		if a.Outcome == caller.OutcomeNotRun && a.Status != 0 && a.ID != "" && runs[a.ID] > 0 {
			tr.harness.reportViolation("I3", "id %s ran although it was reported as not run: %+v", a.ID, r)
		}
	}
}
