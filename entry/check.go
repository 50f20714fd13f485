package entry

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// checkRequest refuses requests that two parsers could read differently, so that a caller can't
// smuggle a second request to a target, and methods that an entry does not serve. It returns the
// reason, or "".
func checkRequest(r *http.Request) string {
	switch {
	case r.Method == http.MethodConnect || r.Method == http.MethodTrace:
		return "method " + r.Method + " is not served"
	case r.ProtoMajor == 1 && r.ProtoMinor == 0 && len(r.TransferEncoding) > 0:
		return "Transfer-Encoding in an HTTP/1.0 request"
	case len(r.Header["Content-Length"]) > 0 && len(r.TransferEncoding) > 0:
		return "both Content-Length and Transfer-Encoding"
	case len(r.TransferEncoding) > 1:
		return "more than one transfer coding"
	case r.Header.Get("Upgrade") != "":
		return "protocol upgrades are not served"
	case r.URL.IsAbs():
		return "absolute request targets are not served"
	case strings.Contains(r.URL.Path, "\x00"), strings.Contains(r.URL.Path, "\\"):
		return "the path has a byte that servers read differently"
	}
	for _, segment := range strings.Split(r.URL.Path, "/") {
		if segment == "." || segment == ".." {
			return "the path has dot segments"
		}
	}
	for name := range r.Header {
		if strings.Contains(name, "_") {
			return "header name " + strconv.Quote(name) + " has an underscore"
		}
	}
	if r.Header.Get("Content-Length") != "" && len(r.Header["Content-Length"]) > 1 {
		return "more than one Content-Length"
	}
	return ""
}

// requestDeadline returns when the answer to a request is of no more use: the smaller of the caller's
// remaining time and the route's timeout.
func requestDeadline(value string, now time.Time, timeout time.Duration) (time.Time, error) {
	if value == "" {
		return now.Add(timeout), nil
	}
	ms, err := strconv.ParseInt(value, 10, 64)
	if err != nil || ms < 0 {
		return time.Time{}, Error.New("deadline %q is not a number of milliseconds", value)
	}
	remaining := time.Duration(min(ms, timeout.Milliseconds())) * time.Millisecond
	return now.Add(remaining), nil
}
