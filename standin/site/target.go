package site

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// ReceivedRequest is a request that a target has received.
type ReceivedRequest struct {
	RequestLine string // request line as sent, without its line break
	Header      http.Header
	Body        []byte
	CallerLeft  bool // the caller closed the connection before the response was complete

	AnswerHeaders string // header lines that the answer has in addition, each ending in CRLF
}

// Handler writes the response to a request to its connection and reports whether the connection stays open.
type Handler func(conn net.Conn, request *ReceivedRequest) bool

// Target is a test double of a target. It works on the connection itself, without an HTTP server, so that tests can
// check request lines as sent and respond with malformed or partial messages.
type Target struct {
	id      string
	address string

	mu               sync.Mutex
	listener         net.Listener
	handler          Handler
	requests         []*ReceivedRequest
	loaded           map[string][]string // adapters in memory by model
	onDisk           map[string]bool     // models whose weights are on disk, as they were loaded at some time
	runNumber        int64               // rises by 1 at each restart
	priorOrders      int                 // orders received before the current run
	overruns         int
	orders           []Order
	unansweredOrders int // next orders that get no response
	conns            map[net.Conn]struct{}
	down             bool          // after a crash, until its next run
	frozen           bool          // gives no answer on its control paths
	leaving          bool          // says so in the answers to its control paths
	rest             time.Duration // that refusals of its control paths ask for; 0 if it refuses none
	controlCalls     []time.Time
}

// Order is an order to load or unload a model or an adapter that a target has received.
type Order struct {
	Op       string `json:"op"`
	Model    string `json:"model"`
	Adapter  string `json:"adapter"`
	Expected int64  `json:"expected"` // number of orders that the target must have accepted in this run
	Holder   string `json:"holder"`
	Fence    int64  `json:"fence"`
	Accepted bool   `json:"-"` // Expected was right, so the order was applied

	At              time.Time `json:"-"` // time of arrival
	Run             int64     `json:"-"` // run of the target that received it
	FromWeightStore bool      `json:"-"` // accepted load of a model that is not on disk, so it reads from the weight store
}

// NewTarget starts a target with the given id that listens on a free port and passes requests to handler.
func NewTarget(id string, handler Handler) *Target { return NewTargetAt("127.0.0.1:0", id, handler) }

// NewTargetAt is NewTarget with an address to listen on; it panics if the address is not available.
func NewTargetAt(address, id string, handler Handler) *Target {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		panic(err)
	}
	t := &Target{id: id, address: listener.Addr().String(), listener: listener, handler: handler, loaded: map[string][]string{}, onDisk: map[string]bool{}, runNumber: 1, conns: map[net.Conn]struct{}{}}
	go t.acceptConns(listener)
	return t
}

// Address returns the host and port that the target listens on.
func (t *Target) Address() string { return t.address }

// Close stops listening and closes all connections.
func (t *Target) Close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listener.Close()
	for conn := range t.conns {
		conn.Close()
	}
}

// SetHandler replaces the handler for requests from now on.
func (t *Target) SetHandler(handler Handler) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.handler = handler
}

// Load puts a model with adapters into the target's memory and the model's weights on its disk, without an order.
func (t *Target) Load(model string, adapters ...string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.loaded[model], t.onDisk[model] = adapters, true
}

// Overruns returns the number of accepted orders after which the target held more than maxModels models or maxAdapters
// adapters.
func (t *Target) Overruns() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.overruns
}

// A target's memory has room for maxModels models and maxAdapters adapters; a real target crashes beyond that.
const (
	maxModels   = 2
	maxAdapters = 2
)

// countOverrunLocked counts an overrun if more is loaded than the memory has room for; the caller holds mu.
func (t *Target) countOverrunLocked() {
	adapters := 0
	for _, names := range t.loaded {
		adapters += len(names)
	}
	if len(t.loaded) > maxModels || adapters > maxAdapters {
		t.overruns++
	}
}

// Restart closes all connections and begins a new run with an empty memory; the weights on disk stay.
func (t *Target) Restart() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for conn := range t.conns {
		conn.Close()
	}
	t.runNumber++
	t.priorOrders = len(t.orders)
	t.loaded = map[string][]string{}
}

