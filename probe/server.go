package probe

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"

	"gypsumbank/webserver"
)

const timeout = 5 * time.Second

// Server answers /healthz, /readyz and /metrics.
type Server struct {
	address string
	ready   func() error
}

// New returns a server at address, or one that does nothing if address is empty; ready tells why the process is not
// ready.
func New(address string, ready func() error) *Server {
	return &Server{address: address, ready: ready}
}

// Run serves until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	if s.address == "" {
		<-ctx.Done()
		return nil
	}
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return fmt.Errorf("health checks: %w", err)
	}
	handler := func(ctx *fasthttp.RequestCtx) {
		if !s.Handle(ctx) {
			ctx.Error("not found", fasthttp.StatusNotFound)
		}
	}
	web := webserver.New(&fasthttp.Server{Handler: handler, ReadTimeout: timeout, WriteTimeout: timeout})
	ended := web.Start(listener)
	select {
	case <-ctx.Done():
		web.Close()
		return <-ended
	case err := <-ended:
		return err
	}
}

// Handle answers the request if it is for one of the server's paths and reports whether it was.
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
		return false
	}
	return true
}
