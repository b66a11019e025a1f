package launch

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"pinevane.example/pinevane/internal/emulator/site"
	"pinevane.example/pinevane/internal/fault"
)

// SiteFleet is a fleet of entry and agent processes on the emulated platform.
type SiteFleet struct {
	Site  *site.Site
	Group *Group

	folder string
}

// NewSiteFleet starts the emulated platform, but no processes. With a log directory each process
// writes its log to a file there.
func NewSiteFleet(executable, logDirectory string, options site.Options) (*SiteFleet, error) {
	folder, err := os.MkdirTemp("", "pinevane-fleet")
	if err != nil {
		return nil, &fault.Unavailable{Target: "temporary folder", Operation: "make", Cause: err}
	}
	running, err := site.Start(options)
	if err != nil {
		return nil, &fault.Unavailable{Target: "stand-in", Operation: "start", Cause: err}
	}
	return &SiteFleet{Site: running, Group: NewGroup(executable, logDirectory), folder: folder}, nil
}

// Close kills every process and closes the emulated platform.
func (f *SiteFleet) Close() {
	f.Group.Stop()
	f.Site.Close()
	_ = os.RemoveAll(f.folder)
}

// SiteProcessName returns the name of a process with a role, zone and index.
func SiteProcessName(role string, zone, index int) string {
	return fmt.Sprintf("%s-%d-%d", role, zone, index)
}

// Start starts the first process of a machine.
func (f *SiteFleet) Start(role string, zone, index int) error {
	if err := f.Site.OpenStore(role, zone, index); err != nil {
		return &fault.Unavailable{Target: "stand-in", Operation: "listen", Cause: err}
	}
	return f.Restart(role, zone, index)
}

// Restart starts a process on a machine that has run one before.
func (f *SiteFleet) Restart(role string, zone, index int) error {
	name := SiteProcessName(role, zone, index)
	if err := f.writeSettings(name, f.Site.Settings(role, zone, index)); err != nil {
		return err
	}
	return f.Group.Run(name, []string{role, "--settings", f.settingsPath(name)})
}

// Reload replaces the settings file of a running process and sends it SIGHUP, on which it rereads
// the file.
func (f *SiteFleet) Reload(name string, settings []byte) error {
	if err := f.writeSettings(name, settings); err != nil {
		return err
	}
	return f.Group.Signal(name, syscall.SIGHUP)
}

func (f *SiteFleet) settingsPath(name string) string { return filepath.Join(f.folder, name+".json") }

func (f *SiteFleet) writeSettings(name string, settings []byte) error {
	path := f.settingsPath(name)
	if err := os.WriteFile(path, settings, 0o600); err != nil {
		return &fault.Unavailable{Target: path, Operation: "write", Cause: err}
	}
	return nil
}

// StartAll starts every entry and agent and waits until the entries are ready.
func (f *SiteFleet) StartAll(limit time.Duration) error {
	options := f.Site.Options
	for zone := range options.Zones {
		for index := range options.Entries {
			if err := f.Start(site.RoleEntry, zone, index); err != nil {
				return err
			}
		}
		for index := range options.ModelServers {
			if err := f.Start(site.RoleAgent, zone, index); err != nil {
				return err
			}
		}
	}
	return f.WaitReady(limit)
}

// WaitReady waits until every entry reports that it is ready.
func (f *SiteFleet) WaitReady(limit time.Duration) error {
	options := f.Site.Options
	return WaitFor(limit, "entries ready", func() bool {
		for zone := range options.Zones {
			for index := range options.Entries {
				if !f.ready(zone, index) {
					return false
				}
			}
		}
		return true
	})
}

func (f *SiteFleet) ready(zone, index int) bool {
	response, err := http.Get(f.Site.ReadyURL(zone, index))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
