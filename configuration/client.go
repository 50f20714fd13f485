package configuration

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rs/zerolog"
	"github.com/zeebo/errs"

	"github.com/bilberrywood/bilberrywood/table"
)

// Error is the class of all errors of this package.
var Error = errs.Class("configuration")

// Operation is a kind of call. Calls are counted by kind; the service's rate limit applies to their sum.
type Operation uint8

// Kinds of call.
const (
	OperationIndex Operation = iota
	OperationValue
	OperationWatch
	OperationFleet
	numOperations
)

// requestTimeout is the timeout of every call except a watch. The service responds within milliseconds.
// A call without a response within this time fails.
const requestTimeout = 2 * time.Second

// Client calls the service. Its fields are set before the first call. Methods may be called
// concurrently.
type Client struct {
	// URL is the base URL, such as "http://10.0.0.5:7000".
	URL string
	// HTTP sends the requests; nil means http.DefaultClient. Its timeout must not be shorter than a
	// watch.
	HTTP *http.Client
	// Log gets a line at debug level for each failed call. The zero value discards it.
	Log zerolog.Logger

	counters counters
}

// Index returns the index of the values whose keys start with prefix.
func (c *Client) Index(ctx context.Context, prefix string) (Index, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	query := url.Values{ParamPrefix: {prefix}}
	return getJSON[Index](ctx, c, OperationIndex, PathIndex, query, maxIndexBytes)
}

// Watch is a long poll. It returns the index as soon as a value under prefix has changed at a revision
// above after, but not later than after wait.
func (c *Client) Watch(ctx context.Context, prefix string, after table.Revision, wait time.Duration) (Index, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+requestTimeout)
	defer cancel()
	query := url.Values{
		ParamPrefix: {prefix},
		ParamAfter:  {strconv.FormatUint(uint64(after), 10)},
		ParamWait:   {wait.String()},
	}
	return getJSON[Index](ctx, c, OperationWatch, PathWatch, query, maxIndexBytes)
}

// Value returns the bytes of a value and the revision of its last change.
func (c *Client) Value(ctx context.Context, key string) ([]byte, table.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	body, header, err := c.get(ctx, OperationValue, PathValues+key, nil, MaxValueBytes)
	if err != nil {
		return nil, 0, err
	}
	revision, err := strconv.ParseUint(header.Get(HeaderRevision), 10, 64)
	if err != nil {
		c.counters.recordFailure()
		return nil, 0, Error.New("%s: header %s: %v", key, HeaderRevision, err)
	}
	return body, table.Revision(revision), nil
}

// Fleet returns the fleet list.
func (c *Client) Fleet(ctx context.Context) (FleetList, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	list, err := getJSON[FleetList](ctx, c, OperationFleet, PathFleet, nil, maxFleetBytes)
	if err != nil {
		return FleetList{}, err
	}
	if err := list.check(); err != nil {
		c.counters.recordFailure()
		return FleetList{}, err
	}
	return list, nil
}

// getJSON makes one call and decodes its JSON response. Unknown fields are ignored, as the service may
// add some.
func getJSON[T any](ctx context.Context, c *Client, op Operation, path string, query url.Values, limit int64) (T, error) {
	var response T
	body, _, err := c.get(ctx, op, path, query, limit)
	if err != nil {
		return response, err
	}
	d := json.NewDecoder(bytes.NewReader(body))
	if err := d.Decode(&response); err != nil {
		c.counters.recordFailure()
		return response, Error.New("%s: %v", path, err)
	}
	return response, nil
}

// get makes one call and returns the complete body. A truncated body and one longer than limit bytes are
// errors.
func (c *Client) get(ctx context.Context, op Operation, path string, query url.Values, limit int64) ([]byte, http.Header, error) {
	c.counters.recordCall(op)
	body, header, err := c.call(ctx, path, query, limit)
	if err != nil {
		c.counters.recordFailure()
		c.Log.Debug().Str("path", path).Err(err).Msg("call to the configuration service failed")
		return nil, nil, Error.Wrap(err)
	}
	return body, header, nil
}

func (c *Client) call(ctx context.Context, path string, query url.Values, limit int64) ([]byte, http.Header, error) {
	address := c.URL + (&url.URL{Path: path}).EscapedPath()
	if len(query) > 0 {
		address += "?" + query.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return nil, nil, err
	}
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, nil, fmt.Errorf("%s: status %d", path, response.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err != nil {
		return nil, nil, err
	}
	if int64(len(body)) > limit {
		return nil, nil, fmt.Errorf("%s: answer is longer than %d bytes", path, limit)
	}
	return body, response.Header, nil
}
