package standin

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"pinevane.example/pinevane/internal/emulator/site"
)

// Parameters of the case endlessHead.
const (
	// memoryLimit is the memory of an entry process, see entryMemoryMb.
	memoryLimit = entryMemoryMb << 20
	// linkRate is at most what the faulty server sends, in bytes per second, on all connections together: half
	// of the link of an edge machine.
	linkRate = 62_500_000
	// spoiltEvery is one over the ratio of its answers that the faulty server spoils.
	spoiltEvery = 20
	// maxLost is how often a sound server's request may end without an answer.
	maxLost        = 3
	clientsByEntry = 16
	// spoilTime is how long answers are spoilt, as long as on the users' days; that happens spells times, with
	// pauses between, as any disruption may happen more than once.
	spoilTime    = 8 * time.Second
	spells       = 3
	spellPause   = keptDeadline
	faultyHost   = 250
	keptDeadline = 4 * time.Second
)

// faultyServer is a plain server that spoils some of its answers: it sends bytes that are no answer, until its
// connection ends.
type faultyServer struct {
	run     *caseRun
	id      string
	spoils  atomic.Bool
	count   atomic.Int64
	spoilt  atomic.Int64
	started time.Time

	mutex sync.Mutex
	// sent is how many bytes the connections have been granted since started.
	sent int64
}

// grant waits until so many more bytes are within linkRate.
func (s *faultyServer) grant(bytes int) {
	s.mutex.Lock()
	elapsed := time.Since(s.started).Seconds()
	s.sent = max(s.sent, int64((elapsed-0.1)*linkRate)) + int64(bytes)
	wait := time.Duration((float64(s.sent)/linkRate - elapsed) * float64(time.Second))
	s.mutex.Unlock()
	time.Sleep(wait)
}

func (s *faultyServer) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("Request-Id")
	body, _ := io.ReadAll(request.Body)
	if request.Header.Get("Expect-Instance") != s.id {
		writer.Header().Set("Not-Executed", "1")
		writer.Header().Set("Request-Id", id)
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if s.count.Add(1)%spoiltEvery == 0 && s.spoils.Load() {
		s.spoil(writer, id)
		return
	}
	time.Sleep(plainTime)
	writer.Header().Set("Request-Id", id)
	writer.Header().Set("Response-Seal", "seal-"+id)
	_, _ = fmt.Fprintf(writer, "%s %s %s", request.Method, request.RequestURI, body)
}

// spoil sends bytes without a line end where the answer is due.
func (s *faultyServer) spoil(writer http.ResponseWriter, id string) {
	connection, _, err := writer.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = connection.Close() }()
	s.spoilt.Add(1)
	began, sent := time.Now(), 0
	noise := []byte(strings.Repeat("~", 64<<10))
	for time.Since(began) < timeLimit {
		s.grant(len(noise))
		count, err := connection.Write(noise)
		sent += count
		if err != nil {
			break
		}
	}
	s.run.note("server %s: spoilt the answer to %s with %.0f MB in %.1f s", s.id, id, float64(sent)/1e6, time.Since(began).Seconds())
}

// plainTime is how long the plain servers take for an answer.
const plainTime = 100 * time.Millisecond

// memoryWatch kills processes that go over the memory limit, as the users' platform does.
type memoryWatch struct {
	run  *caseRun
	mu   sync.Mutex
	ends map[string]int
	peak map[string]int64
}

// watch checks the memory of a process and its successors until the case ends.
func (w *memoryWatch) watch(name string, ended <-chan struct{}) {
	killed := 0
	for {
		select {
		case <-ended:
			return
		case <-time.After(20 * time.Millisecond):
		}
		text, err := os.ReadFile(filepath.Join(w.run.folder, name+".pid"))
		if err != nil {
			continue
		}
		pid, err := strconv.Atoi(strings.TrimSpace(string(text)))
		if err != nil || pid == killed {
			continue
		}
		memory := residentMemory(pid)
		w.mu.Lock()
		w.peak[name] = max(w.peak[name], memory)
		w.mu.Unlock()
		if memory <= memoryLimit {
			continue
		}
		killed = pid
		_ = syscall.Kill(pid, syscall.SIGKILL)
		w.mu.Lock()
		w.ends[name]++
		w.mu.Unlock()
		w.run.note("platform: %s has %d MB of memory, its limit is %d MB, and is killed", name, memory>>20, memoryLimit>>20)
	}
}

// residentMemory returns the resident memory of a process, 0 if there is none.
func residentMemory(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize())
}

// keptClient sends one request after the other on one connection, which it keeps.
type keptClient struct {
	run     *caseRun
	running *site.Site
	zone    int
	name    string
	// unanswered are the requests on a kept connection that ended without a complete answer.
	unanswered []string
	answered   int
	statuses   map[int]int
}

func (k *keptClient) loop(ended <-chan struct{}) {
	address := strings.TrimPrefix(k.running.EntryURL(k.zone, 0), "http://")
	for number := 0; ; {
		select {
		case <-ended:
			return
		case <-time.After(50 * time.Millisecond):
		}
		connection, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			continue
		}
		reader := bufio.NewReader(connection)
		for carried := 0; ; carried++ {
			id := fmt.Sprintf("%s-%d", k.name, number)
			number++
			if err := k.call(connection, reader, id, number%2 == 0); err != nil {
				k.run.note("client: %s, request %d of its connection, no complete answer: %v", id, carried+1, err)
				// A client that has waited for longer than its deadline has closed the connection itself.
				if carried > 0 && !errors.Is(err, os.ErrDeadlineExceeded) {
					k.unanswered = append(k.unanswered, id)
				}
				break
			}
			select {
			case <-ended:
				_ = connection.Close()
				return
			case <-time.After(100 * time.Millisecond):
			}
		}
		_ = connection.Close()
	}
}

