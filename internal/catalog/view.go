// Package catalog keeps a process's copy of what the platform publishes: the configuration, the
// servers and the announced versions of weights. Entries read the platform's store and send what
// changed to each other and to the agents. While a process runs, its copy never goes back to an
// older revision.
package catalog

import (
	"maps"
	"net"
	"slices"
	"time"

	"go.uber.org/zap"

	"pinevane.example/pinevane/coordination/mirror"
	"pinevane.example/pinevane/coordination/monotonic"
	"pinevane.example/pinevane/internal/fleet"
	"pinevane.example/pinevane/internal/logging"
)

// VersionAnnouncement describes an announced version of a model's weights.
type VersionAnnouncement struct {
	Version  uint64 `json:"version"`
	Revision uint64 `json:"revision"`
	// Since is the earliest moment at which the version can have been announced: the last one at
	// which this copy, or that of the peer that sent it, was certainly complete.
	Since time.Time `json:"since"`
	// Assumed is set while Since is an estimate, because no process that saw the announcement has
	// sent its age.
	Assumed bool `json:"assumed,omitempty"`
}

// tighten applies another earliest moment of the announcement if it is later, or if the current one
// is assumed, and reports whether it did.
func (n *VersionAnnouncement) tighten(since time.Time) bool {
	if !n.Assumed && !since.After(n.Since) {
		return false
	}
	n.Since, n.Assumed = since, false
	return true
}

// View is an immutable snapshot of everything known.
type View struct {
	// Configuration is nil until one is known.
	Configuration *fleet.Configuration
	// ConfigurationSince is when this process applied the configuration.
	ConfigurationSince time.Time
	// Servers holds the listed servers by service.
	Servers map[string][]fleet.Server
	// Versions holds the announced versions of each model, the newest last.
	Versions map[string][]VersionAnnouncement
	// Evacuations maps each evacuated zone to when this process learned of it. The map is never
	// modified.
	Evacuations map[string]time.Time
	// agents maps the IP addresses of machines with model servers to their zones.
	agents map[string]string
	// engineServices are the services of the agents.
	engineServices map[string]bool
}

// maxAnnouncements bounds the version announcements kept for each model. It exceeds the number that
// an operator makes before a version is in force.
const maxAnnouncements = 32

// pruneAnnouncements removes announcements that no longer bind: the oldest one, as long as the next
// newer one is in force too. Until then, the oldest ends the time of the versions before it.
func pruneAnnouncements(announcements []VersionAnnouncement, apply time.Duration, now time.Time) []VersionAnnouncement {
	for len(announcements) > 1 && (len(announcements) > maxAnnouncements || now.Sub(announcements[1].Since) > apply) {
		announcements = announcements[1:]
	}
	return announcements
}

// Newest returns the newest announced version of a model.
func (v *View) Newest(model string) (VersionAnnouncement, bool) {
	announcements := v.Versions[model]
	if len(announcements) == 0 {
		return VersionAnnouncement{}, false
	}
	return announcements[len(announcements)-1], true
}

// NewestOlderThan returns the newest version of a model that was announced longer ago than age, or
// 0.
func (v *View) NewestOlderThan(model string, age time.Duration, now time.Time) uint64 {
	due := uint64(0)
	for _, announcement := range v.Versions[model] {
		if now.Sub(announcement.Since) > age {
			due = max(due, announcement.Version)
		}
	}
	return due
}

// FirstAfter returns the earliest known announcement of a version newer than the given one.
func (v *View) FirstAfter(model string, version uint64) (VersionAnnouncement, bool) {
	return FirstAfter(v.Versions[model], version)
}

// FirstAfter returns the earliest announcement of a version newer than the given one.
func FirstAfter(announcements []VersionAnnouncement, version uint64) (VersionAnnouncement, bool) {
	for _, announcement := range announcements {
		if announcement.Version > version {
			return announcement, true
		}
	}
	return VersionAnnouncement{}, false
}

// Evacuated reports whether a zone is evacuated and receives no new requests.
func (v *View) Evacuated(zone string) bool {
	_, evacuated := v.Evacuations[zone]
	return evacuated
}

// Agents returns the IP addresses and zones of the machines whose model servers are listed; each
// has an agent. The map must not be modified.
func (v *View) Agents() map[string]string { return v.agents }

// collectAgents sets the agents of a view under construction, which is still a copy of the previous one.
func (v *View) collectAgents() {
	agents, services := map[string]string{}, map[string]bool{}
	for name, servers := range v.Servers {
		if !v.hasEngine(name) {
			continue
		}
		services[name] = true
		for _, server := range servers {
			if host, _, err := net.SplitHostPort(server.Address); err == nil {
				agents[host] = server.Zone
			}
		}
	}
	v.agents, v.engineServices = agents, services
}

// hasEngine reports whether a service has model servers. One that is removed from the configuration
// keeps its agents while servers of it are listed: requests are still under way there, and without
// reports of the agents they would be given up.
func (v *View) hasEngine(name string) bool {
	if v.Configuration == nil {
		return false
	}
	service, published := v.Configuration.Services[name]
	if !published {
		return v.engineServices[name]
	}
	return service.Engine != nil
}

// decodedConfiguration is a decoded configuration, or the error of decoding it.
type decodedConfiguration struct {
	configuration *fleet.Configuration
	err           error
}