// Crash closes the listener and all connections, and after the downtime begins a new run at the same address, with an empty
// memory. It then calls restarted unless that is nil. A target that is down already is not affected.
func (t *Target) Crash(downtime time.Duration, restarted func()) {
	t.mu.Lock()
	if t.down {
		t.mu.Unlock()
		return
	}
	t.down = true
	t.listener.Close()
	t.mu.Unlock()
	t.Restart()
	time.AfterFunc(downtime, func() {
		listener, err := net.Listen("tcp", t.Address())
		if err != nil {
			panic(err)
		}
		t.mu.Lock()
		t.listener, t.down = listener, false
		t.mu.Unlock()
		go t.acceptConns(listener)
		if restarted != nil {
			restarted()
		}
	})
}

// Freeze makes the target give no answer on its control paths, as a process that is suspended. Its listener and connections stay open.
func (t *Target) Freeze() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.frozen = true
}

// StopListening refuses new connections and leaves those that are open without an answer, as a process that has ended beyond a gateway which
// drops what its kernel sends.
func (t *Target) StopListening() {
	t.Freeze()
	t.listener.Close()
}

func (t *Target) isFrozen() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.frozen
}

// ClearDisk removes all weights from the target's disk.
func (t *Target) ClearDisk() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.onDisk = map[string]bool{}
}

// LoseOrderAnswers makes the target send no response to the next n orders; it handles them as usual.
func (t *Target) LoseOrderAnswers(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unansweredOrders = n
}

// Requests returns the requests received so far, without those to the target's control paths.
func (t *Target) Requests() []*ReceivedRequest {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]*ReceivedRequest(nil), t.requests...)
}

// Orders returns the orders received so far, of all runs, also those that were not accepted.
func (t *Target) Orders() []Order {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Order(nil), t.orders...)
}

// RegistryEntry returns the target's entry in the registry of targets.
func (t *Target) RegistryEntry(service, state string) map[string]any {
	return t.RegistryEntryAt(t.Address(), service, state)
}

// RegistryEntryAt is RegistryEntry with another address, such as that of a link between caller and target.
func (t *Target) RegistryEntryAt(address, service, state string) map[string]any {
	return map[string]any{
		"service": service, "address": address, "zone": "zone-a", "version": "v1", "slots": 8, "state": state,
		"coldRemainingMs": 0, "sequence": 1, "born": t.Run(), "models": t.loadedModels(),
	}
}

// loadedModels returns the models in memory in the form of registry entries and reports.
func (t *Target) loadedModels() []map[string]any {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := []map[string]any{}
	for name, adapters := range t.loaded {
		list = append(list, map[string]any{"name": name, "version": 1, "adapters": append([]string{}, adapters...)})
	}
	return list
}

func (t *Target) acceptConns(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		t.mu.Lock()
		t.conns[conn] = struct{}{}
		t.mu.Unlock()
		go t.serve(conn)
	}
}

func (t *Target) serve(conn net.Conn) {
	defer func() {
		conn.Close()
		t.mu.Lock()
		delete(t.conns, conn)
		t.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		line, err := peekRequestLine(reader)
		if err != nil {
			return
		}
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if t.serveControl(conn, request, body) {
			continue
		}
		received := &ReceivedRequest{RequestLine: line, Header: request.Header, Body: body}
		t.mu.Lock()
		t.requests = append(t.requests, received)
		handler := t.handler
		t.mu.Unlock()
		if !handler(conn, received) {
			return
		}
	}
}

// peekRequestLine returns the request line as sent, without consuming it.
func peekRequestLine(reader *bufio.Reader) (string, error) {
	for n := 1; ; n++ {
		b, err := reader.Peek(n)
		if err != nil {
			return "", err
		}
		if b[n-1] == '\n' {
			return strings.TrimRight(string(b), "\r\n"), nil
		}
	}
}

// Run returns the number of the current run.
func (t *Target) Run() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.runNumber
}

func (t *Target) modelsOnDisk() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	names := []string{}
	for name := range t.onDisk {
		names = append(names, name)
	}
	return names
}

// orderSequence returns the number of orders accepted in the current run.
func (t *Target) orderSequence() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.acceptedOrdersLocked()
}

func (t *Target) acceptedOrdersLocked() int64 {
	accepted := int64(0)
	for _, order := range t.orders[t.priorOrders:] {
		if order.Accepted {
			accepted++
		}
	}
	return accepted
}
