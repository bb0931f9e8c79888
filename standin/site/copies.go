package site

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// Copies are the copies of runs that the targets of a test keep for each other, and the times for which targets worked on the same run.
type Copies struct {
	mu      sync.Mutex
	refuse  bool
	kept    map[string]bool      // by ADDRESS/REQUEST-ID
	working map[string]time.Time // by request id: when a target that works on the run began to
	workers map[string]int       // by request id
	overlap time.Duration
	used    []string
}

// NewCopies returns an empty set of copies.
func NewCopies() *Copies {
	return &Copies{kept: map[string]bool{}, working: map[string]time.Time{}, workers: map[string]int{}}
}

// Refuse makes targets keep no copies, or keep them again.
func (c *Copies) Refuse(refuse bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refuse = refuse
}

// Kept returns the number of copies that were made.
func (c *Copies) Kept() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.kept)
}

// Used returns the copies that runs have gone on from, as ADDRESS/REQUEST-ID.
func (c *Copies) Used() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.used...)
}

// Overlap returns the longest time for which two targets worked on the same run.
func (c *Copies) Overlap() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.overlap
}

// Handler returns a handler that keeps copies where requests ask for them, refuses with status 503 to go on from a copy that is not kept, and
// otherwise passes requests to handler.
func (c *Copies) Handler(handler Handler) Handler {
	return func(conn net.Conn, request *ReceivedRequest) bool {
		id := request.Header.Get("X-Gypsumbank-Request-Id")
		if !c.begin(id, request.Header.Get("X-Gypsumbank-Kv-Backup"), request.Header.Get("Kv-From")) {
			return TextResponse(http.StatusServiceUnavailable, "no copy")(conn, request)
		}
		defer c.end(id)
		return handler(conn, request)
	}
}

// begin records that a target begins to work on a run; it returns false if the run is to go on from a copy that is not kept.
func (c *Copies) begin(id, backup, from string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if backup != "" && !c.refuse {
		c.kept[backup+"/"+id] = true
	}
	if from != "" {
		if !c.kept[from] {
			return false
		}
		c.used = append(c.used, from)
	}
	c.workers[id]++
	c.working[id] = time.Now()
	return true
}

// end records that a target works on a run no more.
func (c *Copies) end(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.workers[id]--; c.workers[id] > 0 {
		c.overlap = max(c.overlap, time.Since(c.working[id]))
	}
}
