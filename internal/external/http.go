package external

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"pinevane.example/pinevane/coordination/monotonic"
	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/network"
	"pinevane.example/pinevane/internal/weights"
)

// Limits on what is read from the platform.
const (
	maxAnswerBytes = 64 << 20
	maxErrorBytes  = 4 << 10
	maxLineBytes   = 1 << 20
)

// maxDrainTime bounds the time for the rest of a body of no use.
const maxDrainTime = 300 * time.Millisecond

// watchMargin is how much longer than the requested wait a watch may take.
const watchMargin = 5 * time.Second

// NewTransport returns a transport with pooled connections. Requests have no GetBody, so that
// net/http can't resend their bodies; requests that must not be repeated at all use
// NewOneShotTransport.
func NewTransport(idlePerHost int) *http.Transport {
	return &http.Transport{
		DialContext:            (&net.Dialer{Timeout: 2 * time.Second}).DialContext,
		MaxIdleConnsPerHost:    idlePerHost,
		MaxIdleConns:           idlePerHost * 4,
		IdleConnTimeout:        30 * time.Second,
		ReadBufferSize:         16 << 10,
		DisableCompression:     true,
		MaxResponseHeaderBytes: network.MaxHeadBytes,
	}
}

// NewOneShotTransport returns a transport that opens a connection for each request. It sends a
// request at most once, since net/http resends one only when a reused connection breaks.
func NewOneShotTransport() *http.Transport {
	transport := NewTransport(1)
	transport.DisableKeepAlives = true
	return transport
}

type endpoint struct {
	name   string
	base   string
	client *http.Client
}

func newEndpoint(name, address string, transport http.RoundTripper) endpoint {
	return endpoint{name: name, base: "http://" + address, client: &http.Client{Transport: network.CheckHeads(transport)}}
}

func (e endpoint) do(ctx context.Context, method, path string, body io.Reader) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, e.base+path, body)
	if err != nil {
		return nil, &fault.Unavailable{Target: e.name, Operation: method + " " + path, Cause: err}
	}
	// Without GetBody net/http can't resend the body.
	request.GetBody = nil
	response, err := e.client.Do(request)
	if err != nil {
		return nil, &fault.Unavailable{Target: e.name, Operation: method + " " + path, Cause: err}
	}
	return response, nil
}

func (e endpoint) statusError(operation string, response *http.Response) error {
	defer drain(response)
	return &fault.Unavailable{Target: e.name, Operation: operation, Status: response.StatusCode}
}

// drain reads the rest of a body of no use, so that its connection can be used again, unless that takes long.
func drain(response *http.Response) {
	timer := time.AfterFunc(maxDrainTime, func() { _ = response.Body.Close() })
	defer timer.Stop()
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxErrorBytes))
	_ = response.Body.Close()
}

func (e endpoint) getJSON(ctx context.Context, path string, into any) error {
	response, err := e.do(ctx, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return e.statusError("GET "+path, response)
	}
	defer drain(response)
	if err := json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes)).Decode(into); err != nil {
		return &fault.Unavailable{Target: e.name, Operation: "GET " + path, Cause: err}
	}
	return nil
}

// HTTPPublication watches a publication by long polling.
type HTTPPublication struct {
	endpoint endpoint
	path     string
	// onCall is called with the size of each answer, to count control traffic.
	onCall func(answerBytes int)
}

// Paths of the published sets of documents.
const (
	ConfigurationPath = "/v1/configuration"
	MembershipPath    = "/v1/membership"
)

// NewHTTPPublication returns a client for the publication at a path of a service.
func NewHTTPPublication(address, path string, onCall func(answerBytes int)) *HTTPPublication {
	return &HTTPPublication{
		endpoint: newEndpoint("publication "+address+path, address, NewTransport(2)),
		path:     path,
		onCall:   onCall,
	}
}