// decodeConfigurations decodes the configurations among changed records, by record version. It
// runs without the mutex, which every request takes: a configuration of 10,000 routes takes 35 ms
// of a whole core to decode (BenchmarkConfiguration), and several times as long on a fraction of
// one.
func (c *Catalog) decodeConfigurations(changed []mirror.Record) map[monotonic.Version]decodedConfiguration {
	var decoded map[monotonic.Version]decodedConfiguration
	for _, record := range changed {
		if record.Deleted || c.options.Decoder.Kind(record.Key) != fleet.RecordConfiguration {
			continue
		}
		if decoded == nil {
			decoded = map[monotonic.Version]decodedConfiguration{}
		}
		configuration, err := c.options.Decoder.Configuration(record.Value)
		decoded[record.Version()] = decodedConfiguration{configuration: configuration, err: err}
	}
	return decoded
}

// rebuildView builds a view from changed records and their decoded configurations, and publishes
// it. The mutex must be held.
func (c *Catalog) rebuildView(changed []mirror.Record, decoded map[monotonic.Version]decodedConfiguration) {
	old := c.view.Load()
	next := &View{
		Configuration: old.Configuration, ConfigurationSince: old.ConfigurationSince,
		Servers: old.Servers, Versions: old.Versions, Evacuations: old.Evacuations, agents: old.agents, engineServices: old.engineServices,
	}
	var serversChanged bool
	for _, record := range changed {
		switch c.options.Decoder.Kind(record.Key) {
		case fleet.RecordConfiguration:
			c.applyConfiguration(next, record, decoded[record.Version()])
		case fleet.RecordVersion:
			c.applyVersion(next, record)
		case fleet.RecordEvacuation:
			c.applyEvacuation(next, record)
		case fleet.RecordServer:
			serversChanged = true
		}
	}
	if serversChanged {
		c.rebuildServers(next)
	}
	if serversChanged || next.Configuration != old.Configuration {
		next.collectAgents()
	}
	c.view.Store(next)
}

func (c *Catalog) applyConfiguration(next *View, record mirror.Record, decoded decodedConfiguration) {
	if record.Deleted {
		return
	}
	configuration, err := decoded.configuration, decoded.err
	if err != nil {
		c.options.Log.Log(logging.SnapshotRejected, zap.String("key", record.Key), zap.Uint64("revision", record.Revision), zap.Error(err))
		return
	}
	if next.Configuration != nil && configuration.Version < next.Configuration.Version {
		c.options.Log.Log(logging.SnapshotStale, zap.Uint64("offered", configuration.Version), zap.Uint64("current", next.Configuration.Version))
		return
	}
	next.Configuration, next.ConfigurationSince = configuration, time.Now()
	c.options.Log.Log(logging.SnapshotAccepted, zap.Uint64("version", configuration.Version), zap.Uint64("revision", record.Revision),
		zap.Int("routes", len(configuration.Routes)), zap.Int("tenants", len(configuration.Tenants)))
}

func (c *Catalog) applyVersion(next *View, record mirror.Record) {
	named, err := c.options.Decoder.Version(record)
	if record.Deleted || err != nil {
		return
	}
	if held, known := next.Newest(named.Model); known && held.Version >= named.Version {
		next.reannounce(named)
		return
	}
	age := c.versionAges[record.Key]
	announcement := VersionAnnouncement{Version: named.Version, Revision: record.Revision, Since: time.Now().Add(-age.age), Assumed: age.assumed}
	announcements := append(slices.Clone(next.Versions[named.Model]), announcement)
	announcements = pruneAnnouncements(announcements, c.options.VersionApply, time.Now())
	next.Versions = maps.Clone(next.Versions)
	next.Versions[named.Model] = announcements
	c.options.Log.Log(logging.VersionAnnounced, zap.String("model", named.Model), zap.Uint64("version", named.Version),
		zap.Uint64("revision", record.Revision), zap.Duration("age", time.Since(announcement.Since)), zap.Bool("assumed", announcement.Assumed))
	if age.age > lateAnnouncement {
		c.options.Log.Log(logging.VersionAnnouncedLate, zap.String("model", named.Model), zap.Uint64("version", named.Version),
			zap.Duration("at_most", age.age), zap.Bool("assumed", age.assumed))
	}
}

// reannounce records the revision of a further announcement of the newest version, which counts from the
// first one: peers send ages with the revision of the record.
func (v *View) reannounce(named fleet.PublishedVersion) {
	announcements := slices.Clone(v.Versions[named.Model])
	newest := &announcements[len(announcements)-1]
	if newest.Version != named.Version || newest.Revision == named.Revision {
		return
	}
	newest.Revision = named.Revision
	v.Versions = maps.Clone(v.Versions)
	v.Versions[named.Model] = announcements
}

// rebuildServers lists the servers again from their decoded records. The mutex must be held.
func (c *Catalog) rebuildServers(next *View) {
	next.Servers = map[string][]fleet.Server{}
	for _, key := range c.serverKeys {
		server := c.servers[key]
		next.Servers[server.Service] = append(next.Servers[server.Service], server)
		delete(c.expired, server.ID)
	}
	count := len(c.serverKeys) + c.retainExpired(next)
	c.options.Log.Log(logging.MembershipChanged, zap.Int("servers", count))
}
