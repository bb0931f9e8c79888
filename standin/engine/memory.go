package engine

import (
	"encoding/json"
	"fmt"
	"sort"
	"time"

	"github.com/valyala/fasthttp"

	client "gypsumbank/engine"
)

const weightTimeout = 2 * time.Minute

type memory struct {
	incarnation uint64
	size        uint64
	fence       uint64
	role        string
	residents   map[string]client.Resident
	violations  uint64
}

func (m *memory) used() uint64 {
	var total uint64
	for _, resident := range m.residents {
		total += resident.Bytes
	}
	return total
}

func (m *memory) missing(request client.Request) string {
	for _, name := range []string{request.Model, request.Adapter} {
		resident, ok := m.residents[name]
		if name != "" && (!ok || resident.Loading) {
			return name
		}
	}
	return ""
}

func key(order client.Order) string { return fmt.Sprintf("%s@%d", order.Name, order.Version) }

func (s *Server) state(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := client.State{
		Incarnation: s.memory.incarnation,
		Fence:       s.memory.fence,
		Role:        s.memory.role,
		MemoryBytes: s.memory.size,
		Violations:  s.memory.violations,
	}
	for _, resident := range s.memory.residents {
		state.Residents = append(state.Residents, resident)
	}
	sort.Slice(state.Residents, func(i, j int) bool { return state.Residents[i].Name < state.Residents[j].Name })
	writeJSON(ctx, state)
}

func (s *Server) fence(ctx *fasthttp.RequestCtx) {
	var order client.Order
	if err := json.Unmarshal(ctx.PostBody(), &order); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.admit(order) {
		ctx.Error("old fencing number", fasthttp.StatusPreconditionFailed)
	}
}

func (s *Server) admit(order client.Order) bool {
	if s.config.ChecksFence && order.Fence < s.memory.fence {
		return false
	}
	s.memory.fence = max(s.memory.fence, order.Fence)
	return true
}

func (s *Server) order(ctx *fasthttp.RequestCtx, apply func(*fasthttp.RequestCtx, client.Order)) {
	var order client.Order
	if err := json.Unmarshal(ctx.PostBody(), &order); err != nil || order.Name == "" {
		ctx.Error("an order needs a name", fasthttp.StatusBadRequest)
		return
	}
	faults := s.faults.Get()
	if s.faults.Draw(faults.LoseOrder) {
		s.faults.Wait(time.Hour)
		return
	}
	s.faults.Wait(time.Duration(faults.LateOrderMS) * time.Millisecond)
	apply(ctx, order)
}

func (s *Server) load(ctx *fasthttp.RequestCtx, order client.Order) {
	s.mu.Lock()
	if !s.admit(order) {
		s.mu.Unlock()
		ctx.Error("old fencing number", fasthttp.StatusPreconditionFailed)
		return
	}
	incarnation := s.memory.incarnation
	if _, ok := s.memory.residents[key(order)]; !ok {
		if s.memory.used()+order.Bytes > s.memory.size {
			s.memory.violations++
			s.mu.Unlock()
			ctx.Error("out of memory", fasthttp.StatusInsufficientStorage)
			return
		}
		s.memory.residents[key(order)] = client.Resident{
			Kind: order.Kind, Name: order.Name, Version: order.Version, Bytes: order.Bytes, Loading: true,
		}
	}
	s.mu.Unlock()
	err := s.fetch(order)
	s.finishLoad(order, incarnation, err)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadGateway)
		return
	}
	ctx.SetBodyString("{}")
}

func (s *Server) finishLoad(order client.Order, incarnation uint64, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	resident, ok := s.memory.residents[key(order)]
	if s.memory.incarnation != incarnation || !ok {
		return
	}
	if err != nil && resident.Loading {
		delete(s.memory.residents, key(order))
		return
	}
	if resident.Loading && resident.Kind == client.KindModel {
		s.loads++
	}
	resident.Loading = false
	s.memory.residents[key(order)] = resident
}

func (s *Server) unload(ctx *fasthttp.RequestCtx, order client.Order) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.admit(order) {
		ctx.Error("old fencing number", fasthttp.StatusPreconditionFailed)
		return
	}
	delete(s.memory.residents, key(order))
	ctx.SetBodyString("{}")
}

// setRole takes the name of an order as the engine's role.
func (s *Server) setRole(ctx *fasthttp.RequestCtx, order client.Order) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.admit(order) {
		ctx.Error("old fencing number", fasthttp.StatusPreconditionFailed)
		return
	}
	s.memory.role = order.Name
	ctx.SetBodyString("{}")
}

func (s *Server) fetch(order client.Order) error {
	if s.config.WeightStore == "" {
		return nil
	}
	uri := fmt.Sprintf("http://%s/weights?kind=%s&name=%s", s.config.WeightStore, order.Kind, order.Name)
	status, _, err := fasthttp.GetTimeout(nil, uri, weightTimeout)
	if err != nil {
		return fmt.Errorf("weight store: %w", err)
	}
	if status != fasthttp.StatusOK {
		return fmt.Errorf("weight store: status %d", status)
	}
	return nil
}
