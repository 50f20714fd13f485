package caller

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/bilberrywood/bilberrywood/notice"
	"github.com/bilberrywood/bilberrywood/table"
)

const (
	// addressPath is where entries answer which addresses serve a route.
	addressPath = "/v1/addresses"
	// askTimeout bounds one question for addresses.
	askTimeout = time.Second
	// maxAddressBytes bounds an address answer, and maxAddresses what is used of it.
	maxAddressBytes = 64 << 10
	maxAddresses    = 64
	// maxValid bounds how long an address answer is kept.
	maxValid = time.Hour
)

// Addresses is the answer of an entry to the question which addresses serve a route.
type Addresses struct {
	// Entries has the owner first and then the backups.
	Entries []Address `json:"entries"`
	// ValidForMs is how long the answer may be kept, in milliseconds.
	ValidForMs int64          `json:"validForMs"`
	Revision   table.Revision `json:"revision"`
}

// Address is one entry in an address answer.
type Address struct {
	notice.Binding
	// Address is an IP address with a port.
	Address string `json:"address"`
}

// ParseAddresses decodes and checks an address answer. Errors are of class Error.
func ParseAddresses(body []byte) (*Addresses, error) {
	var a Addresses
	if err := json.Unmarshal(body, &a); err != nil {
		return nil, Error.Wrap(err)
	}
	if len(a.Entries) == 0 {
		return nil, Error.New("address answer names no entry")
	}
	a.Entries = a.Entries[:min(len(a.Entries), maxAddresses)]
	for _, e := range a.Entries {
		if e.Entry == "" || strings.ContainsFunc(string(e.Entry), func(c rune) bool { return c <= ' ' || c > '~' }) {
			return nil, Error.New("address answer has the entry id %q", e.Entry)
		}
		if _, err := netip.ParseAddrPort(e.Address); err != nil {
			return nil, Error.New("address answer: %v", err)
		}
	}
	a.ValidForMs = min(max(a.ValidForMs, 0), maxValid.Milliseconds())
	return &a, nil
}

// kept is an address answer with its end.
type kept struct {
	*Addresses
	until time.Time
}

// refusal is the answer of an entry that doesn't name addresses for a reason that lasts.
type refusal struct {
	status int
	reason string
}

// Error implements error.
func (r *refusal) Error() string { return r.reason }

// Addresses returns the addresses that serve a route, from the last answer while it is valid. Errors
// are of class Error.
func (c *Caller) Addresses(ctx context.Context, route table.RouteName) (*Addresses, error) {
	c.once.Do(c.init)
	c.mu.Lock()
	last, ok := c.answers[route]
	sources := c.sourcesLocked(last.Addresses)
	c.mu.Unlock()
	if ok && time.Now().Before(last.until) {
		return last.Addresses, nil
	}
	err := Error.New("no entries are set")
	for _, source := range sources {
		var a *Addresses
		asked := time.Now()
		if a, err = c.ask(ctx, source, route); err == nil {
			until := asked.Add(time.Duration(a.ValidForMs) * time.Millisecond)
			c.mu.Lock()
			c.answers[route] = kept{a, until}
			c.mu.Unlock()
			return a, nil
		}
		if _, ok := asRefusal(err); ok || ctx.Err() != nil {
			break
		}
	}
	return nil, Error.Wrap(err)
}

// sourcesLocked lists whom to ask: the configured entries from a random one on, so that callers
// spread, and those of an expired answer, because the configured ones may have been replaced.
func (c *Caller) sourcesLocked(last *Addresses) []string {
	var sources []string
	if n := len(c.Entries); n > 0 {
		first := c.random.IntN(n)
		sources = append(append(sources, c.Entries[first:]...), c.Entries[:first]...)
	}
	if last != nil {
		for _, e := range last.Entries {
			if !slices.Contains(sources, e.Address) {
				sources = append(sources, e.Address)
			}
		}
	}
	return sources
}

// forget makes the next request ask for addresses again.
func (c *Caller) forget(route table.RouteName) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if last, ok := c.answers[route]; ok {
		c.answers[route] = kept{last.Addresses, time.Time{}}
	}
}

// ask asks one entry.
func (c *Caller) ask(ctx context.Context, source string, route table.RouteName) (*Addresses, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	address := "http://" + source + addressPath + "?route=" + url.QueryEscape(string(route))
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	c.authorize(request.Header)
	response, err := c.fresh.Do(request)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAddressBytes))
	switch {
	case err != nil:
		return nil, Error.Wrap(err)
	case response.StatusCode == http.StatusOK:
		return ParseAddresses(body)
	case lasting(response.StatusCode):
		return nil, &refusal{response.StatusCode, reasonOf(response, body)}
	}
	return nil, Error.New("%s answered the question for addresses with %s", source, response.Status)
}
