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

// A hang-up signal, or a change of the settings file, that comes between the first reading and
// the end of the start ends no process and is not lost.
func TestSettingsThatChangeDuringTheStartAreReadAgain(t *testing.T) {
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
			// A signal takes a moment to arrive.
			time.Sleep(100 * time.Millisecond)
			read := make(chan struct{}, 1)
			go watch.run(func() { read <- struct{}{} })
			select {
			case <-read:
			case <-time.After(2 * settingsCheckPeriod):
				assert.Fail(t, "the settings were not read again")
			}
		})
	}
}
