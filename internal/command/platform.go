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

// platformHeapGrowthPercent is the GC percentage on the users' machines. It is higher than
// elsewhere: these machines have enough memory, while CPU time is charged.
const platformHeapGrowthPercent = 100

// settingsCheckPeriod is the interval at which the settings file is checked for changes.
const settingsCheckPeriod = 2 * time.Second

// runWithSettings runs a role with the settings file of the users' platform. The policy is used by
// entries only.
func (f *processFlags) runWithSettings(role string, policy forward.Policy) error {
	level, err := zapcore.ParseLevel(f.LogLevel)
	if err != nil || level > zapcore.ErrorLevel {
		return &fault.InvalidSetting{Flag: "--log-level", Value: f.LogLevel, Allowed: "debug, info, warn or error"}
	}
	watcher := watchSettings(f.Settings)
	settings, err := platform.ReadSettings(f.Settings)
	if err != nil {
		return err
	}
	if err := checkRole(role, settings); err != nil {
		return err
	}
	limitMemoryWithGCPercent(platformHeapGrowthPercent)
	log := logging.NewBounded(level, settings.Name, os.Stdout)
	defer log.Sync()
	process := daemon.New(daemon.Options{
		Settings: settings, Role: role, Store: platform.NewStore(settings.StoreAddress), Decoder: platform.NewDecoder(), Log: log,
		Reload: func() (fleet.Settings, error) { return platform.ReadSettings(f.Settings) },
	})
	run := newRole(role, process, policy)
	// Started only after the role is built: a reload during construction would leave the
	// components with the old settings.
	go watcher.run(process.Reload)
	return run(stopSignal())
}

// newRole builds the role's process and returns its Run method.
func newRole(role string, process *daemon.Daemon, policy forward.Policy) func(stop <-chan struct{}) error {
	if role == catalog.RoleEntry {
		return gateway.New(gateway.Options{Daemon: process, Dialect: platform.Dialect{}, Policy: policy}).Run
	}
	return rollout.New(rollout.Options{
		Daemon: process, Server: platform.NewModelServer(process.Settings().ServerAddress), Origin: platform.NewOrigin(),
	}).Run
}

// checkRole validates that the settings have the fields that a role requires.
func checkRole(role string, settings fleet.Settings) error {
	required := []struct{ field, value string }{{"app", settings.ServerAddress}, {"service", settings.Service}}
	if role == catalog.RoleEntry {
		required = []struct{ field, value string }{{"listen.front", settings.Callers}, {"listen.ready", settings.Ready}}
	}
	for _, setting := range required {
		if setting.value == "" {
			return &fault.InvalidSetting{Flag: "settings field " + setting.field, Allowed: "a value, for the role " + role}
		}
	}
	return nil
}

// settingsWatcher detects changes of a settings file. It is created before the file is first read:
// an unhandled SIGHUP would terminate the process, and a change during startup would go unnoticed.
type settingsWatcher struct {
	path   string
	hangUp chan os.Signal
	// lastModified is the file's modification time when it was last read.
	lastModified string
}

// watchSettings returns a watcher that detects changes from now on.
func watchSettings(path string) *settingsWatcher {
	w := &settingsWatcher{path: path, hangUp: make(chan os.Signal, 1)}
	signal.Notify(w.hangUp, syscall.SIGHUP)
	w.lastModified = modificationTime(path)
	return w
}

// run calls reload on SIGHUP and when the file has changed.
func (w *settingsWatcher) run(reload func()) {
	ticker := time.NewTicker(settingsCheckPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-w.hangUp:
			w.lastModified = modificationTime(w.path)
			reload()
		case <-ticker.C:
			if current := modificationTime(w.path); current != w.lastModified {
				w.lastModified = current
				reload()
			}
		}
	}
}

// modificationTime returns a file's modification time, or an empty string if it can't be read.
func modificationTime(path string) string {
	info, err := os.Stat(filepath.Clean(path))
	if err != nil {
		return ""
	}
	return info.ModTime().String()
}
