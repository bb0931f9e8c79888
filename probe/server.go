package probe

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"

	"gypsumbank/keepalive"
	"gypsumbank/webserver"
)

const (
	ioTimeout = 2 * time.Second
	// stopTime is the time at the end of the process for the last answers.
	stopTime = 500 * time.Millisecond
	// maxConns is the number of connections, of which a platform's checks and a scraper of metrics need a few.
	maxConns = 64
	// silentWait is how long a connection on which nothing has come is kept while others wait for places. Checks come from near by and send at once.
	silentWait = 20 * time.Millisecond
	// maxHeaderBytes and maxBodyBytes bound requests; checks have no body.
	maxHeaderBytes = 8 << 10
	maxBodyBytes   = 4 << 10
)

// Server answers /healthz, /readyz and /metrics, and the paths that are added.
type Server struct {
	address      string
	ready        func() error
	added        map[string]fasthttp.RequestHandler // by path
	maxBodyBytes int
}

// New returns a server at address, or one that serves nothing if address is empty. ready returns nil if the process is ready,
// and otherwise the reason why it is not.
func New(address string, ready func() error) *Server {
	return &Server{address: address, ready: ready, added: map[string]fasthttp.RequestHandler{}, maxBodyBytes: maxBodyBytes}
}

// Add has the server answer a further path, with bodies of requests of up to a number of bytes. It must be called before Run.
func (s *Server) Add(path string, maxBodyBytes int, handler fasthttp.RequestHandler) {
	s.added[path] = handler
	s.maxBodyBytes = max(s.maxBodyBytes, maxBodyBytes)
}

// Run serves until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	if s.address == "" {
		<-ctx.Done()
		return nil
	}
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return fmt.Errorf("health check server: %w", err)
	}
	handler := func(ctx *fasthttp.RequestCtx) {
		if !s.Handle(ctx) {
			ctx.Error("not found", fasthttp.StatusNotFound)
		}
	}
	web := webserver.New(&fasthttp.Server{
		Handler: handler, ReadTimeout: ioTimeout, WriteTimeout: ioTimeout, ReadBufferSize: maxHeaderBytes, MaxRequestBodySize: s.maxBodyBytes, Concurrency: 2 * maxConns,
		ReduceMemoryUsage: true,
	})
	web.SetLimits(keepalive.Limits{MaxOpen: maxConns, SilentWait: silentWait})
	serveErr := web.Start(listener)
	select {
	case <-ctx.Done():
		stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTime)
		defer cancel()
		_ = web.Shutdown(stopCtx) // what is left at the end of the time is closed
		return <-serveErr
	case err := <-serveErr:
		return err
	}
}

// Handle answers a request for one of the server's paths, and reports whether the request was for one.
func (s *Server) Handle(ctx *fasthttp.RequestCtx) bool {
	switch string(ctx.Path()) {
	case "/healthz":
		ctx.SetBodyString("ok\n")
	case "/readyz":
		if err := s.ready(); err != nil {
			ctx.Error(err.Error()+"\n", fasthttp.StatusServiceUnavailable)
			return true
		}
		ctx.SetBodyString("ready\n")
	case "/metrics":
		ctx.SetContentType("text/plain; version=0.0.4")
		metrics.WritePrometheus(ctx, true)
	default:
		handler, ok := s.added[string(ctx.Path())]
		if ok {
			handler(ctx)
		}
		return ok
	}
	return true
}
