package peering

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/logging"
	"pinevane.example/pinevane/internal/network"
)

// Path is the HTTP path at which a process accepts links.
const Path = "/v1/peer"

// HandshakeTimeout bounds dialling and the exchange of Hello messages.
const HandshakeTimeout = 3 * time.Second

// replacedTime is how long a link that another one replaces is still read from: what is under
// way on it arrives, and its users learn whether it was silent or only slow.
const replacedTime = time.Second

// MaximumAcceptedLinks bounds the links that a process accepts at once.
const MaximumAcceptedLinks = 4096

// Hub owns the links of one process.
type Hub struct {
	self     Hello
	log      *logging.Logger
	client   *http.Client
	handlers map[string]Handler
	onLost   []func(*Link)
	onOpen   []func(*Link)
	counters *Counters

	mutex    sync.Mutex
	accepted map[*Link]struct{}
	dialled  map[string]*dialling
	// replaced are the links that others have replaced and that are not closed yet.
	replaced map[*Link]struct{}
	closed   bool
}

// dialling is one outbound link, being made or up.
type dialling struct {
	ready chan struct{}
	link  *Link
	err   error
}

// NewHub returns a hub that introduces itself with self.
func NewHub(self Hello, log *logging.Logger, counters *Counters) *Hub {
	return &Hub{
		self:     self,
		log:      log,
		client:   &http.Client{Transport: &http.Transport{DialContext: network.HedgedDialer(HandshakeTimeout), ReadBufferSize: 2048, WriteBufferSize: 2048}},
		handlers: map[string]Handler{},
		counters: counters,
		accepted: map[*Link]struct{}{},
		dialled:  map[string]*dialling{},
		replaced: map[*Link]struct{}{},
	}
}

// Handle registers the handler of a topic. It must be called before the hub
// accepts or dials links.
func (h *Hub) Handle(topic string, handler Handler) { h.handlers[topic] = handler }

// OnOpen registers a function called when a link is up, in either direction.
func (h *Hub) OnOpen(function func(*Link)) { h.onOpen = append(h.onOpen, function) }

// OnLost registers a function called after a link is lost.
func (h *Hub) OnLost(function func(*Link)) { h.onLost = append(h.onLost, function) }

// ServeHTTP accepts one link and serves it until it is lost.
func (h *Hub) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if h.acceptedCount() >= MaximumAcceptedLinks {
		http.Error(writer, "too many links", http.StatusServiceUnavailable)
		return
	}
	connection, err := websocket.Accept(writer, request, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		return
	}
	// The request's context ends when the handler returns, which is when the
	// link is lost; a hijacked connection is not bound to it otherwise.
	link := h.newLink(context.WithoutCancel(request.Context()), connection, "")
	remote, err := h.handshake(link)
	if err != nil {
		link.lose(err)
		return
	}
	link.remote = remote
	if !h.accept(link) {
		link.lose(errClosed)
		return
	}
	h.serve(link)
	h.mutex.Lock()
	delete(h.accepted, link)
	h.mutex.Unlock()
}

var errClosed = errors.New("the hub is closed")

// accept notes a link that another process opened, unless the hub is closed: such a
// link would outlive it, and the other would take this process for alive. A process makes a
// second one when it hears nothing over the first, which the new one then replaces.
func (h *Hub) accept(link *Link) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.closed {
		return false
	}
	for other := range h.accepted {
		if other.remote.ID == link.remote.ID && other.remote.Role == link.remote.Role {
			delete(h.accepted, other)
			h.replace(other)
		}
	}
	h.accepted[link] = struct{}{}
	return true
}

var errReplaced = errors.New("replaced by another link to the same process")

// replace has a link that another one replaces closed in a while; the mutex is held.
func (h *Hub) replace(link *Link) {
	h.replaced[link] = struct{}{}
	time.AfterFunc(replacedTime, func() {
		link.lose(errReplaced)
		h.mutex.Lock()
		defer h.mutex.Unlock()
		delete(h.replaced, link)
	})
}

func (h *Hub) acceptedCount() int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return len(h.accepted)
}

