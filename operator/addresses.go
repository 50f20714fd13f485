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

// Address is the operators' address of an entry.
type Address struct {
	// Entry is empty if only the address is known; an answer then tells the name.
	Entry   fleet.EntryID `json:"entry,omitempty"`
	Address string        `json:"address"`
}

// name returns how the entry is called in results before it has answered.
func (a Address) name() string { return cmp.Or(string(a.Entry), a.Address) }

// ParseAddresses reads lists of operators' addresses that are separated by commas. Errors are of class
// UsageError.
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

// entrySettings are the settings of an entry that the client needs.
type entrySettings struct {
	ID              fleet.EntryID `json:"id"`
	OperatorAddress string        `json:"operatorAddress"`
}

// ReadAddresses reads the operators' addresses from the entries' settings files in a folder. JSON files
// that are not settings of an entry, such as a fleet list, have no operatorAddress and are left out.
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

// readEntrySettings reads a file without checking it as settings: the client must also find the entries
// whose settings have become invalid since they started.
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

// Only leaves one entry to ask, given by its id or its address. If the ids of the addresses are not
// known, the entries are asked for them.
func (c *Client) Only(ctx context.Context, entry string) error {
	for _, a := range c.Addresses {
		if a.name() == entry || a.Address == entry {
			c.Addresses = []Address{a}
			return nil
		}
	}
	for _, a := range askStatus(ctx, c) {
		if a.err == nil && string(a.value.Entry) == entry {
			c.Addresses = []Address{a.Address}
			return nil
		}
	}
	return UsageError.New("--entry: none of the addresses is that of %q, or it can't be reached", entry)
}
