package network

import (
	"context"
	"net/http/httptrace"
	"sync"
)

// UploadBroken reports that a request could not be written to its end although it was answered with success: what the answer
// confirms has not arrived.
type UploadBroken struct {
	// Cause is the error of the write.
	Cause error
}

func (e *UploadBroken) Error() string {
	return "the request was answered but could not be written: " + e.Cause.Error()
}

// Unwrap returns the error of the write.
func (e *UploadBroken) Unwrap() error { return e.Cause }

// Upload follows the write of one request with a body that net/http sends. A server may answer while the request is being
// written, and net/http then doesn't report a write that fails afterwards. The request must have no GetBody, without which
// net/http writes it only once.
type Upload struct {
	once    sync.Once
	written chan struct{}
	err     error
}

// NewUpload returns the upload of a request that has not been written.
func NewUpload() *Upload { return &Upload{written: make(chan struct{})} }

// Trace returns a context for the request that is to be followed.
func (u *Upload) Trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: u.wrote})
}

// wrote records the end of the write.
func (u *Upload) wrote(info httptrace.WroteRequestInfo) {
	u.once.Do(func() {
		u.err = info.Err
		close(u.written)
	})
}

// Await waits until the request has been written. It returns an UploadBroken if that failed, or the context's error.
func (u *Upload) Await(ctx context.Context) error {
	select {
	case <-u.written:
	case <-ctx.Done():
		return ctx.Err()
	}
	if u.err != nil {
		return &UploadBroken{Cause: u.err}
	}
	return nil
}
