package notice

import (
	"sync"
	"time"

	"github.com/bilberrywood/bilberrywood/fleet"
)

const (
	// epochLength is the length of an Epoch.
	epochLength = time.Minute
	// admitEpochs is for how many epochs an ID is admitted: that of its binding and the next one.
	admitEpochs = 2
	// retainEpochs is for how many epochs an ID is remembered. It exceeds admitEpochs, so an ID is always
	// remembered for as long as it could be admitted.
	retainEpochs = 10
)

// Outcomes of a request, the values of the Bilberrywood-Outcome header.
const (
	OutcomeRun     = "run"
	OutcomeNotRun  = "notRun"
	OutcomeUnknown = "unknown"
)

// Deduplicator remembers the IDs that this incarnation has admitted. It is safe for concurrent use. Entry,
// Incarnation and Limits must be set before the first call.
type Deduplicator struct {
	Entry       fleet.EntryID
	Incarnation fleet.Incarnation
	Limits      Limits

	mu sync.Mutex
	// runs has the admitted IDs of the last retainEpochs epochs, by epoch and random part.
	runs    map[Epoch]map[string]*Run
	idCount int
	// storedBytes is the size of all stored responses; stored lists their runs, oldest first.
	storedBytes int
	stored      []*Run
	// evicted counts the leading runs of stored whose responses were evicted already.
	evicted int
	// closedBefore is the first epoch whose new IDs may still be admitted. All earlier epochs are closed
	// because an ID was refused when the Deduplicator was full. Their new IDs stay refused, so that a copy of
	// the refused request can't be admitted later.
	closedBefore Epoch
	// latestEpoch is the highest epoch seen; the current epoch never goes back.
	latestEpoch Epoch

	// disabled is the set of rules that a test disables to show that each of them is needed.
	disabled rule
}

// rule is a set of rules of a Deduplicator.
type rule uint8

const (
	// ruleRetain remembers IDs for longer than they are admitted.
	ruleRetain rule = 1 << iota
	// ruleCloseEpoch refuses all new IDs of an epoch after one was refused because the Deduplicator was full.
	ruleCloseEpoch
	// ruleKeepNotRun remembers IDs that ended as not run.
	ruleKeepNotRun
	// ruleIncarnation compares the incarnation of an ID, not only its entry.
	ruleIncarnation
)

// Run is the run of an admitted ID.
type Run struct {
	id          ID
	contentHash uint64
	done        chan struct{}
	// response is set before done is closed. It is nil after that if the response is not stored.
	response *Response
	size     int
	expires  time.Duration
	outcome  string
}

// Done returns a channel that is closed when the run has ended.
func (r *Run) Done() <-chan struct{} { return r.done }

// Binding returns the binding for IDs that callers make at now.
func (d *Deduplicator) Binding(now time.Duration) Binding {
	d.mu.Lock()
	defer d.mu.Unlock()
	return Binding{Entry: d.Entry, Incarnation: d.Incarnation, Epoch: max(d.advanceEpoch(now), d.closedBefore)}
}

