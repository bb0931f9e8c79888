package cases

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// replica is a stand-in for a target: a model engine, or a plain service if it has no models. It speaks what the platform's pages say.
type replica struct {
	d       *deployment
	service string
	address string
	version string // of its software
	agent   *process
	serve   func(r *replica, w http.ResponseWriter, request *http.Request) // answers requests of callers

	loadTime      time.Duration
	receiveBuffer int                      // of each of its connections; 0 for the system's choice
	hangs         func() bool              // a request other than a health check hangs; nil for never
	serveConn     func(*replica, net.Conn) // answers all requests on a connection, in place of the rest; nil for none

	mu       sync.Mutex
	id       string // of the current boot
	boots    int
	born     int64
	up       bool
	server   *http.Server
	models   []string
	onDisk   map[string]bool
	sequence int64
	busy     bool
	running  int
	leaving  bool
	orders   int
}

// newReplica returns a replica of a service that is down.
func (d *deployment) newReplica(service, address string, models []string, serve func(*replica, http.ResponseWriter, *http.Request)) *replica {
	r := &replica{d: d, service: service, address: address, version: "v1", models: models, onDisk: map[string]bool{}, serve: serve, loadTime: 300 * time.Millisecond}
	for _, m := range models {
		r.onDisk[m] = true
	}
	d.replicas = append(d.replicas, r)
	return r
}

// start begins a boot of the replica.
func (r *replica) start() error {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error { return r.limitReceiveBuffer(raw) }}
	listener, err := config.Listen(context.Background(), "tcp", r.address)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.boots++
	r.up, r.born, r.sequence, r.busy, r.running, r.leaving = true, time.Now().UnixMilli(), 0, false, 0, false
	r.id = "i-" + strings.NewReplacer(".", "", ":", "").Replace(r.address) + "-" + strconv.Itoa(r.boots)
	r.server = &http.Server{Handler: http.HandlerFunc(r.handle), ReadHeaderTimeout: time.Minute}
	server, id := r.server, r.id
	r.mu.Unlock()
	if r.serveConn != nil {
		go r.acceptConns(listener)
	} else {
		go func() { _ = server.Serve(listener) }()
	}
	r.d.rec.sayf("replica %s of %s starts at %s", id, r.service, r.address)
	r.register(id)
	go r.beat(id)
	return nil
}

// acceptConns has serveConn answer the requests on the connections that come in.
func (r *replica) acceptConns(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			r.serveConn(r, conn)
		}()
	}
}

// limitReceiveBuffer sets the buffer of a listening socket, which the connections that it accepts have, too.
func (r *replica) limitReceiveBuffer(raw syscall.RawConn) error {
	if r.receiveBuffer == 0 {
		return nil
	}
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, r.receiveBuffer)
	})
	if err != nil {
		return err
	}
	return optionErr
}

// register writes the replica's entry of a boot to the store.
func (r *replica) register(id string) {
	r.mu.Lock()
	state := "ready"
	if r.leaving {
		state = "draining"
	}
	entry := map[string]any{
		"service": r.service, "address": r.address, "zone": "zone-a", "version": r.version, "slots": 64, "state": state, "coldRemainingMs": 0,
		"sequence": r.sequence, "born": r.born,
	}
	if r.isEngine() {
		entry["models"] = r.modelEntries()
	}
	current := r.up && r.id == id
	r.mu.Unlock()
	if current {
		r.d.store.Put("servers", id, entry)
	}
}

// beat writes the entry of a boot from time to time, and has it removed three intervals after its end.
func (r *replica) beat(id string) {
	for {
		time.Sleep(heartbeat)
		r.mu.Lock()
		current := r.up && r.id == id
		r.mu.Unlock()
		if !current {
			break
		}
		r.register(id)
	}
	time.Sleep(2 * heartbeat)
	r.d.store.Remove("servers", id)
}

func (r *replica) isEngine() bool { return len(r.onDisk) > 0 }

// modelEntries returns the models in memory; the caller holds the lock.
func (r *replica) modelEntries() []map[string]any {
	entries := []map[string]any{}
	for _, m := range r.models {
		entries = append(entries, map[string]any{"name": m, "version": 1, "adapters": []string{}})
	}
	return entries
}

// end ends the current boot, if there is one, as a crash does.
func (r *replica) end() {
	r.mu.Lock()
	server := r.server
	wasUp := r.up
	r.up, r.models = false, nil
	r.mu.Unlock()
	if wasUp {
		_ = server.Close()
	}
}

// isUp reports whether the replica has a boot.
func (r *replica) isUp() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.up
}

