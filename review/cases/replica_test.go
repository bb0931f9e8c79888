package cases

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeatInterval = 1200 * time.Millisecond
	stamp             = "3e1b.07.5a2.600.0.c9f2a4d1"
)

// model is a model of the catalog, as the operator lists it.
type model struct {
	name     string
	weightMB float64
}

// replica stands in for a replica of a service: a plain one, or an engine if it has a catalog. It accepts what the pages say that a replica
// accepts, and counts what reaches it.
type replica struct {
	d                     *deployment
	id, service, zone, ip string
	address               string
	slots                 int
	work                  time.Duration // of one request of a plain service
	catalog               map[string]model
	weightMemoryMB        float64
	storeLoad, diskLoad   time.Duration
	onRequest             func(r *replica, requestID, gateway string, at time.Time) // called for each request that is not refused
	server                *http.Server
	mu                    sync.Mutex
	born                  int64
	held                  map[string]bool
	onDisk                map[string]bool
	running               map[string]int // runs by model
	busy                  bool
	sequence              int64
	leaving               bool
	leavingSince          time.Time // when the store acknowledged it
	down                  bool
	runs                  map[string]int // by request id
	overloads             []string       // orders that asked for more than the memory holds
	stopHeartbeat         chan struct{}
	stopHeartbeatOnce     sync.Once
	eventInterval         time.Duration
	events                int
	readBodySlowly        time.Duration // pause before the body of a request is read
}

// listen starts the replica at an address and registers it.
func (r *replica) listen() {
	listener, err := net.Listen("tcp", r.address)
	if err != nil {
		r.d.cannotRun(err)
	}
	r.address = listener.Addr().String()
	r.mu.Lock()
	r.born = time.Now().UnixMilli()
	r.down, r.busy, r.sequence, r.running = false, false, 0, map[string]int{}
	if r.held == nil {
		r.held = map[string]bool{}
	}
	if r.onDisk == nil {
		r.onDisk, r.runs = map[string]bool{}, map[string]int{}
	}
	for name := range r.held {
		r.onDisk[name] = true
	}
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve)}
	server := r.server
	r.stopHeartbeat, r.stopHeartbeatOnce = make(chan struct{}), sync.Once{}
	stop := r.stopHeartbeat
	r.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	r.d.t.Cleanup(func() { _ = server.Close() })
	r.register()
	go r.heartbeat(stop)
}

// entry returns what the replica writes to the store of itself; the caller holds the lock.
func (r *replica) entry() map[string]any {
	state := "ready"
	if r.leaving {
		state = "draining"
	}
	return map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": r.slots, "state": state,
		"coldRemainingMs": 0, "stage": "prefill_decode", "models": r.models(), "sequence": r.sequence, "born": r.born,
	}
}

// models returns what the replica holds; the caller holds the lock.
func (r *replica) models() []map[string]any {
	list := []map[string]any{}
	for _, name := range sortedKeys(r.held) {
		list = append(list, map[string]any{"name": name, "version": 1, "adapters": []string{}})
	}
	return list
}

// register writes the replica's entry and returns when the store acknowledged it.
func (r *replica) register() time.Time {
	r.mu.Lock()
	entry := r.entry()
	r.mu.Unlock()
	return r.d.store.put("servers", r.id, entry)
}

func (r *replica) heartbeat(stop chan struct{}) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	last := ""
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		r.mu.Lock()
		entry := r.entry()
		r.mu.Unlock()
		data, _ := json.Marshal(entry)
		if string(data) != last {
			last = string(data)
			r.d.store.put("servers", r.id, entry)
		}
	}
}

// leave reports that the replica drains, and says so in all answers from then on.
func (r *replica) leave() {
	r.mu.Lock()
	r.leaving = true
	r.mu.Unlock()
	acknowledged := r.register()
	r.mu.Lock()
	r.leavingSince = acknowledged
	r.mu.Unlock()
	r.d.note("replica %s says that it leaves, the store has acknowledged it", r.id)
}

// leftAt returns when the store acknowledged that the replica leaves; zero if it does not.
func (r *replica) leftAt() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leavingSince
}

// sinceLeft says how long before a time the store had acknowledged that the replica leaves; empty if it hadn't.
func (r *replica) sinceLeft(at time.Time) string {
	left := r.leftAt()
	if left.IsZero() || at.Before(left) {
		return ""
	}
	return fmt.Sprintf(", %d ms after the store has acknowledged that it leaves", at.Sub(left).Milliseconds())
}

