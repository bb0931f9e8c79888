package engine

import (
	"encoding/json"
	"fmt"
	"sort"
	"time"

	"github.com/valyala/fasthttp"

	client "gypsumbank/engine"
)

const weightFetchTimeout = 2 * time.Minute

// controlState is what the calls below /control read and change. A crash clears it, except for violations.
type controlState struct {
	incarnation uint64 // start time in nanoseconds, so it differs after each restart
	memoryBytes uint64
	fence       uint64 // highest fencing number seen
	role        string
	residents   map[string]client.Resident // by residentKey, those that are still loading included
	violations  uint64                     // loads refused because they exceeded the memory
}

// usedBytes returns the memory of all residents; one that is still loading counts in full.
func (c *controlState) usedBytes() uint64 {
	var total uint64
	for _, resident := range c.residents {
		total += resident.Bytes
	}
	return total
}

// missingResident returns the model or adapter of a request that is not fully loaded, or "" if both are.
func (c *controlState) missingResident(request client.Request) string {
	for _, name := range []string{request.Model, request.Adapter} {
		resident, ok := c.residents[name]
		if name != "" && (!ok || resident.Loading) {
			return name
		}
	}
	return ""
}

// residentKey returns the name by which requests refer to a version of a model or adapter.
func residentKey(order client.Order) string { return fmt.Sprintf("%s@%d", order.Name, order.Version) }

func (s *Server) handleState(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := client.State{
		Incarnation: s.control.incarnation,
		Fence:       s.control.fence,
		Role:        s.control.role,
		MemoryBytes: s.control.memoryBytes,
		Violations:  s.control.violations,
	}
	for _, resident := range s.control.residents {
		state.Residents = append(state.Residents, resident)
	}
	sort.Slice(state.Residents, func(i, j int) bool { return state.Residents[i].Name < state.Residents[j].Name })
	writeJSON(ctx, state)
}

func (s *Server) handleFence(ctx *fasthttp.RequestCtx) {
	var order client.Order
	if err := json.Unmarshal(ctx.PostBody(), &order); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.acceptFence(order) {
		ctx.Error("old fencing number", fasthttp.StatusPreconditionFailed)
	}
}

// acceptFence records the fencing number of an order; it returns false if the engine checks fencing numbers and has
// seen a higher one. The caller holds mu.
func (s *Server) acceptFence(order client.Order) bool {
	if s.config.ChecksFence && order.Fence < s.control.fence {
		return false
	}
	s.control.fence = max(s.control.fence, order.Fence)
	return true
}

// handleOrder decodes an order and applies it, subject to the faults that lose or delay orders.
func (s *Server) handleOrder(ctx *fasthttp.RequestCtx, apply func(*fasthttp.RequestCtx, client.Order)) {
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

// handleLoadOrder reserves memory for a model or adapter, fetches its weights and responds when it is loaded. A
// repeated order reserves nothing but fetches the weights again.
func (s *Server) handleLoadOrder(ctx *fasthttp.RequestCtx, order client.Order) {
	s.mu.Lock()
	if !s.acceptFence(order) {
		s.mu.Unlock()
		ctx.Error("old fencing number", fasthttp.StatusPreconditionFailed)
		return
	}
	incarnation := s.control.incarnation
	if _, ok := s.control.residents[residentKey(order)]; !ok {
		if s.control.usedBytes()+order.Bytes > s.control.memoryBytes {
			s.control.violations++
			s.mu.Unlock()
			ctx.Error("out of memory", fasthttp.StatusInsufficientStorage)
			return
		}
		s.control.residents[residentKey(order)] = client.Resident{
			Kind: order.Kind, Name: order.Name, Version: order.Version, Bytes: order.Bytes, Loading: true,
		}
	}
	s.mu.Unlock()
	err := s.fetchWeights(order)
	s.finishLoad(order, incarnation, err)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadGateway)
		return
	}
	ctx.SetBodyString("{}")
}

// finishLoad marks a load as complete, or frees its memory if it failed. It does nothing if the engine has restarted or
// the model or adapter was unloaded in the meantime.
func (s *Server) finishLoad(order client.Order, incarnation uint64, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	resident, ok := s.control.residents[residentKey(order)]
	if s.control.incarnation != incarnation || !ok {
		return
	}
	if err != nil && resident.Loading {
		delete(s.control.residents, residentKey(order))
		return
	}
	if resident.Loading && resident.Kind == client.KindModel {
		s.modelLoads++
	}
	resident.Loading = false
	s.control.residents[residentKey(order)] = resident
}

func (s *Server) handleUnloadOrder(ctx *fasthttp.RequestCtx, order client.Order) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.acceptFence(order) {
		ctx.Error("old fencing number", fasthttp.StatusPreconditionFailed)
		return
	}
	delete(s.control.residents, residentKey(order))
	ctx.SetBodyString("{}")
}

// handleRoleOrder sets the engine's role, which stands in the order's name.
func (s *Server) handleRoleOrder(ctx *fasthttp.RequestCtx, order client.Order) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.acceptFence(order) {
		ctx.Error("old fencing number", fasthttp.StatusPreconditionFailed)
		return
	}
	s.control.role = order.Name
	ctx.SetBodyString("{}")
}

// fetchWeights reads weights from the weight store; without a weight store it returns at once.
func (s *Server) fetchWeights(order client.Order) error {
	if s.config.WeightStore == "" {
		return nil
	}
	uri := fmt.Sprintf("http://%s/weights?kind=%s&name=%s", s.config.WeightStore, order.Kind, order.Name)
	status, _, err := fasthttp.GetTimeout(nil, uri, weightFetchTimeout)
	if err != nil {
		return fmt.Errorf("weight store: %w", err)
	}
	if status != fasthttp.StatusOK {
		return fmt.Errorf("weight store: status %d", status)
	}
	return nil
}
