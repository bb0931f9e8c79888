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
	MemoryBytes        uint64
	Slots              int           // sequences in one batch
	StepBase           time.Duration // time of a decoding step for an empty batch
	StepPerSequence    time.Duration // added to a step by each sequence
	PrefillPerToken    time.Duration
	CacheBlocks        int // prompt blocks that the prefix cache holds
	ChecksFence        bool
	WeightStore        string        // IP address with port; empty loads at once
	RestartTime        time.Duration // time that the engine is away after a crash
	ReportLag          time.Duration // age of load reports
	EventLag           time.Duration // age of cache events
	LostEventsPerMille int           // cache events lost, in thousandths
	Seed               uint64
}

// Server is one engine; a crash loses its state and its connections.
type Server struct {
	config Config
	faults *fault.Set
	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{}

	mu      sync.Mutex
	web     *webserver.Server
	address string
	memory  memory
	batch   batch
	cache   *prefixCache
	reports []loadReport
	crashes int
	loads   int
	down    bool
}

type loadReport struct {
	at      time.Time
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}

// New returns an engine that starts with Start.
func New(config Config) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{
		config: config,
		faults: fault.New(config.Seed),
		ctx:    ctx,
		cancel: cancel,
		done:   make(chan struct{}),
	}
	s.reset()
	return s
}

// Start serves on listener and reports the end of the batching loop on the returned channel.
func (s *Server) Start(listener net.Listener) <-chan error {
	s.mu.Lock()
	s.address = listener.Addr().String()
	s.listen(listener)
	s.mu.Unlock()
	ended := make(chan error, 1)
	go func() {
		s.run()
		close(s.done)
		ended <- nil
	}()
	return ended
}

// Close stops the engine.
func (s *Server) Close() {
	s.cancel()
	s.faults.Close()
	s.mu.Lock()
	web := s.web
	s.mu.Unlock()
	web.Close()
	<-s.done
}

// Faults returns the faults of the engine.
func (s *Server) Faults() *fault.Set { return s.faults }

// Violations returns how many orders would have overrun the memory.
func (s *Server) Violations() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.memory.violations
}

// Residents returns the names of the models and adapters that are loaded.
func (s *Server) Residents() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for _, resident := range s.memory.residents {
		if !resident.Loading {
			names = append(names, resident.Name)
		}
	}
	return names
}

// ModelLoads returns how many models were loaded since the engine was made.
func (s *Server) ModelLoads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loads
}

// Crashes returns how often the engine went down.
func (s *Server) Crashes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashes
}

// InFlight returns the number of sequences in the batch and waiting for it.
func (s *Server) InFlight() int {
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
	violations := s.memory.violations
	s.memory = memory{size: s.config.MemoryBytes, residents: map[string]client.Resident{}, violations: violations}
	s.memory.incarnation = uint64(time.Now().UnixNano())
	s.batch.abandon()
	s.batch = batch{slots: max(1, s.config.Slots), sequences: map[string]*sequence{}, imported: map[string]int{}}
	s.cache = newPrefixCache(s.config)
}

func (s *Server) listen(listener net.Listener) {
	s.web = webserver.New(&fasthttp.Server{
		Handler:            s.faults.Handle(s.handle),
		MaxRequestBodySize: 64 << 20,
	})
	s.web.Start(listener)
	s.down = false
}

func (s *Server) crash() {
	if s.down {
		return
	}
	s.down = true
	s.crashes++
	s.web.Close()
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
	s.listen(listener)
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	posts := map[string]fasthttp.RequestHandler{
		"/v1/completions": s.complete,
		"/control/fence":  s.fence,
		"/control/load":   func(ctx *fasthttp.RequestCtx) { s.order(ctx, s.load) },
		"/control/unload": func(ctx *fasthttp.RequestCtx) { s.order(ctx, s.unload) },
		"/control/role":   func(ctx *fasthttp.RequestCtx) { s.order(ctx, s.setRole) },
	}
	gets := map[string]fasthttp.RequestHandler{
		"/control/state": s.state,
		"/load":          s.report,
		"/cache-events":  s.events,
	}
	path := string(ctx.Path())
	handler := gets[path]
	if ctx.IsPost() {
		handler = posts[path]
	}
	rest, ofRequest := strings.CutPrefix(path, "/v1/requests/")
	switch {
	case handler != nil:
		handler(ctx)
	case ofRequest && ctx.IsPost():
		s.sequenceCall(ctx, rest)
	default:
		ctx.Error("no such call", fasthttp.StatusNotFound)
	}
}

func (s *Server) complete(ctx *fasthttp.RequestCtx) {
	var request client.Request
	if err := json.Unmarshal(ctx.PostBody(), &request); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	s.mu.Lock()
	missing := s.memory.missing(request)
	if missing != "" {
		s.mu.Unlock()
		ctx.Error(missing+" is not resident", fasthttp.StatusNotFound)
		return
	}
	seq := s.batch.add(request, s.prefillTime(request))
	s.mu.Unlock()
	ctx.SetContentType("text/event-stream")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) { s.stream(w, seq) })
}

func (s *Server) prefillTime(request client.Request) time.Duration {
	held := max(s.batch.imported[request.ID], s.cache.touch(request))
	delete(s.batch.imported, request.ID)
	tokens := promptTokens(request) + len(request.Prefix) - held
	return time.Duration(max(0, tokens)) * s.config.PrefillPerToken
}

func (s *Server) stream(w *bufio.Writer, seq *sequence) {
	defer s.remove(seq)
	for chunk := range seq.out {
		line, _ := json.Marshal(chunk)
		if s.faults.Get().Silent {
			s.faults.Wait(time.Hour)
			return
		}
		if _, err := fmt.Fprintf(w, "data: %s\n\n", line); err != nil {
			return
		}
		if err := w.Flush(); err != nil {
			return
		}
	}
}

func (s *Server) remove(seq *sequence) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.batch.remove(seq)
}

func (s *Server) report(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var lagging loadReport
	for _, report := range s.reports {
		if time.Since(report.at) >= s.config.ReportLag {
			lagging = report
		}
	}
	writeJSON(ctx, lagging)
}

func (s *Server) events(ctx *fasthttp.RequestCtx) {
	after, _ := strconv.ParseUint(string(ctx.QueryArgs().Peek("after")), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(ctx, s.cache.since(after))
}

func (s *Server) sequenceCall(ctx *fasthttp.RequestCtx, rest string) {
	id, call, _ := strings.Cut(rest, "/")
	s.mu.Lock()
	defer s.mu.Unlock()
	seq, ok := s.batch.sequences[id]
	switch {
	case call == "import":
		s.importKV(ctx, id)
	case !ok:
		ctx.Error("no such request", fasthttp.StatusNotFound)
	case call == "cancel":
		s.batch.remove(seq)
	case call == "export":
		writeJSON(ctx, seq.export())
	default:
		ctx.Error("no such call", fasthttp.StatusNotFound)
	}
}

// importKV takes over the KV cache of a request that another engine exported; the request then needs no prefill here.
func (s *Server) importKV(ctx *fasthttp.RequestCtx, id string) {
	var request client.Request
	if err := json.Unmarshal(ctx.PostBody(), &request); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	s.batch.imported[id] = promptTokens(request) + len(request.Prefix)
}

func writeJSON(ctx *fasthttp.RequestCtx, value any) {
	body, _ := json.Marshal(value)
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
