// Package catalog keeps a process's copy of what the platform publishes:
// configuration, servers, and named versions of weights. Entries read the
// platform's store and tell each other and the agents; what a process holds
// never goes back to an older revision within its life.
package catalog

import (
	"maps"
	"net"
	"slices"
	"time"

	"go.uber.org/zap"

	"pinevane.example/pinevane/coordination/mirror"
	"pinevane.example/pinevane/internal/fleet"
	"pinevane.example/pinevane/internal/logging"
)

// Notice is a named version.
type Notice struct {
	Version  uint64 `json:"version"`
	Revision uint64 `json:"revision"`
	// Since is the earliest moment at which the version can have been named: the last one
	// at which this copy, or that of the peer which told of it, surely lacked nothing.
	Since time.Time `json:"since"`
	// Assumed is set while Since is a guess, because nobody who has seen the naming
	// has told of it.
	Assumed bool `json:"assumed,omitempty"`
}

// tighten takes over another earliest moment of the naming where that is later, or the one
// held is a guess, and reports whether it did.
func (n *Notice) tighten(since time.Time) bool {
	if !n.Assumed && !since.After(n.Since) {
		return false
	}
	n.Since, n.Assumed = since, false
	return true
}

// View is an immutable picture of everything known.
type View struct {
	// Configuration is nil until one is known.
	Configuration *fleet.Configuration
	// ConfigurationSince is when this process took the configuration over.
	ConfigurationSince time.Time
	// Servers lists every listed server by its service.
	Servers map[string][]fleet.Server
	// Versions holds the named versions of each model, the newest last.
	Versions map[string][]Notice
	// Evacuations are the evacuated zones, and since when this process knows; the map is
	// never changed.
	Evacuations map[string]time.Time
	// agents are the zones of the machines with model servers, by IP address.
	agents map[string]string
}

// maximumNotices bounds how many named versions of a model are remembered: more than an operator
// names within the time until a version is in force.
const maximumNotices = 32

// stillBinding drops the notices of versions that bind nothing any more: the oldest one, for as
// long as a newer one is in force too. Until then it is the oldest that ends the time of the
// versions before it.
func stillBinding(notices []Notice, apply time.Duration, now time.Time) []Notice {
	for len(notices) > 1 && (len(notices) > maximumNotices || now.Sub(notices[1].Since) > apply) {
		notices = notices[1:]
	}
	return notices
}

// Newest returns the newest named version of a model.
func (v *View) Newest(model string) (Notice, bool) {
	notices := v.Versions[model]
	if len(notices) == 0 {
		return Notice{}, false
	}
	return notices[len(notices)-1], true
}

// Due returns the newest version of a model that was named longer ago than an
// age, or 0.
func (v *View) Due(model string, age time.Duration, now time.Time) uint64 {
	due := uint64(0)
	for _, notice := range v.Versions[model] {
		if now.Sub(notice.Since) > age {
			due = max(due, notice.Version)
		}
	}
	return due
}

// FirstAfter returns the earliest remembered notice of a version newer than one.
func (v *View) FirstAfter(model string, version uint64) (Notice, bool) {
	return FirstAfter(v.Versions[model], version)
}

// FirstAfter returns the earliest notice of a version newer than one.
func FirstAfter(notices []Notice, version uint64) (Notice, bool) {
	for _, notice := range notices {
		if notice.Version > version {
			return notice, true
		}
	}
	return Notice{}, false
}

// Evacuated reports whether a zone is to be sent nothing new.
func (v *View) Evacuated(zone string) bool {
	_, evacuated := v.Evacuations[zone]
	return evacuated
}

// Agents returns the IP addresses and zones of the machines whose model servers
// are listed; each has an agent. The map is not to be changed.
func (v *View) Agents() map[string]string { return v.agents }

// findAgents fills in the agents of a view that is being made.
func (v *View) findAgents() {
	v.agents = map[string]string{}
	for name, servers := range v.Servers {
		if !v.hasEngine(name) {
			continue
		}
		for _, server := range servers {
			if host, _, err := net.SplitHostPort(server.Address); err == nil {
				v.agents[host] = server.Zone
			}
		}
	}
}

