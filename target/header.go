package target

import (
	"net/http"
	"net/textproto"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Header fields between entries and targets.
const (
	// HeaderDeadline holds the remaining time to the deadline in whole milliseconds.
	HeaderDeadline = "Bilberrywood-Deadline-Ms"
	// HeaderShed with the value 1 marks a 503 that was given before the request was run.
	HeaderShed = "Bilberrywood-Shed"
	// HeaderDraining is present with a value other than 0 if the target is leaving.
	HeaderDraining = "Bilberrywood-Draining"
	// HeaderID holds the run id of a non-idempotent request.
	HeaderID = "Bilberrywood-Id"
	// HeaderNonce is chosen by a caller and echoed by targets, to recognise misdelivered answers.
	HeaderNonce = "Bilberrywood-Nonce"
)

// ResponseClass is what the head of an answer says of the request.
type ResponseClass uint8

// Verdicts.
const (
	// ClassExecuted means that the target ran the request.
	ClassExecuted ResponseClass = iota
	// ClassShed means that the target refused the request before it ran it.
	ClassShed
	// ClassMisdirected means that the address belongs to another target now, which did not run the
	// request.
	ClassMisdirected
	// ClassUnverified means that the answer does not come from the target's work, so that nothing is
	// known of the request.
	ClassUnverified
)

// Protocol is how targets are spoken to: the names of the header fields and the meaning of the head of an
// answer. Fields with an empty name are not used.
type Protocol struct {
	// DeadlineHeader holds the remaining time in whole milliseconds.
	DeadlineHeader string
	// NonceHeader is chosen by the caller and echoed by targets, to recognise misdelivered answers.
	NonceHeader string
	// InstanceHeader names the target that the request is for. A process that has got the address of another
	// one refuses such a request without running it.
	InstanceHeader string
	// Classify returns the verdict on the head of a final answer.
	Classify func(status int, h http.Header) ResponseClass
	// IsDraining says whether an answer's header, or a probe's, carries the signal that the target is leaving;
	// nil if targets give none. Periodic probes then tell nothing that real work doesn't.
	IsDraining func(h http.Header) bool
	// CloseDelimited allows answers without a length that end with their connection. One that is reset
	// on the way is truncated.
	CloseDelimited bool
}

// draining is Draining, or false without one.
func (p *Protocol) draining(h http.Header) bool { return p.IsDraining != nil && p.IsDraining(h) }

// DefaultProtocol is the protocol of bilberrywood's own header fields.
var DefaultProtocol = Protocol{
	DeadlineHeader: HeaderDeadline,
	NonceHeader:    HeaderNonce,
	Classify: func(status int, h http.Header) ResponseClass {
		if isShed(status, h) {
			return ClassShed
		}
		return ClassExecuted
	},
	IsDraining: isDraining,
}

// maxAdvice bounds durations that a peer names, so that a wrong value can't stop traffic for long.
const maxAdvice = time.Hour

// hopByHop are the fields that concern one connection only (RFC 9110, 7.6.1), with the historical
// ones that some programs still send.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// DropHopByHop removes the fields from h that concern one connection only, including those that its
// Connection field names.
func DropHopByHop(h http.Header) {
	options := connectionOptions(h)
	for name := range h {
		canonical := textproto.CanonicalMIMEHeaderKey(name)
		if hopByHop[canonical] || slices.Contains(options, canonical) {
			delete(h, name)
		}
	}
}

// connectionOptions returns the canonical names in the Connection field of h. Keys of h need not be
// canonical, because a header that came from another entry was not parsed by net/http.
func connectionOptions(h http.Header) []string {
	var options []string
	for name, lines := range h {
		if textproto.CanonicalMIMEHeaderKey(name) != "Connection" {
			continue
		}
		for option := range strings.SplitSeq(strings.Join(lines, ","), ",") {
			if option = textproto.TrimString(option); option != "" {
				options = append(options, textproto.CanonicalMIMEHeaderKey(option))
			}
		}
	}
	return options
}

// ParseDeadline returns the remaining time that a HeaderDeadline field names. ok is false if the
// field is missing or not a number of milliseconds from 0 to an hour; larger numbers count as an hour.
func ParseDeadline(h http.Header) (remaining time.Duration, ok bool) {
	return parseCount(h.Get(HeaderDeadline), time.Millisecond)
}

// FormatDeadline is the inverse of ParseDeadline. It rounds up, because 0 would mean that no time is
// left.
func FormatDeadline(remaining time.Duration) string {
	ms := (remaining + time.Millisecond - 1) / time.Millisecond
	return strconv.FormatInt(int64(max(ms, 0)), 10)
}

// ParseRetryAfter returns the advice of a Retry-After field relative to now; 0 means none.
func ParseRetryAfter(h http.Header, now time.Time) time.Duration {
	value := h.Get("Retry-After")
	if value == "" {
		return 0
	}
	if d, ok := parseCount(value, time.Second); ok {
		return d
	}
	at, err := http.ParseTime(value)
	if err != nil {
		return 0
	}
	return min(max(at.Sub(now), 0), maxAdvice)
}

// parseCount reads a decimal count of unit, which may have a fraction, bounded by maxAdvice.
func parseCount(value string, unit time.Duration) (time.Duration, bool) {
	value = textproto.TrimString(value)
	if value == "" {
		return 0, false
	}
	for i, c := range []byte(value) {
		if (c < '0' || c > '9') && (c != '.' || i == 0) {
			return 0, false
		}
	}
	n, err := strconv.ParseFloat(value, 64)
	if err != nil {
		return 0, false
	}
	if n > float64(maxAdvice/unit) {
		return maxAdvice, true
	}
	return time.Duration(n * float64(unit)), true
}

// isDraining says whether h carries the drain signal.
func isDraining(h http.Header) bool {
	value := h.Get(HeaderDraining)
	return value != "" && value != "0"
}

// isShed says whether an answer is a refusal that was given before the request was run.
func isShed(status int, h http.Header) bool {
	return status == http.StatusServiceUnavailable && h.Get(HeaderShed) == "1"
}
