package catalog

import "pinevane.example/pinevane/internal/fleet"

// SetSettings applies the bounds and zones of reloaded settings. Seeds are not reloaded: they are
// needed only at the start, and a running process already knows the other entries.
func (c *Catalog) SetSettings(settings fleet.Settings) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.options.VersionApply, c.options.Contact, c.options.Drain = settings.Bounds.VersionApply, settings.Bounds.Contact, settings.Bounds.Drain
	c.options.Zones = settings.Regions
}
