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
	// addressPath is where entries return the addresses that serve a route.
	addressPath = "/v1/addresses"
	// addressTimeout limits one request for addresses.
	addressTimeout = time.Second
	// maxAddressResponseBytes limits the size of an address response, and maxAddresses the number
	// of addresses used.
	maxAddressResponseBytes = 64 << 10
	maxAddresses            = 64
	// maxAddressTTL limits how long an address response is stored.
	maxAddressTTL = time.Hour
)

// Addresses is the response of an entry to a request for the addresses that serve a route.
type Addresses struct {
	// Entries starts with the owner, followed by the backups.
	Entries []Address `json:"entries"`
	// ValidForMs is how long the response may be stored, in milliseconds.
	ValidForMs int64          `json:"validForMs"`
	Revision   table.Revision `json:"revision"`
}

// Address is one entry in an address response.
type Address struct {
	notice.Binding
	// Address is an IP address with a port.
	Address string `json:"address"`
}

// ParseAddresses decodes and validates an address response. Errors are of class Error.
func ParseAddresses(body []byte) (*Addresses, error) {
	var a Addresses
	if err := json.Unmarshal(body, &a); err != nil {
		return nil, Error.Wrap(err)
	}
	if len(a.Entries) == 0 {
		return nil, Error.New("address response names no entry")
	}
	a.Entries = a.Entries[:min(len(a.Entries), maxAddresses)]
	for _, e := range a.Entries {
		if e.Entry == "" || strings.ContainsFunc(string(e.Entry), func(c rune) bool { return c <= ' ' || c > '~' }) {
			return nil, Error.New("address response has the invalid entry id %q", e.Entry)
		}
		if _, err := netip.ParseAddrPort(e.Address); err != nil {
			return nil, Error.New("address response: %v", err)
		}
	}
	a.ValidForMs = min(max(a.ValidForMs, 0), maxAddressTTL.Milliseconds())
	return &a, nil
}

// storedAddresses is an address response with its expiry.
type storedAddresses struct {
	*Addresses
	expiresAt time.Time
}

// refusalError is the response of an entry that refuses to return addresses for a permanent reason.
type refusalError struct {
	status int
	reason string
}

// Error implements error.
func (r *refusalError) Error() string { return r.reason }

// Addresses returns the addresses that serve a route. It uses the stored response until it expires.
// Errors are of class Error.
func (c *Caller) Addresses(ctx context.Context, route table.RouteName) (*Addresses, error) {
	c.once.Do(c.init)
	c.mu.Lock()
	stored, ok := c.stored[route]
	sources := c.addressSourcesLocked(stored.Addresses)
	c.mu.Unlock()
	if ok && time.Now().Before(stored.expiresAt) {
		return stored.Addresses, nil
	}
	err := Error.New("no entries are configured")
	for _, source := range sources {
		var a *Addresses
		requestedAt := time.Now()
		if a, err = c.requestAddresses(ctx, source, route); err == nil {
			expiresAt := requestedAt.Add(time.Duration(a.ValidForMs) * time.Millisecond)
			c.mu.Lock()
			c.stored[route] = storedAddresses{a, expiresAt}
			c.mu.Unlock()
			return a, nil
		}
		if _, ok := asRefusalError(err); ok || ctx.Err() != nil {
			break
		}
	}
	return nil, Error.Wrap(err)
}

// addressSourcesLocked returns the entries to ask for addresses: the configured ones, starting with
// a random one to spread the load, and those of the expired response, because the configured ones
// may have been replaced.
func (c *Caller) addressSourcesLocked(expired *Addresses) []string {
	var sources []string
	if n := len(c.Entries); n > 0 {
		first := c.random.IntN(n)
		sources = append(append(sources, c.Entries[first:]...), c.Entries[:first]...)
	}
	if expired != nil {
		for _, e := range expired.Entries {
			if !slices.Contains(sources, e.Address) {
				sources = append(sources, e.Address)
			}
		}
	}
	return sources
}

// expireAddresses makes the next request ask for addresses again.
func (c *Caller) expireAddresses(route table.RouteName) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if stored, ok := c.stored[route]; ok {
		c.stored[route] = storedAddresses{stored.Addresses, time.Time{}}
	}
}

// requestAddresses asks one entry for addresses.
func (c *Caller) requestAddresses(ctx context.Context, source string, route table.RouteName) (*Addresses, error) {
	ctx, cancel := context.WithTimeout(ctx, addressTimeout)
	defer cancel()
	address := "http://" + source + addressPath + "?route=" + url.QueryEscape(string(route))
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	c.authorize(request.Header)
	response, err := c.singleUseClient.Do(request)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAddressResponseBytes))
	switch {
	case err != nil:
		return nil, Error.Wrap(err)
	case response.StatusCode == http.StatusOK:
		return ParseAddresses(body)
	case permanent(response.StatusCode):
		return nil, &refusalError{response.StatusCode, reasonText(response, body)}
	}
	return nil, Error.New("%s responded to the request for addresses with %s", source, response.Status)
}
