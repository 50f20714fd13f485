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
	// HeaderDeadline holds the time left until the deadline in whole milliseconds.
	HeaderDeadline = "Bilberrywood-Deadline-Ms"
	// HeaderShed with the value 1 marks a 503 for a request that was refused before it was run.
	HeaderShed = "Bilberrywood-Shed"
	// HeaderDraining with a value other than 0 announces that the target is draining.
	HeaderDraining = "Bilberrywood-Draining"
	// HeaderRateLimit holds the requests per second, a decimal number, that the target accepts from all entries
	// together. The limit holds for as long as the target's responses have the field.
	HeaderRateLimit = "Bilberrywood-Rate-Limit"
	// HeaderID holds the request ID of a non-idempotent request.
	HeaderID = "Bilberrywood-Id"
	// HeaderAccount names the client account of a request.
	HeaderAccount = "Bilberrywood-Account"
	// HeaderNonce is chosen by a caller and echoed by targets, to detect misdelivered responses.
	HeaderNonce = "Bilberrywood-Nonce"
)

// ResponseClass says what a response header implies about the request.
type ResponseClass uint8

// Response classes.
const (
	// ClassExecuted means that the target ran the request.
	ClassExecuted ResponseClass = iota
	// ClassShed means that the target refused the request before running it.
	ClassShed
	// ClassMisdirected means that another target has taken over the address and refused the request
	// without running it.
	ClassMisdirected
	// ClassUnverified means that the response may come from something else than the target, so that
	// the request may have run or not.
	ClassUnverified
)

// Protocol describes a target protocol: the names of the header fields and the meaning of a
// response header. A field with an empty name is not used.
type Protocol struct {
	// DeadlineHeader holds the time left in whole milliseconds.
	DeadlineHeader string
	// NonceHeader is chosen by the caller and echoed by targets, to detect misdelivered responses.
	NonceHeader string
	// AlwaysEchoed says that targets echo the nonce in every response, so that one without it on a
	// connection that has served an earlier request may belong to that one.
	AlwaysEchoed bool
	// InstanceHeader names the target that the request is meant for. If another target has taken
	// over the address, it refuses the request without running it.
	InstanceHeader string
	// AccountHeader of a request names the client account that it belongs to. Callers can't set it where tokens identify
	// accounts.
	AccountHeader string
	// RateLimitHeader of a response holds the requests per second that the target accepts from all entries
	// together.
	RateLimitHeader string
	// Classify returns the class of a final response header.
	Classify func(status int, h http.Header) ResponseClass
	// IsDraining reports whether a response to a request or a probe announces that the target is
	// draining. It is nil if targets announce no drain.
	IsDraining func(h http.Header) bool
	// ProbesOnDemand leaves out periodic probes, where the tables say which targets are draining.
	ProbesOnDemand bool
	// CloseDelimited allows responses without a length that end with their connection. If the
	// connection is reset, such a response counts as truncated, also if a reset follows the target's end
	// before that has been read.
	CloseDelimited bool
}

// draining reports what IsDraining returns, or false if it is nil.
func (p *Protocol) draining(h http.Header) bool { return p.IsDraining != nil && p.IsDraining(h) }

// DefaultProtocol is the protocol with bilberrywood's own header fields.
var DefaultProtocol = Protocol{
	DeadlineHeader:  HeaderDeadline,
	NonceHeader:     HeaderNonce,
	AccountHeader:   HeaderAccount,
	RateLimitHeader: HeaderRateLimit,
	Classify: func(status int, h http.Header) ResponseClass {
		if isShed(status, h) {
			return ClassShed
		}
		return ClassExecuted
	},
	IsDraining: isDraining,
}

// credentialFields are the fields that say on whose behalf a request is made. Those of a trailer are not passed on, since
// the entry decided before it arrived (RFC 9110, section 6.5.1).
func (p *Protocol) credentialFields() []string { return []string{"Authorization", p.AccountHeader} }

// maxPeerDuration limits durations that a peer sends, so that a wrong value can't stop traffic for long.
const maxPeerDuration = time.Hour

// hopByHopHeaders are the fields that concern one connection only (RFC 9110, 7.6.1), and older ones
// that some programs still send.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// DropHopByHop removes the hop-by-hop fields from h, including those that its Connection field names.
func DropHopByHop(h http.Header) {
	options := connectionOptions(h)
	for name := range h {
		canonical := textproto.CanonicalMIMEHeaderKey(name)
		if hopByHopHeaders[canonical] || slices.Contains(options, canonical) {
			delete(h, name)
		}
	}
}

// connectionOptions returns the canonical names listed in the Connection field of h. Keys of h need
// not be canonical, because net/http does not parse a header that another entry forwarded.
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

// ParseDeadline returns the time left that a HeaderDeadline field names. A value above an hour
// counts as an hour. ok is false if the field is missing or not a non-negative number.
func ParseDeadline(h http.Header) (remaining time.Duration, ok bool) {
	return parseDuration(h.Get(HeaderDeadline), time.Millisecond)
}

// FormatDeadline is the inverse of ParseDeadline. It rounds up, because 0 would mean that no time
// is left.
func FormatDeadline(remaining time.Duration) string {
	ms := (remaining + time.Millisecond - 1) / time.Millisecond
	return strconv.FormatInt(int64(max(ms, 0)), 10)
}

// ParseRetryAfter returns the delay of a Retry-After field relative to now, at most an hour; 0
// means none.
func ParseRetryAfter(h http.Header, now time.Time) time.Duration {
	value := h.Get("Retry-After")
	if value == "" {
		return 0
	}
	if d, ok := parseDuration(value, time.Second); ok {
		return d
	}
	date, err := http.ParseTime(value)
	if err != nil {
		return 0
	}
	return min(max(date.Sub(now), 0), maxPeerDuration)
}

// parseDuration parses a decimal number of units, which may have a fraction. The result is at most
// maxPeerDuration.
func parseDuration(value string, unit time.Duration) (time.Duration, bool) {
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
	if n > float64(maxPeerDuration/unit) {
		return maxPeerDuration, true
	}
	return time.Duration(n * float64(unit)), true
}

// isDraining reports whether h announces that the target is draining.
func isDraining(h http.Header) bool {
	value := h.Get(HeaderDraining)
	return value != "" && value != "0"
}

// isShed reports whether the response is a refusal of a request that was not run.
func isShed(status int, h http.Header) bool {
	return status == http.StatusServiceUnavailable && h.Get(HeaderShed) == "1"
}