// exit ends the replica in order: its entry goes, and its process with all connections.
func (r *replica) exit() {
	r.stopHeartbeatOnce.Do(func() { close(r.stopHeartbeat) })
	r.d.store.remove("servers", r.id)
	r.mu.Lock()
	r.down = true
	server := r.server
	r.mu.Unlock()
	_ = server.Close()
	r.d.note("replica %s has exited", r.id)
}

// crash ends the replica's process and starts it again, empty, after the downtime; its disk stays.
func (r *replica) crash(downtime time.Duration) {
	r.mu.Lock()
	if r.down {
		r.mu.Unlock()
		return
	}
	r.down = true
	server := r.server
	r.mu.Unlock()
	r.stopHeartbeatOnce.Do(func() { close(r.stopHeartbeat) })
	_ = server.Close()
	r.d.note("replica %s has crashed", r.id)
	time.AfterFunc(downtime, func() {
		r.mu.Lock()
		r.held = map[string]bool{}
		r.mu.Unlock()
		r.listen()
		r.d.note("replica %s is back", r.id)
	})
}

func (r *replica) serve(w http.ResponseWriter, request *http.Request) {
	r.mu.Lock()
	leaving := r.leaving
	r.mu.Unlock()
	if leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	if expected := request.Header.Get("X-Gypsumbank-Expect-Instance"); expected != "" && expected != r.id {
		w.Header().Set("X-Gypsumbank-Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch request.URL.Path {
	case "/healthz":
		w.Header().Set("X-Gypsumbank-Instance-Id", r.id)
	case "/-/report":
		r.report(w)
	case "/-/order":
		r.order(w, request)
	default:
		r.run(w, request)
	}
}

func (r *replica) report(w http.ResponseWriter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	running := 0
	for _, n := range r.running {
		running += n
	}
	state := "ready"
	if r.leaving {
		state = "draining"
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"stage": "prefill_decode", "models": r.models(), "busy": r.busy, "sequence": r.sequence, "waiting": 0, "running": running, "kvUsed": 100 * running,
		"kvTotal": 233436, "handles": 0, "pinned": 0, "held": 0, "state": state, "born": r.born, "coming": []string{}, "runs": []any{},
		"atHand": map[string]any{"inMemory": []string{}, "onDisk": sortedKeys(r.onDisk)},
	})
}

// order carries out an order to load or unload a model as the pages say. An engine that is ordered to load more than it holds crashes.
func (r *replica) order(w http.ResponseWriter, request *http.Request) {
	var order struct {
		Op, Model, Adapter, Holder string
		Fence                      *int64
		Expected                   *int64
	}
	if err := json.NewDecoder(request.Body).Decode(&order); err != nil || order.Holder == "" || order.Fence == nil || order.Adapter != "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	spec, known := r.catalog[order.Model]
	loads := order.Op == "loading"
	switch {
	case !known || (!loads && order.Op != "unloading"):
		w.WriteHeader(http.StatusBadRequest)
	case r.busy || (order.Expected != nil && *order.Expected != r.sequence):
		w.WriteHeader(http.StatusConflict)
	case r.held[order.Model] == loads:
		w.WriteHeader(http.StatusOK)
	default:
		r.sequence++
		r.busy = true
		w.WriteHeader(http.StatusAccepted)
		held := r.heldMB()
		r.d.note("engine %s accepts the order of %s: %s %s; it holds %s, %.0f of %.0f MB", r.id, order.Holder, order.Op, order.Model, strings.Join(sortedKeys(r.held), ","), held, r.weightMemoryMB)
		switch {
		case loads && held+spec.weightMB > r.weightMemoryMB:
			r.overloads = append(r.overloads, fmt.Sprintf("%s ordered %s, which holds %s (%.0f MB), to load %s (%.0f MB): more than its %.0f MB",
				order.Holder, r.id, strings.Join(sortedKeys(r.held), ","), held, order.Model, spec.weightMB, r.weightMemoryMB))
			go r.crash(3 * time.Second)
		case loads:
			go r.load(order.Model)
		default:
			go r.unload(order.Model)
		}
	}
}

// heldMB returns the memory that the models take; the caller holds the lock.
func (r *replica) heldMB() float64 {
	sum := 0.0
	for name := range r.held {
		sum += r.catalog[name].weightMB
	}
	return sum
}

func (r *replica) load(name string) {
	r.mu.Lock()
	takes, born := r.storeLoad, r.born
	if r.onDisk[name] {
		takes = r.diskLoad
	}
	r.mu.Unlock()
	time.Sleep(takes)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.born == born && !r.down {
		r.held[name], r.onDisk[name], r.busy = true, true, false
		r.d.note("engine %s has loaded %s", r.id, name)
	}
}

