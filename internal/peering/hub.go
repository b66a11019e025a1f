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

// HandshakeTimeout bounds dialling, and the exchange of Hello messages.
const HandshakeTimeout = 3 * time.Second

// replacedLinkTTL is how long a replaced link is still read: messages in flight arrive, and its
// users can see whether it was silent or only slow.
const replacedLinkTTL = time.Second

// MaximumAcceptedLinks bounds the accepted links that a process has open at once.
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
	outbound map[string]*outboundLink
	// replaced holds the replaced links that are not closed yet.
	replaced map[*Link]struct{}
	closed   bool
}

// outboundLink is a link that this process dials or has dialled.
type outboundLink struct {
	ready chan struct{}
	link  *Link
	err   error
}

// NewHub returns a hub that sends self in its handshakes.
func NewHub(self Hello, log *logging.Logger, counters *Counters) *Hub {
	transport := &http.Transport{
		DialContext: network.HedgedDialer(HandshakeTimeout), ReadBufferSize: 2048, WriteBufferSize: 2048, MaxResponseHeaderBytes: network.MaxHeadBytes,
	}
	return &Hub{
		self:     self,
		log:      log,
		client:   &http.Client{Transport: network.CheckHeads(transport)},
		handlers: map[string]Handler{},
		counters: counters,
		accepted: map[*Link]struct{}{},
		outbound: map[string]*outboundLink{},
		replaced: map[*Link]struct{}{},
	}
}

// Handle registers the handler of a topic. It must be called before the hub
// accepts or dials links.
func (h *Hub) Handle(topic string, handler Handler) { h.handlers[topic] = handler }

// OnOpen registers a function that is called when a link is up, in either direction.
func (h *Hub) OnOpen(function func(*Link)) { h.onOpen = append(h.onOpen, function) }

// OnLost registers a function that is called after a link is lost.
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
	// The request's context ends when this handler returns, which is when the link is lost. A
	// hijacked connection does not otherwise depend on it.
	link := h.newLink(context.WithoutCancel(request.Context()), connection, "")
	remote, err := h.handshake(link)
	if err != nil {
		link.terminate(err)
		return
	}
	link.remote = remote
	if !h.register(link) {
		link.terminate(errClosed)
		return
	}
	h.serve(link)
	h.mutex.Lock()
	delete(h.accepted, link)
	h.mutex.Unlock()
}

var errClosed = errors.New("the hub is closed")

// register adds a link that another process opened, unless the hub is closed: such a link would
// outlive the hub, and the other process would consider this one alive. A process opens a second
// link when it receives nothing over the first, which the new one then replaces.
func (h *Hub) register(link *Link) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.closed {
		return false
	}
	for other := range h.accepted {
		if other.remote.ID == link.remote.ID && other.remote.Role == link.remote.Role {
			delete(h.accepted, other)
			h.closeReplaced(other)
		}
	}
	h.accepted[link] = struct{}{}
	return true
}

var errReplaced = errors.New("replaced by another link to the same process")