// call sends a request and reads its answer to the end.
func (k *keptClient) call(connection net.Conn, reader *bufio.Reader, id string, once bool) error {
	method, path := http.MethodGet, site.SafePrefix+"card"
	if once {
		method, path = http.MethodPost, site.OncePrefix+"save"
	}
	request, err := k.running.NewRequest(k.zone, 0, method, path, id, "words", 0)
	must(err)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(keptDeadline.Milliseconds(), 10))
	_ = connection.SetDeadline(time.Now().Add(keptDeadline + 2*time.Second))
	if err := request.Write(connection); err != nil {
		return err
	}
	response, err := http.ReadResponse(reader, request)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	if err == nil {
		k.answered++
		k.statuses[response.StatusCode]++
		k.run.note("client: %s %s as %s, answered %d", method, path, id, response.StatusCode)
	}
	return err
}

// endlessHead has one of three plain servers spoil one in twenty of its answers: it sends bytes that are no
// answer until its connection ends. LOST is broken if requests from kept connections that were handed on to
// sound servers end without an answer more than three times. A process that the platform kills for its memory
// has ended by itself, and counts as running.
func endlessHead(c *caseRun) bool {
	options := smallSite(2, 1, 1)
	options.PlainTime = plainTime
	running, err := site.Start(options)
	must(err)
	defer running.Close()
	faulty := &faultyServer{run: c, id: "p-faulty", started: time.Now()}
	c.startFaulty(running, options, faulty)
	c.startProcesses(running, machinesOf(options))
	if !eventually(20*time.Second, func() bool { return ready(running, 0) && ready(running, 1) }) {
		giveUp("the entries are not ready")
	}
	ended := make(chan struct{})
	var work sync.WaitGroup
	memory := &memoryWatch{run: c, ends: map[string]int{}, peak: map[string]int64{}}
	var clients []*keptClient
	for zone := range options.Zones {
		work.Go(func() { memory.watch(machine{role: site.RoleEntry, zone: zone}.name(), ended) })
		for number := range clientsByEntry {
			client := &keptClient{run: c, running: running, zone: zone, name: fmt.Sprintf("c%d-%d", zone, number), statuses: map[int]int{}}
			clients = append(clients, client)
			work.Go(func() { client.loop(ended) })
		}
	}
	// The machines are in touch once they have run for contactMs.
	time.Sleep(5 * time.Second)
	for range spells {
		faulty.spoils.Store(c.trouble)
		c.note("server %s now spoils one in %d of its answers: %v", faulty.id, spoiltEvery, c.trouble)
		time.Sleep(spoilTime)
		faulty.spoils.Store(false)
		c.note("server %s spoils no more answers", faulty.id)
		time.Sleep(spellPause)
	}
	close(ended)
	work.Wait()
	return c.judgeEndless(running, faulty, memory, clients)
}

// startFaulty starts the faulty server and lists it in the store.
func (c *caseRun) startFaulty(running *site.Site, options site.Options, faulty *faultyServer) {
	address := fmt.Sprintf("127.%d.1.%d:8001", options.Network, faultyHost)
	listener, err := net.Listen("tcp", address)
	must(err)
	go func() { _ = http.Serve(listener, faulty) }()
	go func() {
		for sequence := 1; ; sequence++ {
			running.Store.Put("servers/"+faulty.id, map[string]any{
				"service": site.PlainService, "address": address, "zone": site.ZoneName(0), "version": "v1", "slots": 16, "state": "ready",
				"coldRemainingMs": 0, "sequence": sequence,
			})
			time.Sleep(heartbeat)
		}
	}()
}

// judgeEndless applies the rules to what the clients, the servers and the platform saw.
func (c *caseRun) judgeEndless(running *site.Site, faulty *faultyServer, memory *memoryWatch, clients []*keptClient) bool {
	c.noteRuns(running)
	handed := map[string]string{}
	for _, arrival := range running.Requests.Arrivals() {
		handed[arrival.RequestID] = arrival.Server
	}
	answered, lost := 0, 0
	statuses := map[int]int{}
	for _, client := range clients {
		answered += client.answered
		for status, count := range client.statuses {
			statuses[status] += count
		}
		for _, id := range client.unanswered {
			if server := handed[id]; server != "" {
				lost++
				c.note("client: %s was handed on to the sound server %s, and its kept connection ended without an answer", id, server)
			}
		}
	}
	for name, ends := range memory.ends {
		c.note("platform: %s ended %d times for its memory", name, ends)
	}
	for name, peak := range memory.peak {
		c.note("platform: peak memory of %s: %d MB", name, peak>>20)
	}
	c.note("answers: %d, by status: %v; answers spoilt: %d; lost at sound servers: %d (at most %d are allowed)", answered, statuses, faulty.spoilt.Load(), lost, maxLost)
	if answered == 0 {
		giveUp("no request was answered")
	}
	return lost > maxLost
}