// Admit decides whether the request with this ID and content hash may run. It returns VerdictRun at most once
// per ID, and the caller must then call Finish. The Run is nil unless the ID is remembered. Times are monotonic
// since the start of the process.
func (d *Deduplicator) Admit(now time.Duration, id ID, contentHash uint64) (*Run, Verdict) {
	if id.Entry != d.Entry || (id.Incarnation != d.Incarnation && d.disabled&ruleIncarnation == 0) {
		return nil, VerdictBoundElsewhere
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	epoch := d.advanceEpoch(now)
	if r := d.runs[id.Epoch][id.Random]; r != nil {
		return r, d.copyVerdict(now, r, contentHash)
	}
	switch {
	case id.Epoch > max(epoch, d.closedBefore):
		// This incarnation has not given out such an epoch yet. "Not run" would not be certain, because a copy
		// may arrive after the epoch has started.
		return nil, VerdictUnknown
	case id.Epoch+retainEpochs <= epoch:
		return nil, VerdictUnknown
	case id.Epoch+admitEpochs <= epoch, id.Epoch < d.closedBefore:
		return nil, VerdictNotRun
	case d.idCount >= d.Limits.MaxIDs:
		if d.disabled&ruleCloseEpoch == 0 {
			d.closedBefore = max(epoch, id.Epoch) + 1
		}
		return nil, VerdictNotRun
	}
	r := &Run{id: id, contentHash: contentHash, done: make(chan struct{})}
	d.add(r)
	return r, VerdictRun
}

// copyVerdict returns the verdict on another copy of an admitted request.
func (d *Deduplicator) copyVerdict(now time.Duration, r *Run, contentHash uint64) Verdict {
	if r.contentHash != contentHash {
		return VerdictConflict
	}
	select {
	case <-r.done:
	default:
		return VerdictWait
	}
	switch {
	case r.outcome == OutcomeNotRun:
		return VerdictNotRun
	case r.outcome == OutcomeUnknown:
		return VerdictUnknown
	case r.response == nil || now > r.expires:
		return VerdictResponseLost
	}
	return VerdictReplay
}

// Finish records the outcome of a run, stores the response of OutcomeRun if it is small enough, and wakes all
// waiters. An ID that ended as not run stays refused: its caller was told so, and a late copy must not run after
// that.
func (d *Deduplicator) Finish(now time.Duration, r *Run, resp Response) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r.outcome = resp.Outcome
	r.response = &resp
	r.size = responseSize(&resp)
	r.expires = now + d.Limits.ResponseTTL
	if resp.Outcome == OutcomeNotRun && d.disabled&ruleKeepNotRun != 0 {
		delete(d.runs[r.id.Epoch], r.id.Random)
		d.idCount--
	}
	close(r.done)
	if resp.Outcome != OutcomeRun {
		// Copies get the outcome only; the few bytes of a refusal are not worth storing.
		r.response, r.size = nil, 0
		return
	}
	if r.size > d.Limits.MaxResponseBytes {
		r.response, r.size = nil, 0
		return
	}
	d.storedBytes += r.size
	d.stored = append(d.stored, r)
	d.evictResponses(now)
}

// Response returns the stored response of a run that has ended. If none is stored it returns false, and a Response
// that holds only the outcome.
func (d *Deduplicator) Response(r *Run) (Response, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if r.response == nil {
		return Response{Outcome: r.outcome}, false
	}
	return *r.response, true
}

// Size returns the number of IDs remembered and the size of all stored responses in bytes.
func (d *Deduplicator) Size() (ids, storedBytes int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.idCount, d.storedBytes
}

func (d *Deduplicator) add(r *Run) {
	if d.runs == nil {
		d.runs = make(map[Epoch]map[string]*Run)
	}
	if d.runs[r.id.Epoch] == nil {
		d.runs[r.id.Epoch] = make(map[string]*Run)
	}
	d.runs[r.id.Epoch][r.id.Random] = r
	d.idCount++
}

// advanceEpoch advances to the epoch of now and forgets the IDs of expired epochs.
func (d *Deduplicator) advanceEpoch(now time.Duration) Epoch {
	epoch := max(d.latestEpoch, Epoch(now/epochLength))
	if epoch == d.latestEpoch {
		return epoch
	}
	d.latestEpoch = epoch
	for e, runs := range d.runs {
		if e+d.retention() <= epoch {
			d.idCount -= len(runs)
			delete(d.runs, e)
		}
	}
	d.evictResponses(now)
	return epoch
}

func (d *Deduplicator) retention() Epoch {
	if d.disabled&ruleRetain != 0 {
		return admitEpochs - 1
	}
	return retainEpochs
}

// evictResponses evicts expired responses, and the oldest ones while the total size exceeds its limit.
func (d *Deduplicator) evictResponses(now time.Duration) {
	for d.evicted < len(d.stored) {
		r := d.stored[d.evicted]
		if d.storedBytes <= d.Limits.MaxTotalResponseBytes && now <= r.expires {
			break
		}
		d.storedBytes -= r.size
		r.response, r.size = nil, 0
		d.stored[d.evicted] = nil
		d.evicted++
	}
	// Compacting only when more than half is evicted keeps the cost per response constant.
	if d.evicted > len(d.stored)/2 {
		d.stored = append(d.stored[:0], d.stored[d.evicted:]...)
		d.evicted = 0
	}
}

func responseSize(resp *Response) int {
	size := len(resp.Body)
	for _, h := range []map[string][]string{resp.Header, resp.Trailer} {
		for name, values := range h {
			size += len(name)
			for _, v := range values {
				size += len(v)
			}
		}
	}
	return size
}