// Accepted returns the links that other processes opened.
func (h *Hub) Accepted() []*Link {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	links := make([]*Link, 0, len(h.accepted))
	for link := range h.accepted {
		links = append(links, link)
	}
	return links
}

// Link returns the outbound link to an address, dialling when there is none.
func (h *Hub) Link(ctx context.Context, address string) (*Link, error) {
	h.mutex.Lock()
	if h.closed {
		h.mutex.Unlock()
		return nil, &fault.Unavailable{Target: address, Operation: "dial", Cause: context.Canceled}
	}
	attempt, exists := h.dialled[address]
	if !exists {
		attempt = &dialling{ready: make(chan struct{})}
		h.dialled[address] = attempt
		go h.dial(address, attempt)
	}
	h.mutex.Unlock()
	select {
	case <-attempt.ready:
		return attempt.link, attempt.err
	case <-ctx.Done():
		return nil, &fault.Unavailable{Target: address, Operation: "dial", Cause: ctx.Err()}
	}
}

// Established returns the outbound link to an address if it is up now.
func (h *Hub) Established(address string) (*Link, bool) {
	h.mutex.Lock()
	attempt, exists := h.dialled[address]
	h.mutex.Unlock()
	if !exists {
		return nil, false
	}
	select {
	case <-attempt.ready:
		return attempt.link, attempt.link != nil
	default:
		return nil, false
	}
}

// ErrLinkAlive says that a link was not renewed because something has come over it meanwhile.
var ErrLinkAlive = errors.New("the link has been heard again")

// mostGrace bounds the time that a link is given to be heard before another one replaces it.
const mostGrace = 200 * time.Millisecond

// Renew makes a second outbound link to where a silent one leads, which replaces that one once it
// is up. The silent one is closed a while later. If it is heard before the second one is up, this
// one is given up with ErrHeard: the other process, or this one, only stood still. The links to an
// address keep the shortest time in which one of them was answered.
func (h *Hub) Renew(ctx context.Context, silent *Link) (*Link, error) {
	address := silent.address
	link, err := h.connect(ctx, address, func(began time.Time) error { return awaitSign(ctx, silent, began) })
	if err != nil {
		return nil, err
	}
	link.answered = min(link.answered, silent.answered)
	attempt := &dialling{ready: make(chan struct{}), link: link}
	close(attempt.ready)
	h.mutex.Lock()
	if h.closed {
		h.mutex.Unlock()
		link.lose(errClosed)
		return nil, &fault.Unavailable{Target: address, Operation: "dial", Cause: errClosed}
	}
	if former, exists := h.dialled[address]; exists && former.up() {
		h.replace(former.link)
	}
	h.dialled[address] = attempt
	h.mutex.Unlock()
	go h.serveDialled(address, attempt)
	return link, nil
}

// awaitSign waits for a sign of a silent link after a new connection in its place, begun at a time,
// was answered: by as much as that took longer than it had for the silent one, since a process that
// was slow to answer it, or this one to read the answer, may have been as slow with the link. A way
// that is long, not slow, delays no renewal. Links of processes that get their time in pieces of some
// milliseconds last by it.
func awaitSign(ctx context.Context, silent *Link, began time.Time) error {
	deadline := time.Now().Add(min(time.Since(began)-silent.answered, mostGrace))
	for !silent.LastReceived().After(began) {
		left := time.Until(deadline)
		if left <= 0 || ctx.Err() != nil {
			return ctx.Err()
		}
		time.Sleep(min(left, signPeriod))
	}
	return ErrLinkAlive
}

// signPeriod is how often a silent link is looked at for a sign.
const signPeriod = 5 * time.Millisecond

// up reports whether the link has been made.
func (d *dialling) up() bool {
	select {
	case <-d.ready:
		return d.link != nil
	default:
		return false
	}
}

func (h *Hub) dial(address string, attempt *dialling) {
	attempt.link, attempt.err = h.connect(context.Background(), address, nil)
	close(attempt.ready)
	h.serveDialled(address, attempt)
}

