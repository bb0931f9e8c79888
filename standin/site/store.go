package site

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Row is a row of the store, or a change of one in the store's history.
type Row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"ver"`               // version of the store after the write
	Removed bool   `json:"removed,omitempty"` // the change deleted the row

	rawValue string // JSON in place of the encoded value in answers, if not empty
}

// Fault is a failure that a test injects into the store.
type Fault int

// The failures of the store. Where a request gets no response, its connection is closed.
const (
	NoFault     Fault = iota
	Down              // each request gets status 503
	Silent            // no request gets a response; connections stay open for as long as the fault is set
	LoseAnswers       // writes are applied and get no response
	LoseHistory       // reads of the change feed get status 410
	LateWrites        // writes get no response and are applied after lateWriteDelay
)

// Store is a test double of the platform's store; it keeps its rows and their whole history in memory.
type Store struct {
	server    *httptest.Server
	startTime time.Time

	mu        sync.Mutex
	fault     Fault
	epoch     int64 // number of restores, counted from 1
	version   int64
	rows      map[string]Row // by storeKey
	changeLog []Row
	changed   chan struct{} // closed and replaced at each change of the rows or the fault
	requests  int

	clockAhead time.Duration  // by which the clock was advanced
	reads      map[string]int // by table: reads of rows
	writes     map[string]int // by table: transactions
}

// NewStore starts a store without rows on a free port.
func NewStore() *Store {
	s := &Store{startTime: time.Now(), epoch: 1, rows: map[string]Row{}, changed: make(chan struct{}), reads: map[string]int{}, writes: map[string]int{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/rows-get", s.handleGet)
	mux.HandleFunc("GET /-/rows-feed", s.handleFeed)
	mux.HandleFunc("POST /-/rows-tx", s.handleTransaction)
	s.server = httptest.NewServer(s.withFault(mux))
	return s
}

// Address returns the host and port that the store listens on.
func (s *Store) Address() string { return strings.TrimPrefix(s.server.URL, "http://") }

// Close clears the fault, so that requests held by Silent end, and stops the server.
func (s *Store) Close() {
	s.SetFault(NoFault)
	s.server.CloseClientConnections()
	s.server.Close()
}

// SetFault replaces the current fault; pending reads of the change feed check it again.
func (s *Store) SetFault(fault Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
	s.notifyWaiters()
}

// Requests returns the number of requests so far, failed ones included.
func (s *Store) Requests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests
}

// RowCalls returns the number of reads of rows of a table, and of transactions that expect one of them.
func (s *Store) RowCalls(table string) (reads, writes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads[table], s.writes[table]
}

// AdvanceClock sets the clock forward.
func (s *Store) AdvanceClock(by time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clockAhead += by
}

// Put writes a row with an empty part, as operators and targets do; the value is stored as JSON.
func (s *Store) Put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeLocked(Row{Table: table, Key: key, Value: data})
}

// Remove deletes a row with an empty part.
func (s *Store) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeLocked(Row{Table: table, Key: key, Removed: true})
}

// Row returns a row and whether it exists.
func (s *Store) Row(table, part, key string) (Row, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	row, ok := s.rows[storeKey(table, part, key)]
	return row, ok
}

// Snapshot is a copy of the content of a store.
type Snapshot struct {
	version   int64
	rows      map[string]Row
	changeLog []Row
}

// Snapshot returns a copy of the current content.
func (s *Store) Snapshot() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Snapshot{version: s.version, rows: maps.Clone(s.rows), changeLog: slices.Clone(s.changeLog)}
}

// Restore replaces the content by an earlier copy and begins the next epoch. Versions above that of the copy are given out
// again; a read of the change feed from one of them gets status 410 until then. Rows of the tables in kept are written again at
// once, as operators and targets do with what they have written since the copy, and those that they have removed are removed.
func (s *Store) Restore(copied Snapshot, kept ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lost := s.rows
	s.version, s.rows, s.changeLog = copied.version, maps.Clone(copied.rows), slices.Clone(copied.changeLog)
	s.epoch++
	for key, row := range lost {
		if slices.Contains(kept, row.Table) && s.rows[key].Version != row.Version {
			s.writeLocked(row)
		}
	}
	for key, row := range copied.rows {
		if _, ok := lost[key]; !ok && slices.Contains(kept, row.Table) {
			row.Removed = true
			s.writeLocked(row)
		}
	}
	s.notifyWaiters()
}

// Touch writes a row that nobody reads, so that the version of the store rises.
func (s *Store) Touch(times int) {
	for range times {
		s.Put("touched", "row", nil)
	}
}

func storeKey(table, part, key string) string { return table + "\x00" + part + "\x00" + key }

// writeLocked applies a write or a removal under the next version of the store; the caller holds mu.
func (s *Store) writeLocked(row Row) {
	s.version++
	row.Version = s.version
	if row.Removed {
		delete(s.rows, storeKey(row.Table, row.Part, row.Key))
	} else {
		s.rows[storeKey(row.Table, row.Part, row.Key)] = row
	}
	s.changeLog = append(s.changeLog, row)
	s.notifyWaiters()
}

// notifyWaiters wakes the pending reads of the change feed; the caller holds mu.
func (s *Store) notifyWaiters() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// withFault wraps a handler with the faults that concern whole requests; LoseHistory is up to handleFeed.
func (s *Store) withFault(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.requests++
		fault, epoch := s.fault, s.epoch
		s.mu.Unlock()
		switch {
		case fault == Down:
			w.Header().Set(headerEpoch, strconv.FormatInt(epoch, 10))
			w.WriteHeader(http.StatusServiceUnavailable)
		case fault == Silent:
			for s.currentFault() == Silent && r.Context().Err() == nil {
				time.Sleep(10 * time.Millisecond)
			}
			panic(http.ErrAbortHandler)
		case fault == LateWrites && r.Method == http.MethodPost:
			s.applyLate(next, r)
			panic(http.ErrAbortHandler)
		case fault == LoseAnswers && r.Method == http.MethodPost:
			next.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		default:
			next.ServeHTTP(w, r)
		}
	})
}

// lateWriteDelay is the time from a request to its effect under LateWrites.
const lateWriteDelay = time.Second

// applyLate passes a copy of the request to next after lateWriteDelay, also if the caller is gone by then.
func (s *Store) applyLate(next http.Handler, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	detached := r.Clone(context.WithoutCancel(r.Context()))
	detached.Body = io.NopCloser(bytes.NewReader(body))
	time.AfterFunc(lateWriteDelay, func() { next.ServeHTTP(httptest.NewRecorder(), detached) })
}

func (s *Store) currentFault() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault
}

// handleGet responds with the first rows of a part of a table from a key on, in the order of their keys.
func (s *Store) handleGet(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit > maxPageRows {
		limit = maxPageRows
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads[query.Get("table")]++
	rows := []Row{}
	for _, row := range s.rows {
		if row.Table == query.Get("table") && row.Part == query.Get("part") && row.Key >= query.Get("from") {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	hasMore := len(rows) > limit
	s.writeResponse(w, http.StatusOK, map[string]any{"rows": rows[:min(limit, len(rows))], "hasMore": hasMore})
}

// maxPageRows limits the rows in one response.
const maxPageRows = 500

// handleFeed responds with the changes of a table after a version; it is a long poll that waits up to waitMs for one.
func (s *Store) handleFeed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseInt(query.Get("after"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	waitMs, err := strconv.Atoi(query.Get("waitMs"))
	if err != nil {
		waitMs = 0
	}
	timeout := time.After(time.Duration(waitMs) * time.Millisecond)
	for {
		s.mu.Lock()
		rows, changed, fault := s.changesAfter(query.Get("table"), after), s.changed, s.fault
		if fault == LoseHistory || after > s.version {
			s.writeEpoch(w)
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(rows) > 0 {
			s.writeResponse(w, http.StatusOK, map[string]any{"rows": rows})
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
			s.writeResponse(w, http.StatusOK, map[string]any{"rows": []Row{}})
			s.mu.Unlock()
			return
		}
	}
}

// changesAfter returns the changes of a table after a version, the oldest first; the caller holds mu.
func (s *Store) changesAfter(table string, after int64) []Row {
	var rows []Row
	for _, row := range s.changeLog {
		if row.Table == table && row.Version > after {
			rows = append(rows, row)
		}
	}
	return rows
}

// handleTransaction applies all writes and removals if each expected row has the given version, where 0 stands for a
// row that does not exist; otherwise it responds with status 412 and changes nothing.
func (s *Store) handleTransaction(w http.ResponseWriter, r *http.Request) {
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
		s.writes[row.Table]++
		if s.rows[storeKey(row.Table, row.Part, row.Key)].Version != row.Version {
			s.writeResponse(w, http.StatusPreconditionFailed, map[string]any{"rows": []Row{}})
			return
		}
	}
	for _, row := range body.Writes {
		s.writeLocked(row)
	}
	for _, row := range body.Remove {
		row.Removed = true
		s.writeLocked(row)
	}
	s.writeResponse(w, http.StatusOK, map[string]any{})
}

// headerEpoch is the header field of all answers with the epoch of the store.
const headerEpoch = "Store-Era"

// writeEpoch sets the epoch of an answer; the caller holds mu.
func (s *Store) writeEpoch(w http.ResponseWriter) {
	w.Header().Set(headerEpoch, strconv.FormatInt(s.epoch, 10))
}

// writeResponse adds the store's version and clock to body and writes it as JSON; the caller holds mu.
func (s *Store) writeResponse(w http.ResponseWriter, status int, body map[string]any) {
	body["ver"] = s.version
	body["nowMs"] = (time.Since(s.startTime) + s.clockAhead).Milliseconds()
	s.writeEpoch(w)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // if the write fails, the caller sees a truncated response
}
