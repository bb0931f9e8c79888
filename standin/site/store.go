package site

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Row is a row of the store.
type Row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

// Fault makes the store misbehave.
type Fault int

// The faults.
const (
	NoFault     Fault = iota
	Down              // every call gets 503
	Silent            // no call gets an answer
	LoseAnswers       // writes are done and not answered
	LoseHistory       // the history is gone
	LateWrites        // writes get no answer and are done lateWrite later
)

// Store stands in for the platform's store.
type Store struct {
	server *httptest.Server
	start  time.Time

	mu      sync.Mutex
	fault   Fault
	version int64
	rows    map[string]Row
	log     []Row
	changed chan struct{}
	calls   int
}

// NewStore returns a running store without rows.
func NewStore() *Store {
	s := &Store{start: time.Now(), rows: map[string]Row{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/rows-get", s.get)
	mux.HandleFunc("GET /-/rows-feed", s.feed)
	mux.HandleFunc("POST /-/rows-tx", s.transact)
	s.server = httptest.NewServer(s.faulty(mux))
	return s
}

// Address returns the address of the store.
func (s *Store) Address() string { return strings.TrimPrefix(s.server.URL, "http://") }

// Close ends the store and its connections.
func (s *Store) Close() {
	s.SetFault(NoFault)
	s.server.CloseClientConnections()
	s.server.Close()
}

// SetFault replaces the fault in force.
func (s *Store) SetFault(fault Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
	s.wake()
}

// Requests returns the number of calls so far.
func (s *Store) Requests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put writes a row as the operator or a target does.
func (s *Store) Put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(Row{Table: table, Key: key, Value: data})
}

// Remove removes a row.
func (s *Store) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(Row{Table: table, Key: key, Removed: true})
}

// Row returns a row of the system's own.
func (s *Store) Row(table, part, key string) (Row, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	row, ok := s.rows[rowKey(table, part, key)]
	return row, ok
}

func rowKey(table, part, key string) string { return table + "\x00" + part + "\x00" + key }

func (s *Store) write(row Row) {
	s.version++
	row.Version = s.version
	if row.Removed {
		delete(s.rows, rowKey(row.Table, row.Part, row.Key))
	} else {
		s.rows[rowKey(row.Table, row.Part, row.Key)] = row
	}
	s.log = append(s.log, row)
	s.wake()
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) faulty(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.calls++
		fault := s.fault
		s.mu.Unlock()
		switch {
		case fault == Down:
			w.WriteHeader(http.StatusServiceUnavailable)
		case fault == Silent:
			for s.current() == Silent && r.Context().Err() == nil {
				time.Sleep(10 * time.Millisecond)
			}
			panic(http.ErrAbortHandler)
		case fault == LateWrites && r.Method == http.MethodPost:
			s.writeLate(next, r)
			panic(http.ErrAbortHandler)
		case fault == LoseAnswers && r.Method == http.MethodPost:
			next.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		default:
			next.ServeHTTP(w, r)
		}
	})
}

// lateWrite is how long after its call a late write is done.
const lateWrite = time.Second

func (s *Store) writeLate(next http.Handler, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	late := r.Clone(context.WithoutCancel(r.Context()))
	late.Body = io.NopCloser(bytes.NewReader(body))
	time.AfterFunc(lateWrite, func() { next.ServeHTTP(httptest.NewRecorder(), late) })
}

func (s *Store) current() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit > maxRows {
		limit = maxRows
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []Row{}
	for _, row := range s.rows {
		if row.Table == query.Get("table") && row.Part == query.Get("part") && row.Key >= query.Get("from") {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	more := len(rows) > limit
	s.answer(w, http.StatusOK, map[string]any{"rows": rows[:min(limit, len(rows))], "hasMore": more})
}

// maxRows is the most rows in one answer.
const maxRows = 500

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseInt(query.Get("after"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, err := strconv.Atoi(query.Get("waitMs"))
	if err != nil {
		wait = 0
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		rows, changed, fault := s.changes(query.Get("table"), after), s.changed, s.fault
		if fault == LoseHistory {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(rows) > 0 {
			s.answer(w, http.StatusOK, map[string]any{"rows": rows})
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout:
			s.mu.Lock()
			s.answer(w, http.StatusOK, map[string]any{"rows": []Row{}})
			s.mu.Unlock()
			return
		}
	}
}

func (s *Store) changes(table string, after int64) []Row {
	var rows []Row
	for _, row := range s.log {
		if row.Table == table && row.Version > after {
			rows = append(rows, row)
		}
	}
	return rows
}

func (s *Store) transact(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expected []Row `json:"expected"`
		Writes   []Row `json:"writes"`
		Remove   []Row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, row := range body.Expected {
		if s.rows[rowKey(row.Table, row.Part, row.Key)].Version != row.Version {
			s.answer(w, http.StatusPreconditionFailed, map[string]any{"rows": []Row{}})
			return
		}
	}
	for _, row := range body.Writes {
		s.write(row)
	}
	for _, row := range body.Remove {
		row.Removed = true
		s.write(row)
	}
	s.answer(w, http.StatusOK, map[string]any{})
}

// answer writes body with the version and the clock; the caller holds the lock.
func (s *Store) answer(w http.ResponseWriter, status int, body map[string]any) {
	body["ver"] = s.version
	body["nowMs"] = time.Since(s.start).Milliseconds()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the caller notices an answer that is cut
}
