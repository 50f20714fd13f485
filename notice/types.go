package notice

import (
	"net/http"
	"time"

	"github.com/bilberrywood/bilberrywood/fleet"
)

// Epoch counts the minutes since an incarnation started.
type Epoch uint32

// ID is the request ID of a non-idempotent request and of all its retries. Its text form is
// "<entry>.<incarnation in hex>.<epoch>.<random>".
type ID struct {
	// Entry and Incarnation name the only process that may run the request.
	Entry       fleet.EntryID
	Incarnation fleet.Incarnation
	// Epoch is the epoch of the binding from which the ID was made. IDs of old epochs are not admitted.
	Epoch Epoch
	// Random makes the ID unique: 8 to 64 characters of [0-9A-Za-z_-], chosen by the caller.
	Random string
}

// Verdict says what to do with a request that carries an ID.
type Verdict uint8

// Verdicts of Deduplicator.Admit.
const (
	// VerdictRun means that the ID is new: this call, and no later one, may run it.
	VerdictRun Verdict = iota
	// VerdictWait means that the ID is running; wait for the end of its run.
	VerdictWait
	// VerdictReplay means that the stored response is to be sent again.
	VerdictReplay
	// VerdictResponseLost means that the ID ran but its response is not stored.
	VerdictResponseLost
	// VerdictNotRun means that the ID certainly did not run and is not admitted.
	VerdictNotRun
	// VerdictUnknown means that the ID may have run, or a copy of it may run later, and that this one must not run.
	VerdictUnknown
	// VerdictConflict means that the ID was used before with other content.
	VerdictConflict
	// VerdictBoundElsewhere means that the ID is bound to another entry or incarnation.
	VerdictBoundElsewhere
)

// Response is a target's response, stored for retries.
type Response struct {
	Status  int
	Header  http.Header
	Body    []byte
	Trailer http.Header
	// Outcome is the value of the Bilberrywood-Outcome header: run, notRun or unknown.
	Outcome string
}

// Binding is the part of an address response from which callers make IDs.
type Binding struct {
	Entry       fleet.EntryID     `json:"entry"`
	Incarnation fleet.Incarnation `json:"incarnation"`
	Epoch       Epoch             `json:"epoch"`
}

// Limits bound what a Deduplicator stores.
type Limits struct {
	// MaxIDs is the maximum number of IDs remembered. A full Deduplicator refuses new IDs as not run.
	MaxIDs int
	// MaxTotalResponseBytes is the maximum size of all stored responses, and MaxResponseBytes that of one of them.
	// The size of a response is that of its headers, body and trailers.
	MaxTotalResponseBytes int
	MaxResponseBytes      int
	// ResponseTTL is how long a response is stored.
	ResponseTTL time.Duration
}