// crash ends the current boot, and begins the next one after a downtime.
func (r *replica) crash(downtime time.Duration) {
	r.mu.Lock()
	wasUp, id := r.up, r.id
	r.mu.Unlock()
	if !wasUp {
		return
	}
	r.end()
	r.d.rec.sayf("replica %s crashes", id)
	time.AfterFunc(downtime, func() {
		if err := r.start(); err != nil {
			r.d.rec.sayf("replica at %s does not start: %v", r.address, err)
		}
	})
}

// handle answers a request.
func (r *replica) handle(w http.ResponseWriter, request *http.Request) {
	r.mu.Lock()
	id, leaving := r.id, r.leaving
	r.mu.Unlock()
	if leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	w.Header().Set("X-Gypsumbank-Instance-Id", id)
	requestID := request.Header.Get("X-Gypsumbank-Request-Id")
	if requestID != "" {
		w.Header().Set("X-Gypsumbank-Request-Id", requestID)
	}
	if expected := request.Header.Get("X-Gypsumbank-Expect-Instance"); expected != "" && expected != id {
		w.Header().Set("X-Gypsumbank-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if request.URL.Path != "/healthz" && r.hangs != nil && r.hangs() {
		<-request.Context().Done()
		return
	}
	switch request.URL.Path {
	case "/healthz":
		w.WriteHeader(http.StatusOK)
	case "/-/report":
		r.report(w)
	case "/-/order":
		r.order(w, request)
	default:
		r.request(w, request)
	}
}

// report answers with the state of an engine.
func (r *replica) report(w http.ResponseWriter) {
	r.mu.Lock()
	disk := []string{}
	for m := range r.onDisk {
		disk = append(disk, m)
	}
	data, err := json.Marshal(map[string]any{
		"stage": "prefill_decode", "models": r.modelEntries(), "busy": r.busy, "sequence": r.sequence, "waiting": 0, "running": r.running, "kvUsed": 300 * r.running,
		"kvTotal": 200000, "handles": 0, "pinned": 0, "held": 0, "state": "ready", "born": r.born, "coming": []string{}, "runs": []any{},
		"atHand": map[string]any{"inMemory": []string{}, "onDisk": disk},
	})
	r.mu.Unlock()
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data) // a caller that has left needs no answer
}

// order carries out an order to load or unload a model.
func (r *replica) order(w http.ResponseWriter, request *http.Request) {
	var order struct {
		Op       string `json:"op"`
		Model    string `json:"model"`
		Holder   string `json:"holder"`
		Fence    int64  `json:"fence"`
		Expected *int64 `json:"expected"`
	}
	body, err := io.ReadAll(request.Body)
	if err != nil || json.Unmarshal(body, &order) != nil || order.Holder == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.busy || (order.Expected != nil && *order.Expected != r.sequence) {
		w.WriteHeader(http.StatusConflict)
		return
	}
	r.sequence++
	r.orders++
	r.d.rec.sayf("order at %s: %s %s by %s, number %d", r.id, order.Op, order.Model, order.Holder, order.Fence)
	r.busy = true
	id := r.id
	time.AfterFunc(r.loadTime, func() { r.finishOrder(id, order.Op, order.Model) })
	w.WriteHeader(http.StatusAccepted)
}

// finishOrder ends an order of a boot.
func (r *replica) finishOrder(id, op, model string) {
	r.mu.Lock()
	if r.id != id || !r.up {
		r.mu.Unlock()
		return
	}
	r.busy = false
	kept := []string{}
	for _, m := range r.models {
		if m != model {
			kept = append(kept, m)
		}
	}
	r.models = kept
	if op == "loading" {
		r.models = append(r.models, model)
		r.onDisk[model] = true
	}
	r.mu.Unlock()
	r.register(id)
}

// request answers a request of a caller.
func (r *replica) request(w http.ResponseWriter, request *http.Request) {
	model, _, _ := strings.Cut(request.Header.Get("X-Gypsumbank-Model"), "/")
	r.mu.Lock()
	holds := model == ""
	for _, m := range r.models {
		holds = holds || m == model
	}
	r.mu.Unlock()
	if !holds {
		w.Header().Set("X-Gypsumbank-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.mu.Lock()
	r.running++
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		r.running--
		r.mu.Unlock()
	}()
	r.serve(r, w, request)
}

// stream answers with numbered events, one each interval.
func stream(w http.ResponseWriter, request *http.Request, events int, interval time.Duration) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Gypsumbank-Response-Stamp", "stamp")
	w.WriteHeader(http.StatusOK)
	for i := 1; i <= events; i++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: token-%d\n\n", i, i); err != nil {
			return
		}
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		select {
		case <-request.Context().Done():
			return
		case <-time.After(interval):
		}
	}
}
