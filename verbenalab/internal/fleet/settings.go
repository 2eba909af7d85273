package fleet

import (
	"encoding/json"
	"maps"
	"os"
)

// writeSettings writes a daemon's settings file.
func (f *Fleet) writeSettings(h *Host) (err error) {
	sections := map[string]any{
		"host":     map[string]any{"id": h.ID, "zone": h.Zone},
		"caller":   map[string]any{"listen": h.Caller},
		"operator": map[string]any{"listen": h.Admin, "token_file": f.TokenFile()},
		"peer": map[string]any{
			"listen": h.Peer, "seeds": f.seeds(h), "ca_file": f.path("ca.crt"),
			"cert_file": f.path(string(h.ID) + ".crt"), "key_file": f.path(string(h.ID) + ".key"),
		},
		"platform": map[string]any{"address": h.platform},
		"timeline": map[string]any{"file": f.path(string(h.ID) + ".timeline.jsonl")},
	}
	for name, extra := range f.config.Settings {
		section, _ := sections[name].(map[string]any)
		if section == nil {
			section = map[string]any{}
		}
		fields, _ := extra.(map[string]any)
		maps.Copy(section, fields)
		sections[name] = section
	}
	data, err := json.MarshalIndent(sections, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(h.file, data, 0o600)
}

// seeds names a few other hosts; the rest come from the host list.
func (f *Fleet) seeds(h *Host) []map[string]any {
	const most = 8
	list := []map[string]any{}
	for _, other := range f.Hosts {
		if other.ID != h.ID && len(list) < most {
			list = append(list, map[string]any{"id": other.ID, "address": other.listed})
		}
	}
	return list
}
