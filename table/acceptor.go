package table

import (
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"
)

// Verdict is the result of offering a snapshot.
type Verdict uint8

// Verdicts of an Acceptor.
const (
	// Ignored means that the revision is not higher than that of the active pair.
	Ignored Verdict = iota
	// Accepted means that the offered pair is now active.
	Accepted
	// Rejected means that the pair is invalid. The active pair does not change.
	Rejected
	// Conflict means that the active pair has the same revision but other content. It does not change.
	// The platform or a peer has delivered two contents for one revision, which must not happen.
	Conflict
)

var verdictNames = [...]string{Ignored: "ignored", Accepted: "accepted", Rejected: "rejected", Conflict: "conflict"}

// String returns the verdict as it is written to logs.
func (v Verdict) String() string { return verdictNames[v] }

// Snapshot is the raw content of all values under KeyPrefix that existed at one revision, by key.
type Snapshot struct {
	Revision Revision
	Values   map[string][]byte
}

// OfferResult is the result of offering a snapshot to an Acceptor.
type OfferResult struct {
	Verdict  Verdict
	Revision Revision
	// Source is where the snapshot came from: "platform" or the ID of a peer.
	Source string
	// Previous is the pair that was active before the offer; nil if there was none.
	Previous *Pair
	// Active is the pair that is active after the offer; nil if there is none yet.
	Active *Pair
	// Problems are the reasons for a rejection.
	Problems Problems
}

// Rejection is a snapshot that was not accepted although its revision was not lower than the active one.
type Rejection struct {
	Revision Revision `json:"revision"`
	Digest   uint64   `json:"digest"`
	Source   string   `json:"source"`
	// FirstSeen and LastSeen are the times of the first and last offer of this content, and Count the
	// number of offers.
	FirstSeen time.Time `json:"first"`
	LastSeen  time.Time `json:"last"`
	Count     int       `json:"times"`
	Problems  Problems  `json:"problems"`
}

// maxRejections is the number of rejections that an Acceptor keeps for operators.
const maxRejections = 16

// Acceptor holds the active pair and decides whether a snapshot replaces it. The revision of the active
// pair never decreases. The zero value is ready for use. Methods may be called concurrently.
type Acceptor struct {
	// Paths is how accepted pairs match paths. It is set before the first offer.
	Paths PathMatching
	// OnOffer, if it is set before the first offer, is called with the result of each offer before the
	// next offer is processed. State that is derived from the active pair must be updated in it: after
	// Offer has returned, a later offer may already have been accepted, and an update could restore the
	// older state. OnOffer must not call Offer.
	OnOffer func(now time.Time, r OfferResult)

	// offerMu serializes offers, since the result of each depends on the one before.
	offerMu sync.Mutex
	// mu guards the fields below. It is not held while a snapshot is parsed, so that requests don't have
	// to wait for parsing.
	mu          sync.Mutex
	active      *Pair
	activeSince time.Time
	rejections  []Rejection
}

// Offer decides on a snapshot that was read at now. The result depends only on the active pair and the
// snapshot: entries that are offered the same snapshots, in any order and from any source, end up with
// the same pair.
func (a *Acceptor) Offer(now time.Time, source string, s Snapshot) OfferResult {
	a.offerMu.Lock()
	defer a.offerMu.Unlock()
	result := a.decide(now, source, s)
	if a.OnOffer != nil {
		a.OnOffer(now, result)
	}
	return result
}

func (a *Acceptor) decide(now time.Time, source string, s Snapshot) OfferResult {
	previous, _ := a.Active()
	result := OfferResult{Revision: s.Revision, Source: source, Previous: previous, Active: previous}
	if previous != nil && s.Revision < previous.Revision {
		return result
	}
	candidate := Rejection{Revision: s.Revision, Digest: Digest(s.Values), Source: source, FirstSeen: now, LastSeen: now, Count: 1}
	if previous != nil && s.Revision == previous.Revision {
		if candidate.Digest != previous.Digest {
			candidate.Problems = Problems{{File: KeyPrefix, Reason: "revision is in force with another content"}}
			result.Verdict, result.Problems = Conflict, a.recordRejection(candidate)
		}
		return result
	}
	if problems, known := a.countRepeat(candidate); known {
		result.Verdict, result.Problems = Rejected, problems
		return result
	}
	pair, err := newPair(s.Revision, s.Values, a.Paths)
	if err == nil && previous != nil && pair.Routes.Version < previous.Routes.Version {
		err = Problems{{File: RoutesKey, Pointer: "/version", Reason: fmt.Sprintf(
			"version %d is below %d, which is in force", pair.Routes.Version, previous.Routes.Version)}}
	}
	if err != nil {
		candidate.Problems = asProblems(err)
		result.Verdict, result.Problems = Rejected, a.recordRejection(candidate)
		return result
	}
	a.activate(now, pair)
	result.Verdict, result.Active = Accepted, pair
	return result
}

func (a *Acceptor) activate(now time.Time, pair *Pair) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.active, a.activeSince = pair, now
}

// countRepeat reports whether the same content was rejected before at the same revision, and counts the
// repeat. A repeat is not parsed again, because a reader offers the same content with every poll.
func (a *Acceptor) countRepeat(rejection Rejection) (Problems, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	known := a.findRejection(rejection.Revision, rejection.Digest)
	if known == nil {
		return nil, false
	}
	known.LastSeen = rejection.LastSeen
	known.Count++
	return known.Problems, true
}

// recordRejection stores a rejection. If there are maxRejections, it replaces the oldest one.
func (a *Acceptor) recordRejection(rejection Rejection) Problems {
	if problems, known := a.countRepeat(rejection); known {
		return problems
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.rejections) == maxRejections {
		a.rejections = a.rejections[1:]
	}
	a.rejections = append(a.rejections, rejection)
	return rejection.Problems
}

func (a *Acceptor) findRejection(revision Revision, digest uint64) *Rejection {
	for i := range a.rejections {
		if a.rejections[i].Revision == revision && a.rejections[i].Digest == digest {
			return &a.rejections[i]
		}
	}
	return nil
}

// Active returns the active pair and the time at which it was accepted. The pair is nil if there is none
// yet.
func (a *Acceptor) Active() (*Pair, time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.active, a.activeSince
}

// Rejections returns the latest rejections and conflicts, oldest first.
func (a *Acceptor) Rejections() []Rejection {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.rejections)
}

func asProblems(err error) Problems {
	var problems Problems
	if errors.As(err, &problems) {
		return problems
	}
	return Problems{{File: KeyPrefix, Reason: err.Error()}}
}