// Watch implements Publication.
func (p *HTTPPublication) Watch(ctx context.Context, since monotonic.Version, wait time.Duration) (monotonic.Update, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+watchMargin)
	defer cancel()
	query := url.Values{}
	query.Set("epoch", strconv.FormatUint(since.Epoch, 10))
	query.Set("revision", strconv.FormatUint(since.Revision, 10))
	query.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	response, err := p.endpoint.do(ctx, http.MethodGet, p.path+"?"+query.Encode(), nil)
	if err != nil {
		return monotonic.Update{}, false, err
	}
	defer drain(response)
	if response.StatusCode == http.StatusNotModified {
		p.onCall(0)
		return monotonic.Update{}, false, nil
	}
	if response.StatusCode != http.StatusOK {
		return monotonic.Update{}, false, p.endpoint.statusError("watch", response)
	}
	data, err := readBounded(response.Body, maxAnswerBytes)
	if err != nil {
		return monotonic.Update{}, false, &fault.Unavailable{Target: p.endpoint.name, Operation: "watch", Cause: err}
	}
	p.onCall(len(data))
	var update monotonic.Update
	if err := json.Unmarshal(data, &update); err != nil {
		return monotonic.Update{}, false, &fault.Unavailable{Target: p.endpoint.name, Operation: "watch", Cause: err}
	}
	return update, true, nil
}

// HTTPOrigin reads manifests and chunks over HTTP.
type HTTPOrigin struct{ endpoint endpoint }

// NewHTTPOrigin returns the client of an origin.
func NewHTTPOrigin(address string) *HTTPOrigin {
	return &HTTPOrigin{endpoint: newEndpoint("origin", address, NewTransport(4))}
}

// Manifest implements Origin.
func (o *HTTPOrigin) Manifest(ctx context.Context, digest weights.Digest) ([]byte, error) {
	return readBlob(ctx, o.endpoint, "/v1/manifests/"+string(digest), weights.MaximumManifestBytes)
}

// Chunk implements Origin.
func (o *HTTPOrigin) Chunk(ctx context.Context, chunk weights.Chunk) (io.ReadCloser, error) {
	return openBlob(ctx, o.endpoint, "/v1/chunks/"+string(chunk.Digest))
}

func readBlob(ctx context.Context, e endpoint, path string, limit int64) ([]byte, error) {
	body, err := openBlob(ctx, e, path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = body.Close() }()
	data, err := readBounded(body, limit)
	if err != nil {
		return nil, &fault.Unavailable{Target: e.name, Operation: "read " + path, Cause: err}
	}
	return data, nil
}

// readBounded reads a complete body and returns an error if it exceeds the limit.
func readBounded(body io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > limit {
		return nil, &network.AnswerTooLong{MaxBytes: limit}
	}
	return data, nil
}

func openBlob(ctx context.Context, e endpoint, path string) (io.ReadCloser, error) {
	response, err := e.do(ctx, http.MethodGet, path, nil)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK && response.StatusCode != http.StatusPartialContent {
		return nil, e.statusError("GET "+path, response)
	}
	return response.Body, nil
}

// HTTPPeerStore reads manifests and chunks from another agent.
type HTTPPeerStore struct{ transport *http.Transport }

// NewHTTPPeerStore returns a client with one connection pool for all peers.
func NewHTTPPeerStore() *HTTPPeerStore {
	transport := NewTransport(2)
	transport.MaxIdleConns = 64
	transport.IdleConnTimeout = 5 * time.Second
	return &HTTPPeerStore{transport: transport}
}

// Manifest reads a manifest from the agent at an address.
func (p *HTTPPeerStore) Manifest(ctx context.Context, address string, digest weights.Digest) ([]byte, error) {
	return readBlob(ctx, newEndpoint("agent "+address, address, p.transport), "/v1/manifests/"+string(digest), weights.MaximumManifestBytes)
}

