package operator

import (
	"cmp"
	"context"
	"encoding/json"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/tailscale/hujson"

	"github.com/bilberrywood/bilberrywood/fleet"
)

// Address is the address of an entry's operators' endpoint.
type Address struct {
	// Entry is empty if only the address is known. The entry's status then gives its ID.
	Entry   fleet.EntryID `json:"entry,omitempty"`
	Address string        `json:"address"`
}

// displayName returns the name of the entry in results while its status is not known.
func (a Address) displayName() string { return cmp.Or(string(a.Entry), a.Address) }

// ParseAddresses parses comma-separated lists of operators' addresses. Errors are of class UsageError.
func ParseAddresses(lists []string) ([]Address, error) {
	var out []Address
	for _, list := range lists {
		for _, text := range strings.Split(list, ",") {
			text = strings.TrimSpace(text)
			if _, err := netip.ParseAddrPort(text); err != nil {
				return nil, UsageError.New("--entries: %q is not an IP address with a port", text)
			}
			if !slices.Contains(out, Address{Address: text}) {
				out = append(out, Address{Address: text})
			}
		}
	}
	return out, nil
}

// entrySettings holds the settings of an entry that the client needs.
type entrySettings struct {
	ID              fleet.EntryID `json:"id"`
	OperatorAddress string        `json:"operatorAddress"`
}

// ReadAddresses reads the operators' addresses from the entries' settings files in a directory. It skips
// other JSON files, such as a fleet list: they have no operatorAddress. Errors are of class Error, or of
// class UsageError if dir can't be part of a file pattern.
func ReadAddresses(dir string) ([]Address, error) {
	paths, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil {
		return nil, UsageError.Wrap(err)
	}
	var out []Address
	for _, path := range paths {
		s, err := readEntrySettings(path)
		if err != nil {
			return nil, err
		}
		if s.OperatorAddress != "" {
			out = append(out, Address{Entry: s.ID, Address: s.OperatorAddress})
		}
	}
	if len(out) == 0 {
		return nil, Error.New("%s has no settings file of an entry", dir)
	}
	slices.SortFunc(out, func(a, b Address) int { return cmp.Compare(a.Entry, b.Entry) })
	return out, nil
}

// readEntrySettings reads a settings file without validating it. An entry may still run although its
// settings file has become invalid since it started, and the client must find that entry too.
func readEntrySettings(path string) (entrySettings, error) {
	var s entrySettings
	src, err := os.ReadFile(path)
	if err != nil {
		return s, Error.Wrap(err)
	}
	std, err := hujson.Standardize(src)
	if err != nil {
		return s, Error.New("%s: %v", path, err)
	}
	if err := json.Unmarshal(std, &s); err != nil {
		return s, Error.New("%s: %v", path, err)
	}
	return s, nil
}

// SelectEntry restricts the client to one entry, given by its ID or its address. If no address is known
// to belong to it, the client queries all entries for their IDs. Errors are of class UsageError.
func (c *Client) SelectEntry(ctx context.Context, entry string) error {
	for _, a := range c.Addresses {
		if a.displayName() == entry || a.Address == entry {
			c.Addresses = []Address{a}
			return nil
		}
	}
	for _, a := range queryStatus(ctx, c) {
		if a.err == nil && string(a.value.Entry) == entry {
			c.Addresses = []Address{a.Address}
			return nil
		}
	}
	return UsageError.New("--entry: none of the addresses is that of %q, or it can't be reached", entry)
}
