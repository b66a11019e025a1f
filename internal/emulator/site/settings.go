package site

import (
	"cmp"
	"encoding/json"
	"fmt"
)

// Settings returns the settings file of a machine.
func (s *Site) Settings(role string, zone, index int) []byte {
	zones := s.Options.regionsOfZones()
	var seeds []string
	for seedZone := range s.Options.Zones {
		seeds = append(seeds, fmt.Sprintf("%s:%d", s.Options.EntryIP(seedZone, 0), controlPort))
	}
	settings := map[string]any{
		"nodeName": fmt.Sprintf("%s-%d-%d", role, zone, index), "zone": ZoneName(zone), "region": zones[ZoneName(zone)], "zones": zones,
		"internalPorts": []int{firstPort, lastPort}, "seeds": seeds, "unknownField": true,
		"limits": map[string]any{"memoryMb": 150, "linkMbps": cmp.Or(s.Options.LinkMbps, defaultLinkMbps)},
		"bounds": map[string]any{
			"drainMs": s.Options.DrainMs, "graceS": s.Options.GraceS, "configApplyMs": s.Options.ConfigApplyMs,
			"version_ms": s.Options.VersionMs, "recoverS": 12, "reuseAfterS": 2, "retryBudgetRatio": retryRatio, "retryWindowS": retryWindow.Seconds(),
			"budgetSlack": s.Options.BudgetSlack, "evacuateMs": s.Options.EvacuateMs,
			"coldOvershoot": s.Options.ColdOvershoot, "coldSlack": s.Options.ColdSlack,
		},
		"platform": map[string]any{"address": s.storeAddress(role, zone, index)},
	}
	if role == RoleAgent {
		ip := s.Options.ModelIP(zone, index)
		settings["ip"], settings["app"], settings["service"] = ip, fmt.Sprintf("%s:%d", ip, serverPort), ModelService
		settings["listen"] = map[string]any{}
	} else {
		ip := s.Options.EntryIP(zone, index)
		settings["ip"] = ip
		settings["listen"] = map[string]any{
			"front": fmt.Sprintf("%s:%d", ip, callerPort), "ready": fmt.Sprintf("%s:%d", ip, readyPort), "control": fmt.Sprintf("%s:%d", ip, controlPort),
		}
	}
	data, err := json.Marshal(settings)
	if err != nil {
		panic(err)
	}
	return data
}

// ChangedSettings returns a machine's settings file with a change applied.
func (s *Site) ChangedSettings(role string, zone, index int, change func(settings map[string]any)) []byte {
	var settings map[string]any
	if err := json.Unmarshal(s.Settings(role, zone, index), &settings); err != nil {
		panic(err)
	}
	change(settings)
	data, err := json.Marshal(settings)
	if err != nil {
		panic(err)
	}
	return data
}
