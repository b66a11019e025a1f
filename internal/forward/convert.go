package forward

import (
	"maps"
	"slices"
	"time"

	"pinevane.example/pinevane/coordination/dispatch"
	"pinevane.example/pinevane/internal/catalog"
	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/fleet"
)

// fleetOf converts a view to the fleet that dispatch works on.
func fleetOf(view *catalog.View, bounds *fleet.Bounds) dispatch.Fleet {
	published := dispatch.Fleet{Services: map[string]dispatch.Service{}}
	for _, servers := range view.Servers {
		for _, server := range servers {
			published.Servers = append(published.Servers, serverOf(server))
		}
	}
	if view.Configuration != nil {
		for name, service := range view.Configuration.Services {
			limit, _ := bounds.ColdLimit(service)
			published.Services[name] = dispatch.Service{ColdTime: service.ColdTime, ColdRate: limit}
		}
	}
	published.Evacuated = slices.Sorted(maps.Keys(view.Evacuations))
	return published
}

func serverOf(server fleet.Server) dispatch.Server {
	listed := dispatch.Server{
		ID: server.ID, Service: server.Service, Address: server.Address, Zone: server.Zone, Slots: server.Slots, Draining: server.Draining,
		HoldsModel: len(server.Models) > 0, ColdUntil: server.ColdUntil, WrittenAt: server.WrittenAt, StartTime: server.StartTime,
	}
	for _, model := range server.Models {
		listed.Version = max(listed.Version, model.Version)
	}
	return listed
}

// enginesOf returns the model server descriptions of a configuration, by service.
func enginesOf(configuration *fleet.Configuration) map[string]*dispatch.Engine {
	engines := map[string]*dispatch.Engine{}
	if configuration == nil {
		return engines
	}
	for name := range configuration.Services {
		if engine := engineOf(configuration, name); engine != nil {
			engines[name] = engine
		}
	}
	return engines
}

// engineOf returns the model server description of a service, or nil if it has no model servers.
func engineOf(configuration *fleet.Configuration, service string) *dispatch.Engine {
	if configuration == nil {
		return nil
	}
	engine := configuration.Services[service].Engine
	if engine == nil {
		return nil
	}
	return &dispatch.Engine{
		Published: engine.Parameters(), Pieces: engine.Pieces, CopyTime: engine.CopyTime(configuration.OriginRate()), ActivationTime: engine.Warm,
		MaxPrompt: engine.MaxPrompt(),
	}
}

func loadReportOf(status fleet.MachineStatus) dispatch.LoadReport {
	return dispatch.LoadReport{
		Address: status.Address, Reachable: status.Reachable, Version: status.Version, Running: status.Running, Waiting: status.Waiting,
		UnreadTokens: status.UnreadTokens, Pace: status.Pace,
		SwitchPlanned: status.SwitchMilliseconds != fleet.NoSwitch, SwitchIn: time.Duration(status.SwitchMilliseconds) * time.Millisecond,
		FetchingVersion: status.FetchingVersion, MissingPieces: status.MissingPieces, LinkRTT: time.Duration(status.LinkRTTMilliseconds) * time.Millisecond,
		ColdFor: status.ColdFor(), Received: status.Received, StartTime: status.StartTime,
	}
}

func loadReportsOf(statuses []fleet.MachineStatus) []dispatch.LoadReport {
	reports := make([]dispatch.LoadReport, 0, len(statuses))
	for _, status := range statuses {
		reports = append(reports, loadReportOf(status))
	}
	return reports
}

// versionDeadlinesOf returns until when servers with older versions than the announced ones may
// begin requests. Each version takes effect the given time after its announcement.
func versionDeadlinesOf(announcements []catalog.VersionAnnouncement, apply time.Duration) dispatch.VersionDeadlines {
	bounds := make(dispatch.VersionDeadlines, 0, len(announcements))
	for _, announcement := range announcements {
		bounds = append(bounds, dispatch.VersionDeadline{Version: announcement.Version, Until: announcement.Since.Add(apply)})
	}
	return bounds
}

// refusalOf converts a dispatch refusal to the answer for a request that was sent to no server.
func refusalOf(decided *dispatch.Refusal) *fault.Refusal {
	var refusal *fault.Refusal
	switch decided.Reason {
	case dispatch.RefusedOverload:
		refusal = fault.NotRun(fault.ReasonOverloaded, "no server could begin the request within its target")
	case dispatch.RefusedResidency:
		refusal = fault.NotRun(fault.ReasonResidency, "no server in the allowed regions can serve the request now")
	default:
		refusal = fault.NotRun(fault.ReasonNoReplica, "no server can serve the request now")
	}
	refusal.RetryAfter = decided.RetryAfter
	return refusal
}
