package catalog

import "pinevane.example/pinevane/internal/fleet"

// SetSettings takes over what settings that were read again say of bounds and zones. Seeds are
// what a process begins with: one that runs knows the others from them.
func (c *Catalog) SetSettings(settings fleet.Settings) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.options.VersionApply, c.options.Contact, c.options.Drain = settings.Bounds.VersionApply, settings.Bounds.Contact, settings.Bounds.Drain
	c.options.Zones = settings.Regions
}
