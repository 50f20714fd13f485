package notice

import (
	"net/http"
	"time"

	"github.com/bilberrywood/bilberrywood/fleet"
)

// Epoch counts the minutes since an incarnation started.
type Epoch uint32

// ID identifies one non-idempotent request over all of its resends. Its text form is
// "<entry>.<incarnation in hex>.<epoch>.<random>".
type ID struct {
	// Entry and Incarnation name the only process that may decide to run the request.
	Entry       fleet.EntryID
	Incarnation fleet.Incarnation
	// Epoch is when the binding was given out; ids of old epochs are not admitted.
	Epoch Epoch
	// Random makes the id unique; 8 to 64 characters of [0-9A-Za-z_-], chosen by the caller.
	Random string
}

// Verdict says what to do with a request that carries an ID.
type Verdict uint8

// Verdicts of Register.Admit.
const (
	// VerdictRun means that the id is new: this call, and no later one, may run it.
	VerdictRun Verdict = iota
	// VerdictWait means that the id is running; its answer will come.
	VerdictWait
	// VerdictReplay means that the kept answer is to be given again.
	VerdictReplay
	// VerdictResponseLost means that the id ran but its answer was not kept.
	VerdictResponseLost
	// VerdictNotRun means that the id certainly did not run and is not admitted.
	VerdictNotRun
	// VerdictUnknown means that the id may have run and is not started again.
	VerdictUnknown
	// VerdictConflict means that the id was used before with other content.
	VerdictConflict
	// VerdictBoundElsewhere means that another entry or incarnation has to decide.
	VerdictBoundElsewhere
)

// Response is a target's answer, kept for resends.
type Response struct {
	Status  int
	Header  http.Header
	Body    []byte
	Trailer http.Header
	// Outcome is the value of the Bilberrywood-Outcome header: run, notRun or unknown.
	Outcome string
}

// Binding is the part of an address answer from which callers make ids.
type Binding struct {
	Entry       fleet.EntryID     `json:"entry"`
	Incarnation fleet.Incarnation `json:"incarnation"`
	Epoch       Epoch             `json:"epoch"`
}

// Limits bound what a Register keeps.
type Limits struct {
	// MaxIDs is the most ids remembered; a full register refuses new ids as not run.
	MaxIDs int
	// MaxTotalResponseBytes is the most memory for kept answers; MaxResponseBytes the most for one of them.
	MaxTotalResponseBytes int
	MaxResponseBytes      int
	// ResponseTTL is how long an answer is kept.
	ResponseTTL time.Duration
}
