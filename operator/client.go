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

// Limits of what the client asks for.
const (
	// maxAnswerBytes bounds one answer; a table has at most 1 MB, a report of a large cell less.
	maxAnswerBytes = 64 << 20
	// maxAsked bounds the entries that are asked at the same time.
	maxAsked = 64
	// maxErrorBytes bounds the text of an error that an entry answers.
	maxErrorBytes = 512
)

// DefaultTimeout bounds the questions to one entry.
const DefaultTimeout = 3 * time.Second

// Client asks the operators' endpoints of entries. All fields are set before use.
type Client struct {
	Addresses []Address
	// Timeout bounds everything that is asked of one entry; 0 means DefaultTimeout.
	Timeout time.Duration
	// HTTP is the client used; nil means one without a proxy.
	HTTP *http.Client
}

// directHTTP never uses a proxy from the environment: entries are reached by IP address.
var directHTTP = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// asked is what one entry answered.
type asked[T any] struct {
	Address
	value T
	err   error
}

// ask puts the same questions to all entries at the same time and returns their answers in the order of
// the addresses.
func ask[T any](ctx context.Context, c *Client, question func(context.Context, Address) (T, error)) []asked[T] {
	timeout := c.Timeout
	if timeout == 0 {
		timeout = DefaultTimeout
	}
	out := make([]asked[T], len(c.Addresses))
	free := make(chan struct{}, maxAsked)
	var all sync.WaitGroup
	for i, a := range c.Addresses {
		out[i].Address = a
		all.Go(func() {
			free <- struct{}{}
			defer func() { <-free }()
			ctx, cancel := context.WithTimeout(ctx, timeout)
			defer cancel()
			out[i].value, out[i].err = question(ctx, a)
		})
	}
	all.Wait()
	return out
}

// get reads a JSON answer.
func get[T any](ctx context.Context, c *Client, a Address, path string, query url.Values) (T, error) {
	var out T
	raw, err := c.read(ctx, a, path, query)
	if err != nil {
		return out, err
	}
	if err := json.Unmarshal(raw, &out); err != nil {
		return out, Error.New("%s of %s is not what this client expects: %v", path, a.name(), err)
	}
	return out, nil
}

// readStatus reads the status of an entry. An address that answers as another entry than its settings
// say is an error: its answer would hide that the entry meant was not asked.
func readStatus(ctx context.Context, c *Client, a Address) (entry.Status, error) {
	s, err := get[entry.Status](ctx, c, a, "/v1/status", nil)
	if err == nil && a.Entry != "" && s.Entry != a.Entry {
		return s, Error.New("answers as entry %s", s.Entry)
	}
	return s, err
}

// read reads a whole answer.
func (c *Client) read(ctx context.Context, a Address, path string, query url.Values) ([]byte, error) {
	body, err := c.open(ctx, a, path, query)
	if err != nil {
		return nil, err
	}
	defer body.Close()
	raw, err := io.ReadAll(io.LimitReader(body, maxAnswerBytes+1))
	switch {
	case err != nil:
		return nil, askError(err)
	case len(raw) > maxAnswerBytes:
		return nil, Error.New("answer of %s is longer than %d bytes", path, maxAnswerBytes)
	}
	return raw, nil
}

// open starts to read an answer with status 200.
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
		return nil, askError(err)
	}
	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		// The text only explains the status.
		text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
		return nil, Error.Wrap(&statusError{path: path, status: resp.StatusCode, text: string(text)})
	}
	return resp.Body, nil
}

// statusError is an answer with another status than 200.
type statusError struct {
	path   string
	status int
	text   string
}

// Error returns the status and the reason that the entry gave.
func (e *statusError) Error() string {
	var answer struct{ Message string }
	if json.Unmarshal([]byte(e.text), &answer) == nil && answer.Message != "" {
		return fmt.Sprintf("%s: status %d: %s", e.path, e.status, answer.Message)
	}
	return fmt.Sprintf("%s: status %d", e.path, e.status)
}

// noTables says that the entry has no tables in force yet.
func noTables(err error) bool {
	var s *statusError
	return errors.As(err, &s) && s.status == http.StatusServiceUnavailable
}

// askError shortens errors of the HTTP client, which repeat the URL, to their cause.
func askError(err error) error {
	if errors.Is(err, context.DeadlineExceeded) {
		return Error.New("no answer in time")
	}
	var u *url.Error
	if errors.As(err, &u) {
		err = u.Err
	}
	return Error.Wrap(err)
}

// EntryError is an entry that could not be asked. Every result that asks entries lists them.
type EntryError struct {
	Entry   string `json:"entry"`
	Address string `json:"address"`
	Error   string `json:"error"`
}

// unreachable returns the entries that could not be asked.
func unreachable[T any](answers []asked[T]) []EntryError {
	out := []EntryError{}
	for _, a := range answers {
		if a.err != nil {
			out = append(out, EntryError{Entry: a.name(), Address: a.Address.Address, Error: reason(a.err)})
		}
	}
	return out
}

// reason returns an error's text without the name of this package.
func reason(err error) string { return strings.TrimPrefix(err.Error(), string(Error)+": ") }

// writeUnreachable lists the entries that could not be asked.
func writeUnreachable(w io.Writer, list []EntryError) error {
	for _, e := range list {
		if _, err := fmt.Fprintf(w, "%s (%s): UNREACHABLE: %s\n", e.Entry, e.Address, e.Error); err != nil {
			return err
		}
	}
	return nil
}

// notAsked returns the live entries of a view that are not among the answers.
func notAsked(members []fleet.Member, known map[fleet.EntryID]bool) []fleet.EntryID {
	var out []fleet.EntryID
	for _, m := range members {
		if m.Live && !known[m.ID] {
			known[m.ID] = true
			out = append(out, m.ID)
		}
	}
	return out
}
