package vms

import (
	"encoding/json"
	"fmt"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"gypsumbank/standin/host"
	"gypsumbank/vmlist"
)

// Server publishes each change of the list after a lag.
type Server struct {
	*host.Host
	publishLag time.Duration

	mu       sync.Mutex
	current  map[string]vmlist.VM
	versions []listVersion
}

type listVersion struct {
	changedAt time.Time
	vms       []vmlist.VM
}

// New returns an empty list whose changes show after lag.
func New(lag time.Duration, seed uint64) *Server {
	s := &Server{publishLag: lag, current: map[string]vmlist.VM{}}
	s.Host = host.New(s.route, seed)
	return s
}

// Put adds or replaces a VM.
func (s *Server) Put(vms ...vmlist.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, vm := range vms {
		s.current[vm.Name] = vm
	}
	s.recordVersion()
}

// Remove deletes a VM.
func (s *Server) Remove(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.current, name)
	s.recordVersion()
}

func (s *Server) recordVersion() {
	vms := make([]vmlist.VM, 0, len(s.current))
	for _, vm := range s.current {
		vms = append(vms, vm)
	}
	sort.Slice(vms, func(i, j int) bool { return vms[i].Name < vms[j].Name })
	s.versions = append(s.versions, listVersion{changedAt: time.Now(), vms: vms})
}

func (s *Server) visibleVMs() []vmlist.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	vms := []vmlist.VM{}
	for _, v := range s.versions {
		if time.Since(v.changedAt) >= s.publishLag {
			vms = v.vms
		}
	}
	return vms
}

func (s *Server) route(ctx *fasthttp.RequestCtx) {
	switch {
	case string(ctx.Path()) == "/vms" && ctx.IsGet():
		s.handleList(ctx)
	case string(ctx.Path()) == "/vms" && ctx.IsPost():
		s.handlePut(ctx)
	case string(ctx.Path()) == "/vms" && ctx.IsDelete():
		s.Remove(string(ctx.QueryArgs().Peek("name")))
	default:
		ctx.Error("no such call", fasthttp.StatusNotFound)
	}
}

func (s *Server) handleList(ctx *fasthttp.RequestCtx) {
	body, _ := json.Marshal(s.visibleVMs())
	etag := fmt.Sprintf("%016x", xxhash.Sum64(body))
	if string(ctx.Request.Header.Peek("If-None-Match")) == etag {
		ctx.SetStatusCode(fasthttp.StatusNotModified)
		return
	}
	ctx.Response.Header.Set("ETag", etag)
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

func (s *Server) handlePut(ctx *fasthttp.RequestCtx) {
	var vm vmlist.VM
	if err := json.Unmarshal(ctx.PostBody(), &vm); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	s.Put(vm)
}
