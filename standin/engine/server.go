package engine

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	client "gypsumbank/engine"
	"gypsumbank/standin/fault"
	"gypsumbank/webserver"
)

// Config describes the accelerator and the engine on it.
type Config struct {
	MemoryBytes        uint64        // memory for models and adapters
	Slots              int           // sequences in one batch
	StepBase           time.Duration // time of a decoding step for an empty batch
	StepPerSequence    time.Duration // added to a step by each sequence
	PrefillPerToken    time.Duration // prefill time of each prompt token that is not cached
	CacheBlocks        int           // prompt blocks that the prefix cache holds
	ChecksFence        bool          // refuse orders with a lower fencing number than one seen before
	WeightStore        string        // IP address with port; if empty, loads take no time
	RestartTime        time.Duration // time from a crash until the engine accepts connections again
	ReportLag          time.Duration // minimum age of load reports
	EventLag           time.Duration // minimum age of cache events
	LostEventsPerMille int           // cache events lost, in thousandths
	Seed               uint64        // of the faults and of the cache events that are lost
}

// Server simulates one engine; a crash loses its state and its connections.
type Server struct {
	config      Config
	faults      *fault.Set
	ctx         context.Context
	cancel      context.CancelFunc
	batchesDone chan struct{}

	mu          sync.Mutex
	httpServer  *webserver.Server
	address     string // kept across restarts
	control     controlState
	batch       batch
	cache       *prefixCache
	loadReports []loadReport // the last maxLoadReports, one for each decoding step
	crashes     int
	modelLoads  int
	down        bool // between a crash and the restart
}

// loadReport is the number of sequences in the batch and in its queue at a time.
type loadReport struct {
	takenAt time.Time
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}

// New returns an engine with an empty memory that serves once Start is called.
func New(config Config) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{
		config:      config,
		faults:      fault.New(config.Seed),
		ctx:         ctx,
		cancel:      cancel,
		batchesDone: make(chan struct{}),
	}
	s.reset()
	return s
}

// Start serves on listener and runs decoding steps until Close; the returned channel gets nil when they have ended.
func (s *Server) Start(listener net.Listener) <-chan error {
	s.mu.Lock()
	s.address = listener.Addr().String()
	s.serveOn(listener)
	s.mu.Unlock()
	result := make(chan error, 1)
	go func() {
		s.runBatches()
		close(s.batchesDone)
		result <- nil
	}()
	return result
}

// Close stops the engine, drops its connections and ends waits that faults have caused.
func (s *Server) Close() {
	s.cancel()
	s.faults.Close()
	s.mu.Lock()
	httpServer := s.httpServer
	s.mu.Unlock()
	httpServer.Close()
	<-s.batchesDone
}

// Faults returns the set through which the engine's faults are read and changed.
func (s *Server) Faults() *fault.Set { return s.faults }

// Violations returns the number of loads refused because they exceeded the memory, over all restarts.
func (s *Server) Violations() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.control.violations
}

// Residents returns the names of the models and adapters that are fully loaded.
func (s *Server) Residents() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for _, resident := range s.control.residents {
		if !resident.Loading {
			names = append(names, resident.Name)
		}
	}
	return names
}

// ModelLoads returns the number of models loaded so far, over all restarts; adapters don't count.
func (s *Server) ModelLoads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.modelLoads
}

// Crashes returns the number of crashes so far.
func (s *Server) Crashes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashes
}

// InFlight returns the number of sequences in the batch and in its queue.
func (s *Server) InFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.batch.running) + len(s.batch.waiting)
}

// Crash drops the engine's state and connections; it restarts after its restart time.
func (s *Server) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crash()
}

// reset empties the memory, the batch and the prefix cache and begins a new incarnation; counts over all restarts stay.
func (s *Server) reset() {
	violations := s.control.violations
	s.control = controlState{memoryBytes: s.config.MemoryBytes, residents: map[string]client.Resident{}, violations: violations}
	s.control.incarnation = uint64(time.Now().UnixNano())
	s.batch.closeAll()
	s.batch = batch{slots: max(1, s.config.Slots), sequences: map[string]*sequence{}, importedTokens: map[string]int{}}
	s.cache = newPrefixCache(s.config)
}

// serveOn starts the HTTP server; the caller holds mu.
func (s *Server) serveOn(listener net.Listener) {
	s.httpServer = webserver.New(&fasthttp.Server{
		Handler:            s.faults.Wrap(s.route),
		MaxRequestBodySize: 64 << 20,
	})
	s.httpServer.Start(listener)
	s.down = false
}

// crash is Crash for callers that hold mu; it does nothing while the engine is down.
func (s *Server) crash() {
	if s.down {
		return
	}
	s.down = true
	s.crashes++
	s.httpServer.Close()
	s.reset()
	time.AfterFunc(s.config.RestartTime, s.restart)
}

// restart serves on the former address again; it retries every 100 ms while the address is not available.
func (s *Server) restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx.Err() != nil {
		return
	}
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		time.AfterFunc(100*time.Millisecond, s.restart)
		return
	}
	s.serveOn(listener)
}

