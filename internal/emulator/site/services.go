package site

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// Further services are plain ones beside those that Start starts. Their machines have numbers from
// firstFurther on.
const firstFurther = 220

// StartService starts a server of a further plain service in a zone. The configuration has to name
// the service; see AddService.
func (s *Site) StartService(service string, zone, index int) (*Server, error) {
	s.startCount++
	server := NewServer(ServerOptions{
		ID: fmt.Sprintf("f-%d-%d-%d", zone, index, s.startCount), Service: service, Zone: ZoneName(zone), Region: RegionName(zone),
		Address: fmt.Sprintf("%s:%d", s.Options.ip(zone, firstFurther+index), serverPort), Slots: s.Options.Slots, StartTime: time.Now().UnixMilli(),
		EventTime: s.Options.plainTime(), Heartbeat: 400 * time.Millisecond, Store: s.Store, Requests: s.Requests, OnBegin: s.crashesOn,
	})
	return server, s.startServer(s.Plain, server)
}

// ConfigureOnce publishes a configuration with a change that later ones do not have, and returns its
// version and the revision of its record.
func (s *Site) ConfigureOnce(change func(configuration map[string]any)) (version, revision uint64) {
	s.version += 3
	s.configuration["version"] = s.version
	data, err := json.Marshal(s.configuration)
	if err != nil {
		panic(err)
	}
	var copied map[string]any
	if err := json.Unmarshal(data, &copied); err != nil {
		panic(err)
	}
	change(copied)
	return s.version, s.Store.Put("op/config", copied)
}

// AddService adds a plain service to a configuration.
func AddService(configuration map[string]any, service string) {
	configuration["services"] = append(configuration["services"].([]any), map[string]any{"name": service, "healthPath": "/healthz", "maxConnections": 400})
}

// ChangeRoutes applies a change to the routes of the given names, or to all routes if none is given.
func ChangeRoutes(configuration map[string]any, change func(route map[string]any), names ...string) {
	for _, entry := range configuration["routes"].([]any) {
		route := entry.(map[string]any)
		if len(names) == 0 || slices.Contains(names, route["name"].(string)) {
			change(route)
		}
	}
}

// RemoveNamed removes the entries of the given names, or all entries if none is given, from one of a
// configuration's lists, such as its routes.
func RemoveNamed(configuration map[string]any, list string, names ...string) {
	configuration[list] = slices.DeleteFunc(slices.Clone(configuration[list].([]any)), func(entry any) bool {
		return len(names) == 0 || slices.Contains(names, entry.(map[string]any)["name"].(string))
	})
}