// serveDialled serves a link that this process has made, if it was made, and forgets it.
func (h *Hub) serveDialled(address string, attempt *dialling) {
	if attempt.link != nil {
		h.serve(attempt.link)
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.dialled[address] == attempt {
		delete(h.dialled, address)
	}
}

// connect makes a link. It is not introduced to the other process, and so is none, if there is a
// function that returns an error once the connection is up; that is told when its making began.
func (h *Hub) connect(ctx context.Context, address string, before func(began time.Time) error) (*Link, error) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, HandshakeTimeout)
	defer cancel()
	options := &websocket.DialOptions{HTTPClient: h.client, CompressionMode: websocket.CompressionDisabled}
	connection, _, err := websocket.Dial(ctx, "ws://"+address+Path, options)
	if err != nil {
		return nil, &fault.Unavailable{Target: address, Operation: "dial", Cause: err}
	}
	answered := time.Since(began)
	if before != nil {
		if err := before(began); err != nil {
			_ = connection.CloseNow()
			return nil, &fault.Unavailable{Target: address, Operation: "renew", Cause: err}
		}
	}
	link := h.newLink(context.Background(), connection, address)
	link.answered = answered
	stop := context.AfterFunc(ctx, link.cancel)
	remote, err := h.handshake(link)
	if err != nil || !stop() {
		link.lose(err)
		return nil, &fault.Unavailable{Target: address, Operation: "handshake", Cause: cmp.Or(err, ctx.Err())}
	}
	link.remote = remote
	return link, nil
}

func (h *Hub) newLink(parent context.Context, connection *websocket.Conn, address string) *Link {
	connection.SetReadLimit(MaximumFrameBytes)
	ctx, cancel := context.WithCancel(parent)
	link := &Link{connection: connection, hub: h, address: address, ctx: ctx, cancel: cancel}
	link.subscriptions = map[string][]chan *message.Message{}
	link.lastHeard.Store(time.Now().UnixNano())
	return link
}

func (h *Hub) handshake(link *Link) (Hello, error) {
	payload, err := cbor.Marshal(h.self)
	if err != nil {
		return Hello{}, &fault.InvalidFrame{Field: helloTopic, Reason: err.Error()}
	}
	if err := link.send(frame{Topic: helloTopic, Payload: payload}); err != nil {
		return Hello{}, err
	}
	ctx, cancel := context.WithTimeout(link.ctx, HandshakeTimeout)
	defer cancel()
	_, data, err := link.connection.Read(ctx)
	if err != nil {
		return Hello{}, &fault.Unavailable{Target: link.address, Operation: "handshake", Cause: err}
	}
	var incoming frame
	if err := cbor.Unmarshal(data, &incoming); err != nil || incoming.Topic != helloTopic {
		return Hello{}, &fault.InvalidFrame{Field: "topic", Reason: "first message is not a hello"}
	}
	var remote Hello
	if err := cbor.Unmarshal(incoming.Payload, &remote); err != nil {
		return Hello{}, &fault.InvalidFrame{Field: helloTopic, Reason: err.Error()}
	}
	return remote, nil
}

func (h *Hub) serve(link *Link) {
	h.log.Log(logging.PeerConnected, zap.String("peer", link.remote.ID))
	for _, opened := range h.onOpen {
		opened(link)
	}
	link.read()
	h.log.Log(logging.PeerLost, zap.String("peer", link.remote.ID), zap.Error(link.CloseCause()))
	for _, lost := range h.onLost {
		lost(link)
	}
}

func (h *Hub) rejected(link *Link, reason string) {
	h.log.Log(logging.FrameRejected, zap.String("peer", link.remote.ID), zap.String("reason", reason))
}

// Close ends every link and refuses new ones.
func (h *Hub) Close() {
	h.mutex.Lock()
	h.closed = true
	var links []*Link
	for link := range h.accepted {
		links = append(links, link)
	}
	for link := range h.replaced {
		links = append(links, link)
	}
	for _, attempt := range h.dialled {
		if attempt.up() {
			links = append(links, attempt.link)
		}
	}
	h.mutex.Unlock()
	for _, link := range links {
		_ = link.Close()
	}
	h.client.CloseIdleConnections()
}