func (v *View) hasEngine(service string) bool {
	return v.Configuration != nil && v.Configuration.Services[service].Engine != nil
}

// decodedConfiguration is what a record of a configuration holds, or why it can't be read.
type decodedConfiguration struct {
	configuration *fleet.Configuration
	err           error
}

// decodeConfigurations decodes the configurations among some news, by the revisions of their
// records, without the mutex, which every request takes: a configuration of 10,000 routes takes
// 35 ms of a whole core to decode (BenchmarkConfiguration), several times as long on a part of one.
func (c *Catalog) decodeConfigurations(news []mirror.Record) map[uint64]decodedConfiguration {
	var decoded map[uint64]decodedConfiguration
	for _, record := range news {
		if record.Deleted || c.options.Decoder.Kind(record.Key) != fleet.RecordConfiguration {
			continue
		}
		if decoded == nil {
			decoded = map[uint64]decodedConfiguration{}
		}
		configuration, err := c.options.Decoder.Configuration(record.Value)
		decoded[record.Revision] = decodedConfiguration{configuration: configuration, err: err}
	}
	return decoded
}

// rebuild makes a new view after news, whose configurations have been decoded, and publishes it;
// the mutex is held.
func (c *Catalog) rebuild(news []mirror.Record, decoded map[uint64]decodedConfiguration) {
	old := c.view.Load()
	next := &View{
		Configuration: old.Configuration, ConfigurationSince: old.ConfigurationSince,
		Servers: old.Servers, Versions: old.Versions, Evacuations: old.Evacuations, agents: old.agents,
	}
	var serversChanged bool
	for _, record := range news {
		switch c.options.Decoder.Kind(record.Key) {
		case fleet.RecordConfiguration:
			c.takeConfiguration(next, record, decoded[record.Revision])
		case fleet.RecordVersion:
			c.takeVersion(next, record)
		case fleet.RecordEvacuation:
			c.takeEvacuation(next, record)
		case fleet.RecordServer:
			serversChanged = true
		}
	}
	if serversChanged {
		c.rebuildServers(next)
	}
	if serversChanged || next.Configuration != old.Configuration {
		next.findAgents()
	}
	c.view.Store(next)
}

func (c *Catalog) takeConfiguration(next *View, record mirror.Record, decoded decodedConfiguration) {
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

func (c *Catalog) takeVersion(next *View, record mirror.Record) {
	named, err := c.options.Decoder.Version(record)
	if record.Deleted || err != nil {
		return
	}
	if held, known := next.Newest(named.Model); known && held.Version >= named.Version {
		return
	}
	age := c.ages[record.Key]
	notice := Notice{Version: named.Version, Revision: record.Revision, Since: time.Now().Add(-age.age), Assumed: age.assumed}
	notices := append(slices.Clone(next.Versions[named.Model]), notice)
	notices = stillBinding(notices, c.options.VersionApply, time.Now())
	next.Versions = maps.Clone(next.Versions)
	next.Versions[named.Model] = notices
	c.options.Log.Log(logging.VersionNamed, zap.String("model", named.Model), zap.Uint64("version", named.Version),
		zap.Uint64("revision", record.Revision), zap.Duration("age", time.Since(notice.Since)), zap.Bool("assumed", notice.Assumed))
	if age.age > lateNaming {
		c.options.Log.Log(logging.VersionHeardLate, zap.String("model", named.Model), zap.Uint64("version", named.Version),
			zap.Duration("at_most", age.age), zap.Bool("assumed", age.assumed))
	}
}

// rebuildServers lists the servers anew, from what their records have been decoded
// to; the mutex is held.
func (c *Catalog) rebuildServers(next *View) {
	next.Servers = map[string][]fleet.Server{}
	for _, key := range c.serverKeys {
		server := c.servers[key]
		next.Servers[server.Service] = append(next.Servers[server.Service], server)
		delete(c.lapsed, server.ID)
	}
	count := len(c.serverKeys) + c.keepLapsed(next)
	c.options.Log.Log(logging.MembershipChanged, zap.Int("servers", count))
}
