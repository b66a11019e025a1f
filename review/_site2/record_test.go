package site2

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file in which a case tells what was sent, answered and run. Times count from its start.
type record struct {
	mutex   sync.Mutex
	file    *os.File
	started time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, started: time.Now()}, nil
}

func (r *record) line(format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, values...))
}

func (r *record) close() { _ = r.file.Close() }
