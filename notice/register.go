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
	// memoryEpochs is how many epochs an id is remembered. It exceeds admitEpochs, so an id is
	// always remembered for as long as it could be admitted.
	memoryEpochs = 10
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
	// runs has every id admitted or refused in the last memoryEpochs epochs, by epoch of the id.
	runs map[Epoch]map[string]*Run
	ids  int
	// answerBytes is the memory of kept answers; kept lists their runs, oldest first.
	answerBytes int
	kept        []*Run
	// dropped counts the leading runs of kept whose answers are gone already.
	dropped int
	// closed is one more than the last epoch of which no new ids are admitted because the
	// register was full. Ids of a closed epoch stay refused, so that a copy of a refused request
	// can't be admitted later.
	closed Epoch
	// newest is the highest epoch seen; epochs never go back.
	newest Epoch

	// off switches rules off, so that tests can show that each of them is needed.
	off rule
}

// rule is a set of rules of a Register.
type rule uint8

const (
	// ruleMemory keeps ids for longer than they are admitted.
	ruleMemory rule = 1 << iota
	// ruleClose refuses all new ids of an epoch after one was refused because of fullness.
	ruleClose
	// ruleBurn keeps ids that ended as not run.
	ruleBurn
	// ruleIncarnation compares the incarnation of an id, not only its entry.
	ruleIncarnation
)

// Run is one id that was admitted.
type Run struct {
	id      ID
	content uint64
	done    chan struct{}
	// answer is set before done is closed; nil afterwards when the answer was not kept.
	answer  *Response
	size    int
	keepTil time.Duration
	outcome string
}

// Done is closed when the run has ended.
func (r *Run) Done() <-chan struct{} { return r.done }

// Binding returns the binding for ids that callers make at now.
func (g *Deduplicator) Binding(now time.Duration) Binding {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Binding{Entry: g.Entry, Incarnation: g.Incarnation, Epoch: max(g.advance(now), g.closed)}
}

// Admit decides whether the request with this id and content hash may run. VerdictRun is
// returned at most once per id; the caller then has to call Finish. Times are since the process's
// start by its monotonic clock.
func (g *Deduplicator) Admit(now time.Duration, id ID, content uint64) (*Run, Verdict) {
	if id.Entry != g.Entry || (id.Incarnation != g.Incarnation && g.off&ruleIncarnation == 0) {
		return nil, VerdictBoundElsewhere
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	epoch := g.advance(now)
	if r := g.runs[id.Epoch][id.Random]; r != nil {
		return r, g.repeated(now, r, content)
	}
	switch {
	case id.Epoch > max(epoch, g.closed):
		// This incarnation never gave out such an epoch. "Not run" would not be certain, since a
		// copy may come when the epoch has begun.
		return nil, VerdictUnknown
	case id.Epoch+memoryEpochs <= epoch:
		return nil, VerdictUnknown
	case id.Epoch+admitEpochs <= epoch, id.Epoch < g.closed:
		return nil, VerdictNotRun
	case g.ids >= g.Limits.MaxIDs:
		if g.off&ruleClose == 0 {
			g.closed = max(epoch, id.Epoch) + 1
		}
		return nil, VerdictNotRun
	}
	r := &Run{id: id, content: content, done: make(chan struct{})}
	g.add(r)
	return r, VerdictRun
}

// repeated returns the verdict on a further copy of an admitted request.
func (g *Deduplicator) repeated(now time.Duration, r *Run, content uint64) Verdict {
	if r.content != content {
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
	case r.answer == nil || now > r.keepTil:
		return VerdictResponseLost
	}
	return VerdictReplay
}

// Finish records how the run ended and wakes those who wait for it. An id that ended as not run
// stays refused: its caller has been told so, and a late copy must not run after that.
func (g *Deduplicator) Finish(now time.Duration, r *Run, a Response) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r.outcome = a.Outcome
	r.answer = &a
	r.size = answerSize(&a)
	r.keepTil = now + g.Limits.ResponseTTL
	if a.Outcome == OutcomeNotRun && g.off&ruleBurn != 0 {
		delete(g.runs[r.id.Epoch], r.id.Random)
		g.ids--
	}
	close(r.done)
	if a.Outcome != OutcomeRun {
		// The outcome alone answers copies; the few bytes of a refusal are not worth keeping.
		r.answer, r.size = nil, 0
		return
	}
	if r.size > g.Limits.MaxResponseBytes {
		r.answer, r.size = nil, 0
		return
	}
	g.answerBytes += r.size
	g.kept = append(g.kept, r)
	g.trim(now)
}

// Response returns the kept answer of a run that has ended, or false.
func (g *Deduplicator) Response(r *Run) (Response, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r.answer == nil {
		return Response{Outcome: r.outcome}, false
	}
	return *r.answer, true
}

// Size returns the number of ids remembered and the bytes of kept answers.
func (g *Deduplicator) Size() (ids, answerBytes int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ids, g.answerBytes
}

func (g *Deduplicator) add(r *Run) {
	if g.runs == nil {
		g.runs = make(map[Epoch]map[string]*Run)
	}
	if g.runs[r.id.Epoch] == nil {
		g.runs[r.id.Epoch] = make(map[string]*Run)
	}
	g.runs[r.id.Epoch][r.id.Random] = r
	g.ids++
}

// advance moves to the epoch of now and forgets ids that are older than the memory.
func (g *Deduplicator) advance(now time.Duration) Epoch {
	epoch := max(g.newest, Epoch(now/epochLength))
	if epoch == g.newest {
		return epoch
	}
	g.newest = epoch
	for e, runs := range g.runs {
		if e+g.memory() <= epoch {
			g.ids -= len(runs)
			delete(g.runs, e)
		}
	}
	g.trim(now)
	return epoch
}

func (g *Deduplicator) memory() Epoch {
	if g.off&ruleMemory != 0 {
		return admitEpochs - 1
	}
	return memoryEpochs
}

// trim drops the oldest answers until the memory bound holds, and those kept long enough.
func (g *Deduplicator) trim(now time.Duration) {
	for g.dropped < len(g.kept) {
		r := g.kept[g.dropped]
		if g.answerBytes <= g.Limits.MaxTotalResponseBytes && now <= r.keepTil {
			break
		}
		g.answerBytes -= r.size
		r.answer, r.size = nil, 0
		g.kept[g.dropped] = nil
		g.dropped++
	}
	// Moving the rest only once half is gone keeps the cost per answer constant.
	if g.dropped > len(g.kept)/2 {
		g.kept = append(g.kept[:0], g.kept[g.dropped:]...)
		g.dropped = 0
	}
}

func answerSize(a *Response) int {
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
