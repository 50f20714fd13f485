package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/bilberrywood/bilberrywood/entry"
	"github.com/bilberrywood/bilberrywood/fleet"
)

// Limits of the client.
const (
	// maxResponseBytes bounds one response body. A table has at most 1 MB, the report of a large cell less.
	maxResponseBytes = 64 << 20
	// maxConcurrentQueries bounds the entries that are queried at the same time.
	maxConcurrentQueries = 64
	// maxErrorBodyBytes bounds how much of the body of an error response is read.
	maxErrorBodyBytes = 512
)

// DefaultTimeout bounds a query to one entry, which may take several requests.
const DefaultTimeout = 3 * time.Second

// Client queries the operators' endpoints of entries. All fields are set before use.
type Client struct {
	Addresses []Address
	// Timeout bounds a query to one entry, which may take several requests; 0 means DefaultTimeout.
	Timeout time.Duration
	// HTTP is the underlying client; nil means one that uses no proxy.
	HTTP *http.Client
}

// directHTTP ignores proxies set in the environment, since entries are reached by IP address.
var directHTTP = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// entryResponse is the result of a query to one entry.
type entryResponse[T any] struct {
	Address
	value T
	err   error
}

// queryAll runs the query for all entries concurrently, each within the client's timeout. It returns the
// results in the order of the addresses.
func queryAll[T any](ctx context.Context, c *Client, query func(context.Context, Address) (T, error)) []entryResponse[T] {
	timeout := c.Timeout
	if timeout == 0 {
		timeout = DefaultTimeout
	}
	out := make([]entryResponse[T], len(c.Addresses))
	sem := make(chan struct{}, maxConcurrentQueries)
	var wg sync.WaitGroup
	for i, a := range c.Addresses {
		out[i].Address = a
		wg.Go(func() {
			sem <- struct{}{}
			defer func() { <-sem }()
			ctx, cancel := context.WithTimeout(ctx, timeout)
			defer cancel()
			out[i].value, out[i].err = query(ctx, a)
		})
	}
	wg.Wait()
	return out
}

// getJSON reads and decodes a JSON response.
func getJSON[T any](ctx context.Context, c *Client, a Address, path string, query url.Values) (T, error) {
	var out T
	raw, err := c.readAll(ctx, a, path, query)
	if err != nil {
		return out, err
	}
	if err := json.Unmarshal(raw, &out); err != nil {
		return out, Error.New("decoding %s of %s: %v", path, a.displayName(), err)
	}
	return out, nil
}

// readStatus reads the status of an entry. It is an error if another entry responds than the one that the
// settings name for the address: its response would hide that the named entry was not reached.
func readStatus(ctx context.Context, c *Client, a Address) (entry.Status, error) {
	s, err := getJSON[entry.Status](ctx, c, a, "/v1/status", nil)
	if err == nil && a.Entry != "" && s.Entry != a.Entry {
		return s, Error.New("answers as entry %s", s.Entry)
	}
	return s, err
}

// readAll reads a complete response body.
func (c *Client) readAll(ctx context.Context, a Address, path string, query url.Values) ([]byte, error) {
	body, err := c.open(ctx, a, path, query)
	if err != nil {
		return nil, err
	}
	defer body.Close()
	raw, err := io.ReadAll(io.LimitReader(body, maxResponseBytes+1))
	switch {
	case err != nil:
		return nil, requestError(err)
	case len(raw) > maxResponseBytes:
		return nil, Error.New("response of %s is longer than %d bytes", path, maxResponseBytes)
	}
	return raw, nil
}

// open sends a request and returns the response body, which the caller closes. Any status but 200 is an
// error.
func (c *Client) open(ctx context.Context, a Address, path string, query url.Values) (io.ReadCloser, error) {
	u := url.URL{Scheme: "http", Host: a.Address, Path: path, RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	client := c.HTTP
	if client == nil {
		client = directHTTP
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, requestError(err)
	}
	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		// The text only explains the status, so a failure to read it is ignored.
		text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBodyBytes))
		return nil, Error.Wrap(&statusError{path: path, status: resp.StatusCode, text: string(text)})
	}
	return resp.Body, nil
}

// statusError is the error for a response with a status other than 200.
type statusError struct {
	path   string
	status int
	text   string
}

// Error returns the status and the reason that the entry gave.
func (e *statusError) Error() string {
	var body struct{ Message string }
	if json.Unmarshal([]byte(e.text), &body) == nil && body.Message != "" {
		return fmt.Sprintf("%s: status %d: %s", e.path, e.status, body.Message)
	}
	return fmt.Sprintf("%s: status %d", e.path, e.status)
}

// isNoTables reports whether the error says that the entry has no active tables yet.
func isNoTables(err error) bool {
	var s *statusError
	return errors.As(err, &s) && s.status == http.StatusServiceUnavailable
}

// requestError returns the cause of an error of the HTTP client, without the URL that such errors repeat.
func requestError(err error) error {
	if errors.Is(err, context.DeadlineExceeded) {
		return Error.New("no answer in time")
	}
	var u *url.Error
	if errors.As(err, &u) {
		err = u.Err
	}
	return Error.Wrap(err)
}

// EntryError is an entry that could not be queried. Every result of a query to entries lists them.
type EntryError struct {
	Entry   string `json:"entry"`
	Address string `json:"address"`
	Error   string `json:"error"`
}

// unreachableEntries returns the entries that could not be queried.
func unreachableEntries[T any](responses []entryResponse[T]) []EntryError {
	out := []EntryError{}
	for _, a := range responses {
		if a.err != nil {
			out = append(out, EntryError{Entry: a.displayName(), Address: a.Address.Address, Error: errorText(a.err)})
		}
	}
	return out
}

// errorText returns an error's text without the prefix of class Error.
func errorText(err error) string { return strings.TrimPrefix(err.Error(), string(Error)+": ") }

// writeUnreachable lists the entries that could not be queried.
func writeUnreachable(w io.Writer, list []EntryError) error {
	for _, e := range list {
		if _, err := fmt.Fprintf(w, "%s (%s): UNREACHABLE: %s\n", e.Entry, e.Address, e.Error); err != nil {
			return err
		}
	}
	return nil
}

// liveNotQueried returns the live entries of a member list that are not in queried, and adds them to it.
func liveNotQueried(members []fleet.Member, queried map[fleet.EntryID]bool) []fleet.EntryID {
	var out []fleet.EntryID
	for _, m := range members {
		if m.Live && !queried[m.ID] {
			queried[m.ID] = true
			out = append(out, m.ID)
		}
	}
	return out
}