// Chunk opens a chunk held by the agent at an address.
func (p *HTTPPeerStore) Chunk(ctx context.Context, address string, digest weights.Digest) (io.ReadCloser, error) {
	return openBlob(ctx, newEndpoint("agent "+address, address, p.transport), "/v1/chunks/"+string(digest))
}

// Get reads a small answer from a path of the agent at an address.
func (p *HTTPPeerStore) Get(ctx context.Context, address, path string) ([]byte, error) {
	return readBlob(ctx, newEndpoint("agent "+address, address, p.transport), path, maxLineBytes)
}

// Post sends a small body to a path of the agent at an address and returns the body of the answer.
func (p *HTTPPeerStore) Post(ctx context.Context, address, path string, body []byte) ([]byte, error) {
	e := newEndpoint("agent "+address, address, p.transport)
	response, err := e.do(ctx, http.MethodPost, path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		return nil, e.statusError("POST "+path, response)
	}
	defer drain(response)
	data, err := readBounded(response.Body, maxLineBytes)
	if err != nil {
		return nil, &fault.Unavailable{Target: e.name, Operation: "POST " + path, Cause: err}
	}
	return data, nil
}

// HTTPStore is the client of a machine's weight store.
type HTTPStore struct{ endpoint endpoint }

// NewHTTPStore returns the client of the store at an address.
func NewHTTPStore(address string) *HTTPStore {
	return &HTTPStore{endpoint: newEndpoint("weight store", address, NewTransport(8))}
}

// List implements Store.
func (s *HTTPStore) List(ctx context.Context) ([]weights.Digest, error) {
	var digests []weights.Digest
	err := s.endpoint.getJSON(ctx, "/v1/chunks", &digests)
	return digests, err
}

// Put implements Store.
func (s *HTTPStore) Put(ctx context.Context, chunk weights.Chunk, content io.Reader) error {
	upload := network.NewUpload()
	response, err := s.endpoint.do(upload.Trace(ctx), http.MethodPut, "/v1/chunks/"+string(chunk.Digest), content)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusNoContent {
		return s.endpoint.statusError("PUT chunk", response)
	}
	drain(response)
	if err := upload.Await(ctx); err != nil {
		return &fault.Unavailable{Target: s.endpoint.name, Operation: "PUT chunk", Cause: err}
	}
	return nil
}

// Open implements Store.
func (s *HTTPStore) Open(ctx context.Context, digest weights.Digest) (io.ReadCloser, error) {
	return openBlob(ctx, s.endpoint, "/v1/chunks/"+string(digest))
}

// Delete implements Store.
func (s *HTTPStore) Delete(ctx context.Context, digests []weights.Digest) error {
	for _, digest := range digests {
		response, err := s.endpoint.do(ctx, http.MethodDelete, "/v1/chunks/"+string(digest), nil)
		if err != nil {
			return err
		}
		drain(response)
		// A chunk that is not there needs no delete.
		if response.StatusCode/100 != 2 && response.StatusCode != http.StatusNotFound {
			return &fault.Unavailable{Target: s.endpoint.name, Operation: "DELETE chunk", Status: response.StatusCode}
		}
	}
	return nil
}

// HTTPEngine is the client of a model engine.
type HTTPEngine struct{ endpoint endpoint }

// NewHTTPEngine returns the client of the engine at an address.
func NewHTTPEngine(address string) *HTTPEngine {
	return &HTTPEngine{endpoint: newEndpoint("engine", address, NewTransport(64))}
}

// Status implements Engine.
func (e *HTTPEngine) Status(ctx context.Context) (EngineStatus, error) {
	var status EngineStatus
	err := e.endpoint.getJSON(ctx, "/v1/status", &status)
	return status, err
}

