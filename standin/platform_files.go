package standin

import (
	"bytes"
	"encoding/json"
	"os"
	"slices"

	"github.com/tailscale/hujson"

	"github.com/bilberrywood/bilberrywood/configuration"
)

// Reload reads the files again. All values that differ are changed at one revision, so that a pool
// and its route appear together. If a file can't be read, nothing changes.
func (p *Platform) Reload() error {
	p.init()
	latest, _ := p.store.latest()
	changed := make(map[string][]byte)
	for name, path := range p.Files {
		raw, err := os.ReadFile(path)
		if err != nil {
			return PlatformError.Wrap(err)
		}
		if current, ok := latest.values[name]; !ok || !bytes.Equal(current.raw, raw) {
			changed[name] = raw
		}
	}
	rows, err := p.readFleetFile()
	if err != nil {
		return err
	}
	if len(changed) > 0 {
		if _, err := p.PutAll(changed); err != nil {
			return err
		}
	}
	if rows != nil && !slices.Equal(rows, latest.fleet) {
		p.SetFleet(rows)
	}
	return nil
}

func (p *Platform) readFleetFile() ([]configuration.FleetRow, error) {
	if p.FleetFile == "" {
		return nil, nil
	}
	raw, err := os.ReadFile(p.FleetFile)
	if err != nil {
		return nil, PlatformError.Wrap(err)
	}
	rows, err := ParseFleet(raw)
	if err != nil {
		return nil, PlatformError.New("%s: %v", p.FleetFile, err)
	}
	return rows, nil
}

// ParseFleet parses a fleet list of the form {"entries": [...]} in JSON with comments.
func ParseFleet(raw []byte) ([]configuration.FleetRow, error) {
	standardized, err := hujson.Standardize(bytes.Clone(raw))
	if err != nil {
		return nil, PlatformError.Wrap(err)
	}
	var list struct {
		Entries []configuration.FleetRow `json:"entries"`
	}
	d := json.NewDecoder(bytes.NewReader(standardized))
	d.DisallowUnknownFields()
	if err := d.Decode(&list); err != nil {
		return nil, PlatformError.Wrap(err)
	}
	return list.Entries, nil
}
