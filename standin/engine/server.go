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
	MemoryBytes      uint64
	Slots            int           // sequences in one batch
	StepBase         time.Duration // time of a decoding step for an empty batch
	StepPerSequence  time.Duration // added to a step by each sequence
	PrefillPerToken  time.Duration
	CacheBlocks      int // prompt blocks that the prefix cache holds
	ChecksFence      bool
	WeightStore      string        // IP address with port; empty loads at once
	RestartTime      time.Duration // time that the engine is away after a crash
	ReportLag        time.Duration // age of load reports
	EventLag         time.Duration // age of cache events
	EventGapPerMille int           // cache events lost, in thousandths
	Seed             uint64
}

// Server is one engine; a crash loses its state and its connections.
type Server struct {
	config      Config
	faults      *fault.Set
	ctx         context.Context
	cancel      context.CancelFunc
	batchesDone chan struct{}

	mu          sync.Mutex
	httpServer  *webserver.Server
	address     string
	control     controlState
	batch       batch
	cache       *prefixCache
	loadReports []loadReport
	crashes     int
	modelLoads  int
	down        bool
}

type loadReport struct {
	takenAt time.Time
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}

// New returns an engine that starts with Start.
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

// Start serves on listener and reports the end of the batching loop on the returned channel.
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

// Close stops the engine.
func (s *Server) Close() {
	s.cancel()
	s.faults.Close()
	s.mu.Lock()
	httpServer := s.httpServer
	s.mu.Unlock()
	httpServer.Close()
	<-s.batchesDone
}

// Faults returns the faults of the engine.
func (s *Server) Faults() *fault.Set { return s.faults }

// Violations returns how many orders would have overrun the memory.
func (s *Server) Violations() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.control.violations
}

// Residents returns the names of the models and adapters that are loaded.
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

// Loads returns how many models were loaded since the engine was made.
func (s *Server) Loads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.modelLoads
}

// Crashes returns how often the engine went down.
func (s *Server) Crashes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashes
}

// Running returns the number of sequences in the batch and waiting for it.
func (s *Server) Running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.batch.running) + len(s.batch.waiting)
}

// Crash takes the engine down for its restart time.
func (s *Server) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crash()
}

func (s *Server) reset() {
	violations := s.control.violations
	s.control = controlState{memoryBytes: s.config.MemoryBytes, residents: map[string]client.Resident{}, violations: violations}
	s.control.incarnation = uint64(time.Now().UnixNano())
	s.batch.closeAll()
	s.batch = batch{slots: max(1, s.config.Slots), sequences: map[string]*sequence{}, importedTokens: map[string]int{}}
	s.cache = newPrefixCache(s.config)
}

func (s *Server) serveOn(listener net.Listener) {
	s.httpServer = webserver.New(&fasthttp.Server{
		Handler:            s.faults.Wrap(s.route),
		MaxRequestBodySize: 64 << 20,
	})
	s.httpServer.Start(listener)
	s.down = false
}

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

func (s *Server) beginPrefill(request client.Request) time.Duration {
	cachedTokens := max(s.batch.importedTokens[request.ID], s.cache.lookupAndStore(request))
	delete(s.batch.importedTokens, request.ID)
	uncachedTokens := promptTokens(request) + len(request.Prefix) - cachedTokens
	return time.Duration(max(0, uncachedTokens)) * s.config.PrefillPerToken
}

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

// handleImport takes over the KV cache of a request that another engine exported; the request then needs no prefill here.
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
