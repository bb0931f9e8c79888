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
	LoadsPerSecond   float64       // model loads started a second
	FullSpeedLoads   int           // model loads at once at full speed
	LoadTime         time.Duration // time of a model load at full speed
	AdaptersInFlight int           // adapter loads at once at full speed
	AdapterTime      time.Duration // time of an adapter load at full speed
}

// Server delivers weights; loads beyond the limits take proportionally longer.
type Server struct {
	*host.Host
	limits     Limits
	loadStarts *rate.Limiter

	mu               sync.Mutex
	modelsInFlight   int
	adaptersInFlight int
	modelLoads       int
}

// New returns a store with the given limits.
func New(limits Limits, seed uint64) *Server {
	s := &Server{
		limits:     limits,
		loadStarts: rate.NewLimiter(rate.Limit(limits.LoadsPerSecond), limits.FullSpeedLoads),
	}
	s.Host = host.New(s.route, seed)
	return s
}

// ModelLoads returns how many models have been delivered.
func (s *Server) ModelLoads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.modelLoads
}

func (s *Server) route(ctx *fasthttp.RequestCtx) {
	switch string(ctx.QueryArgs().Peek("kind")) {
	case "model":
		s.deliverModel()
	case "adapter":
		s.deliver(&s.adaptersInFlight, s.limits.AdapterTime, s.limits.AdaptersInFlight)
	default:
		ctx.Error("kind must be model or adapter", fasthttp.StatusBadRequest)
	}
}

func (s *Server) deliverModel() {
	if err := s.loadStarts.Wait(context.Background()); err != nil {
		return
	}
	s.deliver(&s.modelsInFlight, s.limits.LoadTime, s.limits.FullSpeedLoads)
	s.mu.Lock()
	s.modelLoads++
	s.mu.Unlock()
}

func (s *Server) deliver(inFlight *int, fullSpeedTime time.Duration, fullSpeedLoads int) {
	s.mu.Lock()
	*inFlight++
	factor := max(1, float64(*inFlight)/float64(max(1, fullSpeedLoads)))
	s.mu.Unlock()
	factor *= max(1, s.Faults().Get().Slowdown)
	s.Faults().Wait(time.Duration(float64(fullSpeedTime) * factor))
	s.mu.Lock()
	*inFlight--
	s.mu.Unlock()
}
