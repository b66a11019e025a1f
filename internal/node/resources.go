package node

import (
	"os"
	"runtime"
	"strconv"
	"strings"
	"syscall"
)

// Resources is the resource usage of a process.
type Resources struct {
	// ProcessorSeconds is the user and system CPU time since the process started.
	ProcessorSeconds float64 `json:"processor_seconds"`
	// ResidentBytes is the resident set size.
	ResidentBytes uint64 `json:"resident_bytes"`
	Goroutines    int    `json:"goroutines"`
}

// ReadResources reads the resource usage of this process from the operating system.
// Fields that can't be read are zero.
func ReadResources() Resources {
	resources := Resources{Goroutines: runtime.NumGoroutine(), ResidentBytes: residentBytes()}
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) == nil {
		resources.ProcessorSeconds = seconds(usage.Utime) + seconds(usage.Stime)
	}
	return resources
}

func seconds(value syscall.Timeval) float64 {
	return float64(value.Sec) + float64(value.Usec)/1e6
}

func residentBytes() uint64 {
	data, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseUint(fields[1], 10, 64)
	if err != nil {
		return 0
	}
	return pages * uint64(os.Getpagesize())
}
