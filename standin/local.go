package standin

import (
	"encoding/json"
	"net/netip"
	"os"
	"path/filepath"

	"github.com/tailscale/hujson"
	"github.com/zeebo/errs"

	"github.com/bilberrywood/bilberrywood/configuration"
	"github.com/bilberrywood/bilberrywood/fleet"
	"github.com/bilberrywood/bilberrywood/peer"
	"github.com/bilberrywood/bilberrywood/settings"
)

// LocalFleetError is the class of errors of LocalFleet.
var LocalFleetError = errs.Class("local fleet")

// operatorPortOffset is the difference between the operator port and the caller port of an entry.
const operatorPortOffset = 4000

// LocalFleet writes the files that the entries of a fleet on this machine need: certificates,
// settings and the fleet list. It starts no process. Its fields must be set before Write.
type LocalFleet struct {
	// Dir is the directory for the files; it is created if missing.
	Dir string
	// Entries are the rows of the fleet list; their addresses are loopback addresses.
	Entries []configuration.FleetRow
	// Platform is the base URL of the configuration service.
	Platform string
	// ModifySettings, if not nil, changes the settings of an entry before they are written.
	ModifySettings func(*settings.Entry)
}

// ReadFleetFile returns the first count rows of a fleet list, a file in JSON with comments; a count
// of 0 returns all rows. Errors, also for a list that is too short, are of class LocalFleetError.
func ReadFleetFile(path string, count int) ([]configuration.FleetRow, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, LocalFleetError.Wrap(err)
	}
	standardized, err := hujson.Standardize(raw)
	if err != nil {
		return nil, LocalFleetError.New("%s: %v", path, err)
	}
	var list configuration.FleetList
	if err := json.Unmarshal(standardized, &list); err != nil {
		return nil, LocalFleetError.New("%s: %v", path, err)
	}
	if count > len(list.Entries) {
		return nil, LocalFleetError.New("%s has %d entries, not %d", path, len(list.Entries), count)
	}
	if count > 0 {
		list.Entries = list.Entries[:count]
	}
	return list.Entries, nil
}

// SettingsPath returns the path of the settings file of an entry.
func (l *LocalFleet) SettingsPath(id fleet.EntryID) string {
	return filepath.Join(l.Dir, string(id)+".json")
}

// FleetPath returns the path of the file with the fleet list.
func (l *LocalFleet) FleetPath() string { return filepath.Join(l.Dir, "fleet.json") }

// Write writes all files.
func (l *LocalFleet) Write() error {
	ids := make([]fleet.EntryID, len(l.Entries))
	for i, r := range l.Entries {
		ids[i] = r.ID
	}
	if err := os.MkdirAll(l.Dir, 0o755); err != nil {
		return LocalFleetError.Wrap(err)
	}
	certificates := filepath.Join(l.Dir, "certificates")
	if err := peer.WriteDevelopmentCertificates(certificates, ids); err != nil {
		return LocalFleetError.Wrap(err)
	}
	for _, r := range l.Entries {
		s, err := l.entrySettings(certificates, r)
		if err != nil {
			return err
		}
		if err := writeFile(l.SettingsPath(r.ID), s); err != nil {
			return err
		}
	}
	return writeFile(l.FleetPath(), fleetFile{l.Entries})
}

// fleetFile is a fleet list in the format that the platform stand-in reads.
type fleetFile struct {
	Entries []configuration.FleetRow `json:"entries"`
}

func (l *LocalFleet) entrySettings(certificates string, r configuration.FleetRow) (*settings.Entry, error) {
	operatorAddress, err := OperatorAddress(r.CallerAddress)
	if err != nil {
		return nil, err
	}
	files := peer.DevelopmentTLSFiles(certificates, r.ID)
	s := &settings.Entry{
		ID: r.ID, FailureDomain: r.FailureDomain,
		CallerAddress: r.CallerAddress, PeerAddress: r.PeerAddress, OperatorAddress: operatorAddress,
		Platform: l.Platform,
		TLS:      settings.TLS{CA: files.CA, Certificate: files.Certificate, Key: files.Key},
	}
	if l.ModifySettings != nil {
		l.ModifySettings(s)
	}
	return s, nil
}

// OperatorAddress returns the operator address of a local entry with the given caller address.
func OperatorAddress(callerAddress string) (string, error) {
	a, err := netip.ParseAddrPort(callerAddress)
	if err != nil {
		return "", LocalFleetError.Wrap(err)
	}
	return netip.AddrPortFrom(a.Addr(), a.Port()+operatorPortOffset).String(), nil
}

func writeFile(path string, v any) error {
	raw, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return LocalFleetError.Wrap(err)
	}
	return LocalFleetError.Wrap(os.WriteFile(path, append(raw, '\n'), 0o600))
}
