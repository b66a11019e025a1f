package fleet

import "slices"

// RestartNeeded names the changed settings that a running process cannot adopt: its identity and
// the addresses it listens on and connects to. The names are those of the settings file, as
// operators know them from the checks.
func (s Settings) RestartNeeded(fresh Settings) []string {
	var fields []string
	for _, field := range []struct {
		name    string
		differs bool
	}{
		{"name", s.Name != fresh.Name},
		{"zone", s.Zone != fresh.Zone},
		{"ip", s.IP != fresh.IP},
		{"listen", s.Callers != fresh.Callers || s.Ready != fresh.Ready || s.Control != fresh.Control},
		{"internal ports", s.InternalPort != fresh.InternalPort},
		{"store address", s.StoreAddress != fresh.StoreAddress},
		{"model server", s.ServerAddress != fresh.ServerAddress || s.Service != fresh.Service},
	} {
		if field.differs {
			fields = append(fields, field.name)
		}
	}
	return fields
}

// MergeReloadable returns fresh with the fields covered by RestartNeeded as they are in s. A
// running process uses the result until it is restarted.
func (s Settings) MergeReloadable(fresh Settings) Settings {
	fresh.Name, fresh.Zone, fresh.IP = s.Name, s.Zone, s.IP
	fresh.Callers, fresh.Ready, fresh.Control = s.Callers, s.Ready, s.Control
	fresh.InternalPort, fresh.StoreAddress = s.InternalPort, s.StoreAddress
	fresh.ServerAddress, fresh.Service = s.ServerAddress, s.Service
	return fresh
}

// ZonesChanged lists, in order, the zones that are in only one of two maps of zones to regions, or
// in a different region.
func ZonesChanged(before, after map[string]string) []string {
	var changed []string
	for zone, region := range before {
		if other, known := after[zone]; !known || other != region {
			changed = append(changed, zone)
		}
	}
	for zone := range after {
		if _, known := before[zone]; !known {
			changed = append(changed, zone)
		}
	}
	slices.Sort(changed)
	return changed
}
