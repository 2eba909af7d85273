package fleet

import (
	"encoding/json"
	"maps"
	"os"
)

// writeSettings writes a daemon's settings file, with the overrides from Config.Settings.
func (f *Fleet) writeSettings(h *Host) (err error) {
	sections := map[string]any{
		"host":     map[string]any{"id": h.ID, "zone": h.Zone},
		"caller":   map[string]any{"listen": h.CallerAddress},
		"operator": map[string]any{"listen": h.AdminAddress, "token_file": f.TokenFile()},
		"peer": map[string]any{
			"listen": h.PeerAddress, "seeds": f.seeds(h), "ca_file": f.path("ca.crt"),
			"cert_file": f.path(string(h.ID) + ".crt"), "key_file": f.path(string(h.ID) + ".key"),
		},
		"platform": map[string]any{"address": h.platformAddress},
		"timeline": map[string]any{"file": f.path(string(h.ID) + ".timeline.jsonl")},
	}
	for n, v := range f.config.Settings {
		section, _ := sections[n].(map[string]any)
		if section == nil {
			section = map[string]any{}
		}
		fields, _ := v.(map[string]any)
		maps.Copy(section, fields)
		sections[n] = section
	}
	data, err := json.MarshalIndent(sections, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(h.settingsFile, data, 0o600)
}

// seeds returns the settings of a host's seed peers. They are limited in number, as the daemon learns of the other hosts
// from the host list.
func (f *Fleet) seeds(h *Host) []map[string]any {
	const maxSeeds = 8
	list := []map[string]any{}
	for _, o := range f.Hosts {
		if o.ID != h.ID && len(list) < maxSeeds {
			list = append(list, map[string]any{"id": o.ID, "address": o.advertisedAddress})
		}
	}
	return list
}