func (r *replica) unload(name string) {
	for {
		r.mu.Lock()
		if r.running[name] == 0 || r.down {
			delete(r.held, name)
			r.busy = false
			r.d.note("engine %s has unloaded %s", r.id, name)
			r.mu.Unlock()
			return
		}
		r.mu.Unlock()
		time.Sleep(10 * time.Millisecond)
	}
}

// run works on a request and answers it.
func (r *replica) run(w http.ResponseWriter, request *http.Request) {
	arrived := time.Now()
	id := request.Header.Get("X-Gypsumbank-Request-Id")
	w.Header().Set("X-Gypsumbank-Request-Id", id)
	if id == "" {
		w.Header().Set("X-Gypsumbank-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(r.readBodySlowly)
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	name, _, _ := strings.Cut(request.Header.Get("X-Gypsumbank-Model"), "/")
	r.mu.Lock()
	if r.catalog != nil && !r.held[name] {
		r.mu.Unlock()
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.runs[id]++
	r.running[name]++
	r.mu.Unlock()
	if !r.d.quiet.Load() {
		r.d.note("replica %s runs %s%s", r.id, id, r.sinceLeft(arrived))
	}
	host, _, _ := net.SplitHostPort(request.RemoteAddr)
	if r.onRequest != nil {
		r.onRequest(r, id, host, arrived)
	}
	defer func() {
		r.mu.Lock()
		r.running[name]--
		r.mu.Unlock()
	}()
	w.Header().Set("X-Gypsumbank-Response-Stamp", stamp)
	if r.catalog != nil {
		r.stream(w, request)
		return
	}
	select {
	case <-time.After(r.work):
	case <-request.Context().Done():
		return // the caller has left
	}
	answer := fmt.Sprintf("%s %s, %d bytes, for %s", request.Method, request.URL.Path, len(body), id)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = io.WriteString(w, answer)
}

// stream answers with events.
func (r *replica) stream(w http.ResponseWriter, request *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	next := 1
	if last, err := strconv.Atoi(request.Header.Get("Last-Event-Id")); err == nil {
		next = last + 1
	}
	controller := http.NewResponseController(w)
	for i := next; i <= r.events; i++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: token-%d\n\n", i, i); err != nil || controller.Flush() != nil {
			return
		}
		time.Sleep(r.eventInterval)
	}
}

// plainService returns the description of a plain service in a manifest.
func plainService(name string) map[string]any {
	return map[string]any{"name": name, "healthPath": "/healthz", "maxConns": 96, "protocol": "h1", "tls": false}
}

// engineService returns the description of a service of engines in a manifest.
func engineService(name string, weightMemoryMB float64, models []model) map[string]any {
	list := []map[string]any{}
	for _, m := range models {
		list = append(list, map[string]any{"name": m.name, "weightsMb": m.weightMB, "loadS": 1.2, "adapters": 0, "adapterMb": 66.0, "warmS": 0.4, "diskS": 0.52})
	}
	return map[string]any{"name": name, "healthPath": "/healthz", "maxConns": 360, "protocol": "h1", "tls": false, "engine": map[string]any{
		"slots": 64, "kvCapacityTokens": 233436, "kvBytes": 163840, "linkMbps": 550000.0, "moves": true, "backups": true, "stride": 5, "maxCount": 12,
		"hostMb": 150000.0, "diskMb": 450000.0, "pinMs": 4000.0, "holdMs": 2000.0, "handle_s": 5.0, "models": list, "weightsMb": weightMemoryMB, "adapterSlots": 5, "loadsPerS": 1.4,
	}}
}

// manifestRoute returns a route of a manifest.
func manifestRoute(prefix, kind, service string, timeoutMs, aimMs, attempts int) map[string]any {
	r := map[string]any{
		"name": "r-" + strings.Trim(prefix, "/"), "host": host, "prefix": prefix, "routeKind": kind, "timeoutMs": timeoutMs, "targetLatencyMs": aimMs,
		"priority": 1, "service": service, "maxAttempts": attempts, "resumable": false,
	}
	if kind == "streaming" {
		r["sticky"], r["gapAimMs"] = true, 300
	}
	return r
}

// publish writes a manifest as the operator does.
func (d *deployment) publish(version int, routes, services []map[string]any) {
	d.store.put("op", "config", map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	names := []string{}
	for _, s := range services {
		names = append(names, fmt.Sprint(s["name"]))
	}
	slices.Sort(names)
	d.note("the store has acknowledged version %d of the manifest, services %s", version, strings.Join(names, ","))
}
