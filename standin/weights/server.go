package weights

import (
	"context"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"gypsumbank/standin/host"
)

// Limits describe what the store allows.
type Limits struct {
	LoadsPerSecond        float64       // model loads started a second
	FullSpeedModelLoads   int           // model loads at once at full speed
	ModelLoadTime         time.Duration // time of a model load at full speed
	FullSpeedAdapterLoads int           // adapter loads at once at full speed
	AdapterLoadTime       time.Duration // time of an adapter load at full speed
}

// Server delivers weights; loads beyond the limits take proportionally longer.
type Server struct {
	*host.Host
	limits Limits
	starts *rate.Limiter

	mu       sync.Mutex
	models   int
	adapters int
	served   int
}

// New returns a store with the given limits.
func New(limits Limits, seed uint64) *Server {
	s := &Server{
		limits: limits,
		starts: rate.NewLimiter(rate.Limit(limits.LoadsPerSecond), limits.FullSpeedModelLoads),
	}
	s.Host = host.New(s.handle, seed)
	return s
}

// ModelLoads returns how many models have been delivered.
func (s *Server) ModelLoads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.served
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.QueryArgs().Peek("kind")) {
	case "model":
		s.deliverModel()
	case "adapter":
		s.deliver(&s.adapters, s.limits.AdapterLoadTime, s.limits.FullSpeedAdapterLoads)
	default:
		ctx.Error("kind must be model or adapter", fasthttp.StatusBadRequest)
	}
}

func (s *Server) deliverModel() {
	if err := s.starts.Wait(context.Background()); err != nil {
		return
	}
	s.deliver(&s.models, s.limits.ModelLoadTime, s.limits.FullSpeedModelLoads)
	s.mu.Lock()
	s.served++
	s.mu.Unlock()
}

func (s *Server) deliver(inFlight *int, full time.Duration, limit int) {
	s.mu.Lock()
	*inFlight++
	factor := max(1, float64(*inFlight)/float64(max(1, limit)))
	s.mu.Unlock()
	factor *= max(1, s.Faults().Get().Slowdown)
	s.Faults().Wait(time.Duration(float64(full) * factor))
	s.mu.Lock()
	*inFlight--
	s.mu.Unlock()
}
