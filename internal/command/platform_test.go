package command

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A SIGHUP or a change of the settings file between the first read and the end of startup must
// neither terminate the process nor be missed.
func TestSettingsChangesDuringStartupAreReloaded(t *testing.T) {
	for name, change := range map[string]func(path string){
		"signal": func(string) { require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP)) },
		"file": func(path string) {
			require.NoError(t, os.Chtimes(path, time.Time{}, time.Now().Add(-time.Hour)))
		},
	} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "settings.json")
			require.NoError(t, os.WriteFile(path, []byte("{}"), 0o600))
			watch := watchSettings(path)
			change(path)
			// Signal delivery is asynchronous.
			time.Sleep(100 * time.Millisecond)
			reloaded := make(chan struct{}, 1)
			go watch.run(func() { reloaded <- struct{}{} })
			select {
			case <-reloaded:
			case <-time.After(2 * settingsCheckPeriod):
				assert.Fail(t, "the settings were not reloaded")
			}
		})
	}
}