// Execute implements Engine.
func (e *HTTPEngine) Execute(ctx context.Context, order Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return &fault.OrderRejected{Action: string(order.Action), Reason: err.Error()}
	}
	response, err := e.endpoint.do(ctx, http.MethodPost, "/v1/orders", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer drain(response)
	if response.StatusCode == http.StatusOK {
		return nil
	}
	reason, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	if response.StatusCode == http.StatusConflict || response.StatusCode == http.StatusUnprocessableEntity {
		return &fault.OrderRejected{Action: string(order.Action), Reason: string(bytes.TrimSpace(reason))}
	}
	return &fault.Unavailable{Target: e.endpoint.name, Operation: "order", Status: response.StatusCode}
}

// Generate implements Engine.
func (e *HTTPEngine) Generate(ctx context.Context, generation GenerationRequest, emit func(GenerationEvent) error) error {
	body, err := json.Marshal(generation)
	if err != nil {
		return &fault.Unavailable{Target: e.endpoint.name, Operation: "generate", Cause: err}
	}
	response, err := e.endpoint.do(ctx, http.MethodPost, "/v1/generate", bytes.NewReader(body))
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return e.endpoint.statusError("generate", response)
	}
	defer func() { _ = response.Body.Close() }()
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(make([]byte, 0, 4<<10), maxLineBytes)
	for lines.Scan() {
		var event GenerationEvent
		if err := json.Unmarshal(lines.Bytes(), &event); err != nil {
			return &fault.Unavailable{Target: e.endpoint.name, Operation: "generate", Cause: err}
		}
		if err := emit(event); err != nil {
			return err
		}
		if event.Finish != "" {
			return nil
		}
	}
	cause := lines.Err()
	if cause == nil {
		cause = io.ErrUnexpectedEOF
	}
	return &fault.Unavailable{Target: e.endpoint.name, Operation: "generate", Cause: cause}
}

// Headers of requests from an agent to a plain service.
const (
	HeaderRequestID = "X-Request-Id"
)

// HTTPService is the client of a plain service.
type HTTPService struct {
	repeatable endpoint
	oneShot    endpoint
}

// NewHTTPService returns the client of the service at an address.
func NewHTTPService(address string) *HTTPService {
	return &HTTPService{
		repeatable: newEndpoint("service", address, NewTransport(32)),
		oneShot:    newEndpoint("service", address, NewOneShotTransport()),
	}
}

// Call implements Service. It sends a call that is not repeatable at most once.
func (s *HTTPService) Call(ctx context.Context, call ServiceCall) (ServiceAnswer, error) {
	e := s.oneShot
	if call.Repeatable {
		e = s.repeatable
	}
	request, err := http.NewRequestWithContext(ctx, call.Method, e.base+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return ServiceAnswer{}, &fault.Unavailable{Target: e.name, Operation: call.Method + " " + call.Path, Cause: err}
	}
	request.GetBody = nil
	request.Header.Set(HeaderRequestID, call.ID)
	if call.ContentType != "" {
		request.Header.Set("Content-Type", call.ContentType)
	}
	response, err := e.client.Do(request)
	if err != nil {
		return ServiceAnswer{}, &fault.Unavailable{Target: e.name, Operation: call.Method + " " + call.Path, Cause: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := readBounded(response.Body, maxServiceAnswerBytes)
	if err == nil && !endIsMarked(response) {
		err = errUnmarkedEnd
	}
	if err != nil {
		return ServiceAnswer{}, &fault.Unavailable{Target: e.name, Operation: "read answer", Cause: err}
	}
	return ServiceAnswer{Status: response.StatusCode, ContentType: response.Header.Get("Content-Type"), Body: body}, nil
}

// errUnmarkedEnd means that an answer has neither a length nor chunks, so that the crash of its service would end it as
// its regular end does.
var errUnmarkedEnd = errors.New("the answer has neither a length nor chunks and may have been cut")

// endIsMarked reports whether the end of an answer can be told from that of its connection.
func endIsMarked(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0 || response.Uncompressed || response.Body == http.NoBody
}

// maxServiceAnswerBytes bounds the size of a plain service's answer.
const maxServiceAnswerBytes = 8 << 20
