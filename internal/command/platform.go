package command

import (
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"go.uber.org/zap/zapcore"

	"pinevane.example/pinevane/internal/catalog"
	"pinevane.example/pinevane/internal/daemon"
	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/fleet"
	"pinevane.example/pinevane/internal/forward"
	"pinevane.example/pinevane/internal/gateway"
	"pinevane.example/pinevane/internal/logging"
	"pinevane.example/pinevane/internal/rollout"
	"pinevane.example/pinevane/platform"
)

// platformHeapGrowthPercent lets the heap grow further between collections than
// elsewhere: the users' machines have the memory, and price processor time.
const platformHeapGrowthPercent = 100

// settingsCheckPeriod is how often the settings file is looked at for changes.
const settingsCheckPeriod = 2 * time.Second

// runWithSettings runs a role with the settings file of the users' platform; entries
// decide by the policy.
func (f *processFlags) runWithSettings(role string, policy forward.Policy) error {
	level, err := zapcore.ParseLevel(f.LogLevel)
	if err != nil || level > zapcore.ErrorLevel {
		return &fault.InvalidSetting{Flag: "--log-level", Value: f.LogLevel, Allowed: "debug, info, warn or error"}
	}
	changes := watchSettings(f.Settings)
	settings, err := platform.ReadSettings(f.Settings)
	if err != nil {
		return err
	}
	if err := checkRole(role, settings); err != nil {
		return err
	}
	limitMemoryAt(platformHeapGrowthPercent)
	log := logging.NewBounded(level, settings.Name, os.Stdout)
	defer log.Sync()
	base := daemon.New(daemon.Options{
		Settings: settings, Role: role, Store: platform.NewStore(settings.StoreAddress), Decoder: platform.NewDecoder(), Log: log,
		Reload: func() (fleet.Settings, error) { return platform.ReadSettings(f.Settings) },
	})
	run := newRole(role, base, policy)
	// Not before: what is built meanwhile would keep the settings of the start.
	go changes.run(base.Reload)
	return run(stopSignal())
}

// newRole builds the role's process, and returns what runs it until a channel is closed.
func newRole(role string, base *daemon.Daemon, policy forward.Policy) func(stop <-chan struct{}) error {
	if role == catalog.RoleEntry {
		return gateway.New(gateway.Options{Daemon: base, Dialect: platform.Dialect{}, Policy: policy}).Run
	}
	return rollout.New(rollout.Options{
		Daemon: base, Server: platform.NewModelServer(base.Settings().ServerAddress), Origin: platform.NewOrigin(),
	}).Run
}

// checkRole checks what the settings must hold for a role.
func checkRole(role string, settings fleet.Settings) error {
	required := []struct{ field, value string }{{"app", settings.ServerAddress}, {"service", settings.Service}}
	if role == catalog.RoleEntry {
		required = []struct{ field, value string }{{"listen.front", settings.Callers}, {"listen.ready", settings.Ready}}
	}
	for _, one := range required {
		if one.value == "" {
			return &fault.InvalidSetting{Flag: "settings field " + one.field, Allowed: "a value, for the role " + role}
		}
	}
	return nil
}

// settingsWatcher notices changes of a settings file, from before the file is first read: a hang-up
// signal would end a process that does not wait for it, and a change that comes while the process starts
// would never be noticed.
type settingsWatcher struct {
	path   string
	hangUp chan os.Signal
	// last is the state of the file that was last read.
	last string
}

// watchSettings begins to notice changes of a file.
func watchSettings(path string) *settingsWatcher {
	w := &settingsWatcher{path: path, hangUp: make(chan os.Signal, 1)}
	signal.Notify(w.hangUp, syscall.SIGHUP)
	w.last = modificationTime(path)
	return w
}

// run reads the settings again on the hang-up signal, and when the file has changed.
func (w *settingsWatcher) run(reload func()) {
	ticker := time.NewTicker(settingsCheckPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-w.hangUp:
			w.last = modificationTime(w.path)
			reload()
		case <-ticker.C:
			if now := modificationTime(w.path); now != w.last {
				w.last = now
				reload()
			}
		}
	}
}

// modificationTime tells one state of a file from another.
func modificationTime(path string) string {
	info, err := os.Stat(filepath.Clean(path))
	if err != nil {
		return ""
	}
	return info.ModTime().String()
}
