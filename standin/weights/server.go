package weights

import (
	"context"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"gypsumbank/standin/host"
)

// Limits describe the throughput of the store.
type Limits struct {
	LoadsPerSecond        float64       // model loads that may start per second; others wait
	FullSpeedModelLoads   int           // concurrent model loads at full speed; also the burst of LoadsPerSecond
	ModelLoadTime         time.Duration // time of a model load at full speed
	FullSpeedAdapterLoads int           // concurrent adapter loads at full speed
	AdapterLoadTime       time.Duration // time of an adapter load at full speed
}

// Server serves loads of weights; with more concurrent loads than run at full speed, loads take proportionally longer.
type Server struct {
	*host.Host
	limits     Limits
	loadStarts *rate.Limiter // starts of model loads

	mu               sync.Mutex
	modelsInFlight   int
	adaptersInFlight int
	modelLoads       int // completed
}

// New returns a weight store with the given limits; seed is that of its faults.
func New(limits Limits, seed uint64) *Server {
	s := &Server{
		limits:     limits,
		loadStarts: rate.NewLimiter(rate.Limit(limits.LoadsPerSecond), limits.FullSpeedModelLoads),
	}
	s.Host = host.New(s.route, seed)
	return s
}

// ModelLoads returns the number of completed model loads.
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
		s.deliver(&s.adaptersInFlight, s.limits.AdapterLoadTime, s.limits.FullSpeedAdapterLoads)
	default:
		ctx.Error("kind must be model or adapter", fasthttp.StatusBadRequest)
	}
}

// deliverModel waits for its turn under LoadsPerSecond and then for the time of the load.
func (s *Server) deliverModel() {
	if err := s.loadStarts.Wait(context.Background()); err != nil {
		return
	}
	s.deliver(&s.modelsInFlight, s.limits.ModelLoadTime, s.limits.FullSpeedModelLoads)
	s.mu.Lock()
	s.modelLoads++
	s.mu.Unlock()
}

// deliver waits for the time of a load. The time is set at the start: it grows with the number of loads then in flight
// in relation to fullSpeedLoads, and with the Slowdown fault.
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