// closeReplaced closes a replaced link after replacedLinkTTL. The mutex must be held.
func (h *Hub) closeReplaced(link *Link) {
	h.replaced[link] = struct{}{}
	time.AfterFunc(replacedLinkTTL, func() {
		link.terminate(errReplaced)
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

// Link returns the outbound link to an address and dials it if there is none.
func (h *Hub) Link(ctx context.Context, address string) (*Link, error) {
	h.mutex.Lock()
	if h.closed {
		h.mutex.Unlock()
		return nil, &fault.Unavailable{Target: address, Operation: "dial", Cause: context.Canceled}
	}
	outbound, exists := h.outbound[address]
	if !exists {
		outbound = &outboundLink{ready: make(chan struct{})}
		h.outbound[address] = outbound
		go h.dial(address, outbound)
	}
	h.mutex.Unlock()
	select {
	case <-outbound.ready:
		return outbound.link, outbound.err
	case <-ctx.Done():
		return nil, &fault.Unavailable{Target: address, Operation: "dial", Cause: ctx.Err()}
	}
}

// Established returns the outbound link to an address if there is one already.
func (h *Hub) Established(address string) (*Link, bool) {
	h.mutex.Lock()
	outbound, exists := h.outbound[address]
	h.mutex.Unlock()
	if !exists {
		return nil, false
	}
	select {
	case <-outbound.ready:
		return outbound.link, outbound.link != nil
	default:
		return nil, false
	}
}

// ErrLinkAlive is returned when a link is not renewed because it has received something meanwhile.
var ErrLinkAlive = errors.New("the link has received data again")

// maxGrace bounds the additional time that a link gets to receive something before it is replaced.
const maxGrace = 200 * time.Millisecond

// Renew makes a second outbound link to the address of a silent one and replaces that one once the
// new link is up. The silent link is closed after replacedLinkTTL. If it receives something before
// the new one is up, the new one is abandoned and ErrLinkAlive returned: the other process, or this
// one, was only paused. The links to an address keep the shortest connect time of all of them.
func (h *Hub) Renew(ctx context.Context, silent *Link) (*Link, error) {
	address := silent.address
	link, err := h.connect(ctx, address, func(connectBegan time.Time) error { return awaitActivity(ctx, silent, connectBegan) })
	if err != nil {
		return nil, err
	}
	link.connectTime = min(link.connectTime, silent.connectTime)
	outbound := &outboundLink{ready: make(chan struct{}), link: link}
	close(outbound.ready)
	h.mutex.Lock()
	if h.closed {
		h.mutex.Unlock()
		link.terminate(errClosed)
		return nil, &fault.Unavailable{Target: address, Operation: "dial", Cause: errClosed}
	}
	if former, exists := h.outbound[address]; exists && former.up() {
		h.closeReplaced(former.link)
	}
	h.outbound[address] = outbound
	h.mutex.Unlock()
	go h.serveOutbound(address, outbound)
	return link, nil
}

// awaitActivity gives a silent link more time to receive something, after the new connection that
// is to replace it was accepted. The extra time is the difference between the connect times of the
// new connection and of the silent link: if the other process was slow to accept the connection, or
// this one to read the response, it may have been as slow with the link. A long round trip alone
// delays no renewal. Without this, links of processes that get their CPU time in slices of some
// milliseconds were replaced.
func awaitActivity(ctx context.Context, silent *Link, connectBegan time.Time) error {
	deadline := time.Now().Add(min(time.Since(connectBegan)-silent.connectTime, maxGrace))
	for !silent.LastReceived().After(connectBegan) {
		remaining := time.Until(deadline)
		if remaining <= 0 || ctx.Err() != nil {
			return ctx.Err()
		}
		time.Sleep(min(remaining, activityPollInterval))
	}
	return ErrLinkAlive
}

// activityPollInterval is how often awaitActivity checks a silent link.
const activityPollInterval = 5 * time.Millisecond

// up reports whether the link has been made.
func (d *outboundLink) up() bool {
	select {
	case <-d.ready:
		return d.link != nil
	default:
		return false
	}
}

func (h *Hub) dial(address string, outbound *outboundLink) {
	outbound.link, outbound.err = h.connect(context.Background(), address, nil)
	close(outbound.ready)
	h.serveOutbound(address, outbound)
}

// serveOutbound serves an outbound link if dialling succeeded, and then removes it from the hub.
func (h *Hub) serveOutbound(address string, outbound *outboundLink) {
	if outbound.link != nil {
		h.serve(outbound.link)
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.outbound[address] == outbound {
		delete(h.outbound, address)
	}
}

// connect makes a link. If beforeHandshake is set it is called once the connection is up, with the
// time at which dialling began; if it returns an error the connection is closed without a handshake,
// so that the other process gets no link.
func (h *Hub) connect(ctx context.Context, address string, beforeHandshake func(connectBegan time.Time) error) (*Link, error) {
	connectBegan := time.Now()
	ctx, cancel := context.WithTimeout(ctx, HandshakeTimeout)
	defer cancel()
	options := &websocket.DialOptions{HTTPClient: h.client, CompressionMode: websocket.CompressionDisabled}
	connection, _, err := websocket.Dial(ctx, "ws://"+address+Path, options)
	if err != nil {
		return nil, &fault.Unavailable{Target: address, Operation: "dial", Cause: err}
	}
	connectTime := time.Since(connectBegan)
	if beforeHandshake != nil {
		if err := beforeHandshake(connectBegan); err != nil {
			_ = connection.CloseNow()
			return nil, &fault.Unavailable{Target: address, Operation: "renew", Cause: err}
		}
	}
	link := h.newLink(context.Background(), connection, address)
	link.connectTime = connectTime
	stop := context.AfterFunc(ctx, link.cancel)
	remote, err := h.handshake(link)
	if err != nil || !stop() {
		link.terminate(err)
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
	link.lastReceived.Store(time.Now().UnixNano())
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
	link.readLoop()
	h.log.Log(logging.PeerLost, zap.String("peer", link.remote.ID), zap.Error(link.CloseCause()))
	for _, lost := range h.onLost {
		lost(link)
	}
}

func (h *Hub) logRejected(link *Link, reason string) {
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
	for _, outbound := range h.outbound {
		if outbound.up() {
			links = append(links, outbound.link)
		}
	}
	h.mutex.Unlock()
	for _, link := range links {
		_ = link.Close()
	}
	h.client.CloseIdleConnections()
}
