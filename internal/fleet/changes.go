package fleet

import "slices"

// RestartNeeded names the settings in which fresh ones differ that a running process can't take
// over: who it is, and where it listens. The names are those of the settings file's fields as
// operators know them from the checks.
func (s Settings) RestartNeeded(fresh Settings) []string {
	var fields []string
	for _, one := range []struct {
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
		if one.differs {
			fields = append(fields, one.name)
		}
	}
	return fields
}

// MergeReloadable returns fresh settings with the fields of RestartNeeded as they are in a running
// process, which goes on with those until it is started anew.
func (s Settings) MergeReloadable(fresh Settings) Settings {
	fresh.Name, fresh.Zone, fresh.IP = s.Name, s.Zone, s.IP
	fresh.Callers, fresh.Ready, fresh.Control = s.Callers, s.Ready, s.Control
	fresh.InternalPort, fresh.StoreAddress = s.InternalPort, s.StoreAddress
	fresh.ServerAddress, fresh.Service = s.ServerAddress, s.Service
	return fresh
}

// ZonesChanged lists the zones that one of two maps of zones to regions lacks, or has in another
// region, in order.
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
