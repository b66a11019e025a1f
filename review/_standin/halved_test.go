package standin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"pinevane.example/pinevane/internal/emulator/site"
)

// Parameters of the case halvedAnswers.
const (
	// entryFrozen is how long the entry's machine is frozen; the users' days have 3.5 s and more.
	entryFrozen = 3 * time.Second
	// serverDown is how long the crashed server is down.
	serverDown = 1500 * time.Millisecond
	// bodyBytes is the length of each answer, half of which is sent at first.
	bodyBytes      = 800
	halvedRequests = 6
	crasherHost    = 240
)

// crasher is the only plain server. Its answers have neither a length nor chunks and end with their connection.
type crasher struct {
	run     *caseRun
	running *site.Site
	address string

	mutex       sync.Mutex
	life        int
	listener    net.Listener
	connections map[net.Conn]bool
	// held is how many answers have been sent half; they go on when goOn is closed.
	held int
	goOn chan struct{}
}

func (s *crasher) id() string { return fmt.Sprintf("p-life-%d", s.life) }

// start begins a life of the server, under a new id.
func (s *crasher) start() {
	listener, err := net.Listen("tcp", s.address)
	must(err)
	s.mutex.Lock()
	s.life++
	id := s.id()
	s.listener, s.connections = listener, map[net.Conn]bool{}
	s.mutex.Unlock()
	go s.beat(id)
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			s.mutex.Lock()
			s.connections[connection] = true
			s.mutex.Unlock()
			go s.serve(connection, id)
		}
	}()
}

// beat writes the server's record while it lives.
func (s *crasher) beat(id string) {
	for sequence := 1; ; sequence++ {
		s.mutex.Lock()
		alive := s.id() == id && s.listener != nil
		s.mutex.Unlock()
		if !alive {
			break
		}
		s.running.Store.Put("servers/"+id, map[string]any{
			"service": site.PlainService, "address": s.address, "zone": site.ZoneName(0), "version": "v1", "slots": 16, "state": "ready",
			"coldRemainingMs": 0, "sequence": sequence,
		})
		time.Sleep(heartbeat)
	}
	// The record of a server that has crashed goes after three heartbeats.
	time.Sleep(2 * heartbeat)
	s.running.Store.Delete("servers/" + id)
}

// crash ends the process of the server: the kernel closes its connections.
func (s *crasher) crash() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	_ = s.listener.Close()
	s.listener = nil
	for connection := range s.connections {
		_ = connection.Close()
	}
}

func (s *crasher) serve(connection net.Conn, id string) {
	defer func() { _ = connection.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(connection))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	requestID := request.Header.Get("Request-Id")
	if request.Header.Get("Expect-Instance") != id {
		_, _ = fmt.Fprintf(connection, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", requestID)
		return
	}
	s.mutex.Lock()
	s.held++
	s.mutex.Unlock()
	s.run.note("server %s runs %s and sends the first %d of %d bytes of its answer", id, requestID, bodyBytes/2, bodyBytes)
	_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: seal-%s\r\nContent-Type: text/plain\r\n\r\n%s", requestID, requestID, strings.Repeat("a", bodyBytes/2))
	<-s.goOn
	_, _ = io.WriteString(connection, strings.Repeat("b", bodyBytes/2))
}

// halvedAnswers has a server crash in the middle of answers that have neither a length nor chunks, while the
// machine of the entry is frozen, and come back before it wakes. The rule MIXED is broken if a client gets a
// success whose body is not the server's whole body and looks complete.
func halvedAnswers(c *caseRun) bool {
	options := smallSite(1, 1, 1)
	options.PlainServers = 0
	running, err := site.Start(options)
	must(err)
	defer running.Close()
	server := &crasher{run: c, running: running, address: fmt.Sprintf("127.%d.1.%d:8001", options.Network, crasherHost), goOn: make(chan struct{})}
	server.start()
	pids := c.startProcesses(running, machinesOf(options))
	if !eventually(20*time.Second, func() bool { return ready(running, 0) }) {
		giveUp("the entry is not ready")
	}
	time.Sleep(4 * time.Second)
	var work sync.WaitGroup
	var mutex sync.Mutex
	broken := 0
	for number := range halvedRequests {
		work.Go(func() {
			if c.callHalved(running, number) {
				mutex.Lock()
				broken++
				mutex.Unlock()
			}
		})
	}
	if !eventually(3*time.Second, func() bool { server.mutex.Lock(); defer server.mutex.Unlock(); return server.held == halvedRequests }) {
		giveUp("not all requests came to the server")
	}
	time.Sleep(100 * time.Millisecond)
	if c.trouble {
		entry := pids[machine{role: site.RoleEntry}.name()]
		if !c.crashOnly {
			c.note("the machine of the entry freezes")
			c.signal(entry, syscall.SIGSTOP)
			time.AfterFunc(entryFrozen, func() {
				c.note("the machine of the entry wakes")
				_ = syscall.Kill(entry, syscall.SIGCONT)
			})
			time.Sleep(300 * time.Millisecond)
		}
		c.note("server %s crashes", server.id())
		server.crash()
		time.Sleep(serverDown)
		server.start()
		c.note("the server is back as %s", server.id())
	} else {
		close(server.goOn)
	}
	work.Wait()
	c.note("successes with half a body that look complete: %d of %d", broken, halvedRequests)
	return broken > 0
}

// callHalved sends a request and reports whether its answer is a complete-looking success that is too short.
func (c *caseRun) callHalved(running *site.Site, number int) bool {
	method, path := http.MethodGet, site.SafePrefix+"card"
	if number%2 == 1 {
		method, path = http.MethodPost, site.OncePrefix+"save"
	}
	id := "halved-" + strconv.Itoa(number)
	request, err := running.NewRequest(0, 0, method, path, id, "words", 0)
	must(err)
	response, err := (&http.Client{Transport: &http.Transport{DisableCompression: true}}).Do(request)
	if err != nil {
		c.note("client: %s %s as %s, no answer: %v", method, path, id, err)
		return false
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	c.note("client: %s %s as %s, answered %d, Response-Seal %q, %d bytes, complete: %v", method, path, id, response.StatusCode, response.Header.Get("Response-Seal"), len(body), err == nil)
	return response.StatusCode == http.StatusOK && err == nil && len(body) != bodyBytes
}
