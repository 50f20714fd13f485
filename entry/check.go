package entry

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// checkRequest returns the reason why a request is refused, or "". It refuses methods that an entry does not
// serve, and requests that two parsers could read differently, because such a request could smuggle a second
// one to a target.
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
	}
	for name := range r.Header {
		if strings.Contains(name, "_") {
			return "header name " + strconv.Quote(loggedText(name, maxLoggedID)) + " has an underscore"
		}
	}
	if r.Header.Get("Content-Length") != "" && len(r.Header["Content-Length"]) > 1 {
		return "more than one Content-Length"
	}
	return ""
}

// checkPath returns the reason why a request is refused for its decoded path, or "". A target could resolve such a path to
// one that another route, with other accounts, begins.
func checkPath(path string) string {
	if strings.Contains(path, "\x00") || strings.Contains(path, "\\") {
		return "the path has a byte that servers read differently"
	}
	for _, segment := range strings.Split(path, "/") {
		if segment == "." || segment == ".." {
			return "the path has dot segments"
		}
	}
	return ""
}

// requestDeadline returns the deadline of a request received at now. value is the remaining time from the header
// in milliseconds; the result is at most the route's timeout after now. An empty value means the timeout. Any
// other value that is not a whole number from 0 is an error.
func requestDeadline(value string, now time.Time, timeout time.Duration) (time.Time, error) {
	if value == "" {
		return now.Add(timeout), nil
	}
	ms, err := strconv.ParseInt(value, 10, 64)
	if err != nil || ms < 0 {
		return time.Time{}, Error.New("deadline %q is not a number of milliseconds", loggedText(value, maxLoggedID))
	}
	remaining := time.Duration(min(ms, timeout.Milliseconds())) * time.Millisecond
	return now.Add(remaining), nil
}
