package notice

import (
	"sync"
	"time"

	"github.com/bilberrywood/bilberrywood/fleet"
)

const (
	// epochLength is the length of an Epoch.
	epochLength = time.Minute
	// admitEpochs is how many epochs an id is admitted: that of its binding and the next one.
	admitEpochs = 2
	// retainEpochs is how many epochs an id is remembered. It exceeds admitEpochs, so an id is
	// always remembered for as long as it could be admitted.
	retainEpochs = 10
)

// Outcomes of a request, the values of the Bilberrywood-Outcome header.
const (
	OutcomeRun     = "run"
	OutcomeNotRun  = "notRun"
	OutcomeUnknown = "unknown"
)

// Deduplicator remembers the ids that this incarnation has admitted. Its methods may be called
// concurrently. Entry, Incarnation and Limits are set before use.
type Deduplicator struct {
	Entry       fleet.EntryID
	Incarnation fleet.Incarnation
	Limits      Limits

	mu sync.Mutex
	// runs has every id admitted or refused in the last retainEpochs epochs, by epoch of the id.
	runs    map[Epoch]map[string]*Run
	idCount int
	// storedBytes is the memory of kept answers; kept lists their runs, oldest first.
	storedBytes int
	stored      []*Run
	// evicted counts the leading runs of kept whose answers are gone already.
	evicted int
	// closedBefore is one more than the last epoch of which no new ids are admitted because the
	// register was full. Ids of a closed epoch stay refused, so that a copy of a refused request
	// can't be admitted later.
	closedBefore Epoch
	// latestEpoch is the highest epoch seen; epochs never go back.
	latestEpoch Epoch

	// disabled switches rules off, so that tests can show that each of them is needed.
	disabled rule
}

// rule is a set of rules of a Register.
type rule uint8

const (
	// ruleRetain keeps ids for longer than they are admitted.
	ruleRetain rule = 1 << iota
	// ruleCloseEpoch refuses all new ids of an epoch after one was refused because of fullness.
	ruleCloseEpoch
	// ruleKeepNotRun keeps ids that ended as not run.
	ruleKeepNotRun
	// ruleIncarnation compares the incarnation of an id, not only its entry.
	ruleIncarnation
)

// Run is one id that was admitted.
type Run struct {
	id          ID
	contentHash uint64
	done        chan struct{}
	// response is set before done is closed; nil afterwards when the answer was not kept.
	response *Response
	size     int
	expires  time.Duration
	outcome  string
}

// Done is closed when the run has ended.
func (r *Run) Done() <-chan struct{} { return r.done }

// Binding returns the binding for ids that callers make at now.
func (d *Deduplicator) Binding(now time.Duration) Binding {
	d.mu.Lock()
	defer d.mu.Unlock()
	return Binding{Entry: d.Entry, Incarnation: d.Incarnation, Epoch: max(d.advanceEpoch(now), d.closedBefore)}
}

// Admit decides whether the request with this id and content hash may run. VerdictRun is
// returned at most once per id; the caller then has to call Finish. Times are since the process's
// start by its monotonic clock.
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
		// This incarnation never gave out such an epoch. "Not run" would not be certain, since a
		// copy may come when the epoch has begun.
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

// copyVerdict returns the verdict on a further copy of an admitted request.
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

// Finish records how the run ended and wakes those who wait for it. An id that ended as not run
// stays refused: its caller has been told so, and a late copy must not run after that.
func (d *Deduplicator) Finish(now time.Duration, r *Run, a Response) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r.outcome = a.Outcome
	r.response = &a
	r.size = responseSize(&a)
	r.expires = now + d.Limits.ResponseTTL
	if a.Outcome == OutcomeNotRun && d.disabled&ruleKeepNotRun != 0 {
		delete(d.runs[r.id.Epoch], r.id.Random)
		d.idCount--
	}
	close(r.done)
	if a.Outcome != OutcomeRun {
		// The outcome alone answers copies; the few bytes of a refusal are not worth keeping.
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

// Response returns the kept answer of a run that has ended, or false.
func (d *Deduplicator) Response(r *Run) (Response, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if r.response == nil {
		return Response{Outcome: r.outcome}, false
	}
	return *r.response, true
}

// Size returns the number of ids remembered and the bytes of kept answers.
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

// advanceEpoch moves to the epoch of now and forgets ids that are older than the memory.
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

// evictResponses drops the oldest answers until the memory bound holds, and those kept long enough.
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
	// Moving the rest only once half is gone keeps the cost per answer constant.
	if d.evicted > len(d.stored)/2 {
		d.stored = append(d.stored[:0], d.stored[d.evicted:]...)
		d.evicted = 0
	}
}

func responseSize(a *Response) int {
	size := len(a.Body)
	for _, h := range []map[string][]string{a.Header, a.Trailer} {
		for name, values := range h {
			size += len(name)
			for _, v := range values {
				size += len(v)
			}
		}
	}
	return size
}
