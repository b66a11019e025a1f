package emulator

import (
	"testing"

	"pinevane.example/pinevane/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }
