package site

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// ReceivedRequest is a request as a target has received it.
type ReceivedRequest struct {
	RequestLine string // request line
	Header      http.Header
	Body        []byte
	CallerLeft  bool // the connection was closed before the answer was complete
}

// Handler writes the answer to a request on its connection and reports whether the connection stays open.
type Handler func(conn net.Conn, seen *ReceivedRequest) bool

// Target stands in for a target; it reads requests itself, so that it sees each byte.
type Target struct {
	id       string
	listener net.Listener

	mu       sync.Mutex
	handler  Handler
	seen     []*ReceivedRequest
	models   map[string][]string
	onDisk   map[string]bool // models that were held at some time
	born     int64
	before   int // orders received before the present run
	overruns int
	orders   []Order
	lose     int // orders that get no answer
	conns    map[net.Conn]struct{}
}

// Order is an order that a target has received.
type Order struct {
	Op       string `json:"op"`
	Model    string `json:"model"`
	Adapter  string `json:"adapter"`
	Expected int64  `json:"expected"`
	Holder   string `json:"holder"`
	Fence    int64  `json:"fence"`
	Accepted bool   `json:"-"`

	At              time.Time `json:"-"` // when it arrived
	Run             int64     `json:"-"` // of the target
	FromWeightStore bool      `json:"-"` // a load that the weight store has to serve
}

// NewTarget returns a running target with the given id that answers by script.
func NewTarget(id string, script Handler) *Target { return NewTargetAt("127.0.0.1:0", id, script) }

// NewTargetAt returns a running target that listens on an address.
func NewTargetAt(address, id string, script Handler) *Target {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		panic(err)
	}
	t := &Target{id: id, listener: listener, handler: script, models: map[string][]string{}, onDisk: map[string]bool{}, born: 1, conns: map[net.Conn]struct{}{}}
	go t.accept()
	return t
}

// Address returns the address of the target.
func (t *Target) Address() string { return t.listener.Addr().String() }

// Close ends the target and its connections.
func (t *Target) Close() {
	t.listener.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
	for conn := range t.conns {
		conn.Close()
	}
}

// SetHandler replaces the script.
func (t *Target) SetHandler(script Handler) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.handler = script
}

// Load has the target hold a model with adapters.
func (t *Target) Load(model string, adapters ...string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.models[model], t.onDisk[model] = adapters, true
}

// Overruns returns how many orders had the target hold more than heldModels models or heldAdapters adapters.
func (t *Target) Overruns() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.overruns
}

// heldModels and heldAdapters are what a target holds at most; a real one crashes beyond that.
const (
	heldModels   = 2
	heldAdapters = 2
)

// countOverrun is called with the lock held.
func (t *Target) countOverrun() {
	adapters := 0
	for _, names := range t.models {
		adapters += len(names)
	}
	if len(t.models) > heldModels || adapters > heldAdapters {
		t.overruns++
	}
}

// Restart cuts all connections and begins a new run, which holds no models and has its disk.
func (t *Target) Restart() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for conn := range t.conns {
		conn.Close()
	}
	t.born++
	t.before = len(t.orders)
	t.models = map[string][]string{}
}

// ClearDisk removes all weights from the target's disk.
func (t *Target) ClearDisk() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.onDisk = map[string]bool{}
}

// LoseOrderAnswers leaves the next n orders without an answer, though they are carried out.
func (t *Target) LoseOrderAnswers(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lose = n
}

// Requests returns the requests received so far.
func (t *Target) Requests() []*ReceivedRequest {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]*ReceivedRequest(nil), t.seen...)
}

// Orders returns the orders received so far.
func (t *Target) Orders() []Order {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Order(nil), t.orders...)
}

// RegistryEntry returns what the target writes to the registry about itself.
func (t *Target) RegistryEntry(service, state string) map[string]any {
	return t.RegistryEntryAt(t.Address(), service, state)
}

// RegistryEntryAt returns the same with another address, such as that of a link.
func (t *Target) RegistryEntryAt(address, service, state string) map[string]any {
	return map[string]any{
		"service": service, "address": address, "zone": "zone-a", "version": "v1", "slots": 8, "state": state,
		"coldRemainingMs": 0, "sequence": 1, "born": t.run(), "models": t.modelList(),
	}
}

func (t *Target) modelList() []map[string]any {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := []map[string]any{}
	for name, adapters := range t.models {
		list = append(list, map[string]any{"name": name, "version": 1, "adapters": append([]string{}, adapters...)})
	}
	return list
}

func (t *Target) accept() {
	for {
		conn, err := t.listener.Accept()
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
		line, err := peekLine(reader)
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
		if t.serveOwn(conn, request, body) {
			continue
		}
		seen := &ReceivedRequest{RequestLine: line, Header: request.Header, Body: body}
		t.mu.Lock()
		t.seen = append(t.seen, seen)
		script := t.handler
		t.mu.Unlock()
		if !script(conn, seen) {
			return
		}
	}
}

func peekLine(reader *bufio.Reader) (string, error) {
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

// serveOwn answers calls to the target itself.
func (t *Target) serveOwn(conn net.Conn, request *http.Request, body []byte) bool {
	switch request.URL.Path {
	case "/healthz":
		writeAnswer(conn, http.StatusOK, "X-Gypsumbank-Instance-Id: "+t.id+"\r\n", "")
	case "/-/report":
		report, err := json.Marshal(map[string]any{
			"models": t.modelList(), "busy": false, "sequence": t.sequence(), "waiting": 0, "running": 0, "kvUsed": 0,
			"kvTotal": 1000000, "state": "ready", "born": t.run(), "coming": []string{}, "atHand": map[string]any{"inMemory": []string{}, "onDisk": t.disk()},
		})
		if err != nil {
			return false
		}
		writeAnswer(conn, http.StatusOK, "", string(report))
	case "/-/order":
		t.order(conn, body)
	default:
		return false
	}
	return true
}

func (t *Target) run() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.born
}

func (t *Target) disk() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	names := []string{}
	for name := range t.onDisk {
		names = append(names, name)
	}
	return names
}

func (t *Target) sequence() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.taken()
}

func (t *Target) taken() int64 {
	n := int64(0)
	for _, o := range t.orders[t.before:] {
		if o.Accepted {
			n++
		}
	}
	return n
}

func (t *Target) order(conn net.Conn, body []byte) {
	var o Order
	if err := json.Unmarshal(body, &o); err != nil {
		writeAnswer(conn, http.StatusBadRequest, "", "")
		return
	}
	t.mu.Lock()
	o.Accepted, o.At, o.Run = o.Expected == t.taken(), time.Now(), t.born
	o.FromWeightStore = o.Accepted && o.Op == "loading" && o.Adapter == "" && !t.onDisk[o.Model]
	if o.Accepted {
		t.carryOut(o)
		t.countOverrun()
	}
	t.orders = append(t.orders, o)
	lost := t.lose > 0
	if lost {
		t.lose--
	}
	t.mu.Unlock()
	switch {
	case lost:
		time.Sleep(time.Second)
	case o.Accepted:
		writeAnswer(conn, http.StatusAccepted, "", "")
	default:
		writeAnswer(conn, http.StatusConflict, "", "")
	}
}

func (t *Target) carryOut(o Order) {
	switch {
	case o.Op == "unloading" && o.Adapter == "":
		delete(t.models, o.Model)
	case o.Op == "unloading":
		kept := []string{}
		for _, a := range t.models[o.Model] {
			if a != o.Adapter {
				kept = append(kept, a)
			}
		}
		t.models[o.Model] = kept
	case o.Adapter == "":
		t.models[o.Model], t.onDisk[o.Model] = nil, true
	default:
		t.models[o.Model] = append(t.models[o.Model], o.Adapter)
	}
}

func writeAnswer(conn net.Conn, status int, headers, body string) {
	_, _ = io.WriteString(conn, answerText(status, headers, body)) // a caller that has left is noticed by the next read
}
