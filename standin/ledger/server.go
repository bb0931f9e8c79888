package ledger

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"gypsumbank/standin/host"
)

// CrashingID is how the ids of events begin under which a replica crashes. It is back after crashDowntime.
const (
	CrashingID    = "crash"
	crashDowntime = 500 * time.Millisecond
)

// Server is one replica of the service. It counts the runs of each event and doesn't remove duplicates, so that tests
// can see requests that were executed twice.
type Server struct {
	*host.Host
	counts *Counts
}

// Counts holds the number of runs of each event over all replicas that share it.
type Counts struct {
	mu   sync.Mutex
	runs map[string]int // by event id
}

// Event is the body of a request to record a business event.
type Event struct {
	ID string `json:"id"`
}

// NewCounts returns empty counts.
func NewCounts() *Counts { return &Counts{runs: map[string]int{}} }

// Runs returns the number of runs of an event.
func (c *Counts) Runs(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs[id]
}

// increment counts a run of an event and returns the number of its runs.
func (c *Counts) increment(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[id]++
	return c.runs[id]
}

// New returns a replica that counts runs in counts; seed is that of its faults.
func New(counts *Counts, seed uint64) *Server {
	s := &Server{counts: counts}
	s.Host = host.New(s.route, seed)
	return s
}

func (s *Server) route(ctx *fasthttp.RequestCtx) {
	switch {
	case string(ctx.Path()) == "/events" && ctx.IsPost():
		s.handleRecord(ctx)
	case string(ctx.Path()) == "/events" && ctx.IsGet():
		s.handleRuns(ctx)
	default:
		ctx.Error("no such call", fasthttp.StatusNotFound)
	}
}

func (s *Server) handleRecord(ctx *fasthttp.RequestCtx) {
	var event Event
	if err := json.Unmarshal(ctx.PostBody(), &event); err != nil || event.ID == "" {
		ctx.Error("an event needs an id", fasthttp.StatusBadRequest)
		return
	}
	runs := s.counts.increment(event.ID)
	if strings.HasPrefix(event.ID, CrashingID) {
		s.Crash(crashDowntime)
		return
	}
	ctx.SetStatusCode(fasthttp.StatusCreated)
	ctx.SetContentType("application/json")
	ctx.SetBodyString(fmt.Sprintf(`{"id":%q,"runs":%d}`, event.ID, runs))
}

func (s *Server) handleRuns(ctx *fasthttp.RequestCtx) {
	id := string(ctx.QueryArgs().Peek("id"))
	ctx.SetContentType("application/json")
	ctx.SetBodyString(fmt.Sprintf(`{"id":%q,"runs":%d}`, id, s.counts.Runs(id)))
}
