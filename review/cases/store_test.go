package cases

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// storeLatency is the time that the store takes for an answer.
const storeLatency = 4 * time.Millisecond

// row is a row of the store, or a change of one in its history.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

// store stands in for the platform's store. It answers all calls, but for those of machines that it turns away.
type store struct {
	d  *deployment
	mu sync.Mutex

	version int64
	rows    map[string]row
	history []row
	changed chan struct{}
}

// storeFront is the store as one machine reaches it.
type storeFront struct {
	store       *store
	machine     string
	address     string
	away        atomic.Bool  // the store turns the machine away
	targetReads atomic.Int64 // reads of the list of replicas
}

func newStore(d *deployment) *store {
	return &store{d: d, rows: map[string]row{}, changed: make(chan struct{})}
}

// newFront opens an address at which one machine reaches the store.
func (s *store) newFront(machine string) *storeFront {
	listener, err := net.Listen("tcp", s.d.network+".9.1:0")
	if err != nil {
		s.d.cannotRun(err)
	}
	f := &storeFront{store: s, machine: machine, address: listener.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/rows-get", f.get)
	mux.HandleFunc("GET /-/rows-feed", f.feed)
	mux.HandleFunc("POST /-/rows-tx", f.transact)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(storeLatency)
		w.Header().Set("Store-Era", "1")
		if f.away.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	})}
	go func() { _ = server.Serve(listener) }()
	s.d.t.Cleanup(func() { _ = server.Close() })
	return f
}

func rowKey(table, part, key string) string { return table + "\x00" + part + "\x00" + key }

// put writes a row as the operator and the replicas do, and returns when that was acknowledged.
func (s *store) put(table, key string, value any) time.Time {
	data, err := json.Marshal(value)
	if err != nil {
		s.d.cannotRun(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(row{Table: table, Key: key, Value: data})
	return time.Now()
}

// remove drops a row.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(row{Table: table, Key: key, Removed: true})
}

// write applies a change; the caller holds the lock.
func (s *store) write(r row) {
	s.version++
	r.Version = s.version
	if r.Removed {
		delete(s.rows, rowKey(r.Table, r.Part, r.Key))
	} else {
		s.rows[rowKey(r.Table, r.Part, r.Key)] = r
	}
	s.history = append(s.history, r)
	close(s.changed)
	s.changed = make(chan struct{})
}

// answer writes an answer about rows; the caller holds the lock.
func (s *store) answer(w http.ResponseWriter, status int, body map[string]any) {
	body["ver"], body["nowMs"] = s.version, time.Since(s.d.started).Milliseconds()+1000
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (f *storeFront) get(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	if query.Get("table") == "servers" {
		f.targetReads.Add(1)
	}
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit > 500 {
		limit = 500
	}
	s := f.store
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []row{}
	for _, each := range s.rows {
		inRange := each.Key >= query.Get("from") && (query.Get("to") == "" || each.Key < query.Get("to"))
		if each.Table == query.Get("table") && each.Part == query.Get("part") && inRange {
			rows = append(rows, each)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return strings.Compare(rows[i].Key, rows[j].Key) < 0 })
	s.answer(w, http.StatusOK, map[string]any{"rows": rows[:min(limit, len(rows))], "hasMore": len(rows) > limit})
}

func (f *storeFront) feed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseInt(query.Get("after"), 10, 64)
	waitMs, waitErr := strconv.Atoi(query.Get("waitMs"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s := f.store
	end := time.After(time.Duration(waitMs) * time.Millisecond)
	for timedOut := false; ; {
		s.mu.Lock()
		rows := slices.DeleteFunc(slices.Clone(s.history), func(each row) bool { return each.Table != query.Get("table") || each.Version <= after })
		if len(rows) > 0 || timedOut {
			s.answer(w, http.StatusOK, map[string]any{"rows": rows})
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-end:
			timedOut = true
		case <-r.Context().Done():
			return
		}
		if f.away.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	}
}

func (f *storeFront) transact(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expected, Writes, Remove []row
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s := f.store
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, each := range slices.Concat(body.Writes, body.Remove) {
		if each.Table == "op" || each.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	for _, expected := range body.Expected {
		if s.rows[rowKey(expected.Table, expected.Part, expected.Key)].Version != expected.Version {
			s.answer(w, http.StatusPreconditionFailed, map[string]any{"rows": []row{}})
			return
		}
	}
	for _, each := range body.Writes {
		s.write(each)
	}
	for _, each := range body.Remove {
		each.Removed = true
		s.write(each)
	}
	s.answer(w, http.StatusOK, map[string]any{})
}
