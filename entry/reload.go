package entry

import (
	"reflect"

	"github.com/bilberrywood/bilberrywood/fleet"
	"github.com/bilberrywood/bilberrywood/settings"
)

// Reload applies new settings while the entry runs; they must have passed Check. New seeds are contacted at
// once. Other settings that differ are logged and take effect with the next start.
func (e *Entry) Reload(s settings.Entry) {
	var fromNextStart []string
	oldSettings, newSettings := reflect.ValueOf(e.Settings), reflect.ValueOf(s)
	for i := range oldSettings.NumField() {
		name := oldSettings.Type().Field(i).Name
		if name != "Seeds" && !reflect.DeepEqual(oldSettings.Field(i).Interface(), newSettings.Field(i).Interface()) {
			fromNextStart = append(fromNextStart, name)
		}
	}
	seeds := make([]fleet.Seed, 0, len(s.Seeds))
	for _, seed := range s.Seeds {
		seeds = append(seeds, fleet.Seed{ID: seed.ID, PeerAddress: seed.PeerAddress})
	}
	e.fleet.update(e.sinceStart(), func(m *fleet.Membership) { m.AddSeeds(e.sinceStart(), seeds) })
	e.Log.Info().Str("event", "settingsReloaded").Strs("fromNextStart", fromNextStart).Msg("settings reloaded")
}
