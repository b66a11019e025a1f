package forward

import (
	"time"

	"pinevane.example/pinevane/internal/fleet"
)

// SetSettings applies the bounds and zones of reloaded settings. They hold for every decision from
// then on, also for open requests. The window of the retry budgets stays as it was at the start.
func (f *Forwarder) SetSettings(settings fleet.Settings) {
	bounds := settings.Bounds
	f.targets.setSettings(&bounds, settings.Regions)
	f.retryBudgets.setZones(settings.Regions)
	if configuration := f.targets.currentView().Configuration; configuration != nil {
		f.checkRegions(configuration)
	}
}

func (t *targets) setSettings(bounds *fleet.Bounds, regions map[string]string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.bounds.Store(bounds)
	t.core.SetRegions(regions)
	for _, change := range t.core.Update(fleetOf(t.view, bounds), time.Now()) {
		t.applyChange(change)
	}
}