func (s *Server) route(ctx *fasthttp.RequestCtx) {
	posts := map[string]fasthttp.RequestHandler{
		"/v1/completions": s.handleCompletion,
		"/control/fence":  s.handleFence,
		"/control/load":   func(ctx *fasthttp.RequestCtx) { s.handleOrder(ctx, s.handleLoadOrder) },
		"/control/unload": func(ctx *fasthttp.RequestCtx) { s.handleOrder(ctx, s.handleUnloadOrder) },
		"/control/role":   func(ctx *fasthttp.RequestCtx) { s.handleOrder(ctx, s.handleRoleOrder) },
	}
	gets := map[string]fasthttp.RequestHandler{
		"/control/state": s.handleState,
		"/load":          s.handleLoadReport,
		"/cache-events":  s.handleCacheEvents,
	}
	path := string(ctx.Path())
	handler := gets[path]
	if ctx.IsPost() {
		handler = posts[path]
	}
	requestPath, isRequestCall := strings.CutPrefix(path, "/v1/requests/")
	switch {
	case handler != nil:
		handler(ctx)
	case isRequestCall && ctx.IsPost():
		s.handleRequestCall(ctx, requestPath)
	default:
		ctx.Error("no such call", fasthttp.StatusNotFound)
	}
}

// handleCompletion queues a request and streams its answer; it responds with status 404 if the model or adapter is not
// loaded.
func (s *Server) handleCompletion(ctx *fasthttp.RequestCtx) {
	var request client.Request
	if err := json.Unmarshal(ctx.PostBody(), &request); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	s.mu.Lock()
	missing := s.control.missingResident(request)
	if missing != "" {
		s.mu.Unlock()
		ctx.Error(missing+" is not resident", fasthttp.StatusNotFound)
		return
	}
	seq := s.batch.add(request, s.beginPrefill(request))
	s.mu.Unlock()
	ctx.SetContentType("text/event-stream")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) { s.streamChunks(w, seq) })
}

// beginPrefill returns the time to prefill the tokens of a request that neither an imported KV cache nor the prefix
// cache holds. It stores the prompt in the prefix cache and uses up the imported KV cache; the caller holds mu.
func (s *Server) beginPrefill(request client.Request) time.Duration {
	cachedTokens := max(s.batch.importedTokens[request.ID], s.cache.lookupAndStore(request))
	delete(s.batch.importedTokens, request.ID)
	uncachedTokens := promptTokens(request) + len(request.Prefix) - cachedTokens
	return time.Duration(max(0, uncachedTokens)) * s.config.PrefillPerToken
}

// streamChunks writes the chunks of a sequence as server-sent events. If the Silent fault is set, the stream stalls and
// stays stalled, also when the fault is cleared.
func (s *Server) streamChunks(w *bufio.Writer, seq *sequence) {
	defer s.removeSequence(seq)
	for chunk := range seq.chunks {
		data, _ := json.Marshal(chunk)
		if s.faults.Get().Silent {
			s.faults.Wait(time.Hour)
			return
		}
		if _, err := fmt.Fprintf(w, "data: %s\n\n", data); err != nil {
			return
		}
		if err := w.Flush(); err != nil {
			return
		}
	}
}

func (s *Server) removeSequence(seq *sequence) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.batch.remove(seq)
}

// handleLoadReport responds with the newest load report that is at least ReportLag old.
func (s *Server) handleLoadReport(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var visible loadReport
	for _, report := range s.loadReports {
		if time.Since(report.takenAt) >= s.config.ReportLag {
			visible = report
		}
	}
	writeJSON(ctx, visible)
}

func (s *Server) handleCacheEvents(ctx *fasthttp.RequestCtx) {
	after, _ := strconv.ParseUint(string(ctx.QueryArgs().Peek("after")), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(ctx, s.cache.eventsAfter(after))
}

// handleRequestCall cancels a request or exports or imports its KV cache; requestPath is its id, a slash and the call.
func (s *Server) handleRequestCall(ctx *fasthttp.RequestCtx, requestPath string) {
	id, call, _ := strings.Cut(requestPath, "/")
	s.mu.Lock()
	defer s.mu.Unlock()
	seq, ok := s.batch.sequences[id]
	switch {
	case call == "import":
		s.handleImport(ctx, id)
	case !ok:
		ctx.Error("no such request", fasthttp.StatusNotFound)
	case call == "cancel":
		s.batch.remove(seq)
	case call == "export":
		writeJSON(ctx, seq.exportedRequest())
	default:
		ctx.Error("no such call", fasthttp.StatusNotFound)
	}
}

// handleImport imports the KV cache of a request that another engine has exported; when the request arrives here, the
// tokens of the imported cache need no prefill.
func (s *Server) handleImport(ctx *fasthttp.RequestCtx, id string) {
	var request client.Request
	if err := json.Unmarshal(ctx.PostBody(), &request); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	s.batch.importedTokens[id] = promptTokens(request) + len(request.Prefix)
}

func writeJSON(ctx *fasthttp.RequestCtx, value any) {
	body, _ := json.Marshal(value)
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
