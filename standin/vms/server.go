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

// Server serves a list of VMs in which each change shows after a lag.
type Server struct {
	*host.Host
	publishLag time.Duration // from a change until it shows

	mu       sync.Mutex
	current  map[string]vmlist.VM // by name, with changes that don't show yet
	versions []listVersion        // of all changes, the oldest first
}

// listVersion is the whole list after a change.
type listVersion struct {
	changedAt time.Time
	vms       []vmlist.VM // sorted by name
}

// New returns an empty list in which changes show after lag.
func New(lag time.Duration, seed uint64) *Server {
	s := &Server{publishLag: lag, current: map[string]vmlist.VM{}}
	s.Host = host.New(s.route, seed)
	return s
}

// Put adds VMs, or replaces those with the same name, in one change.
func (s *Server) Put(vms ...vmlist.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, vm := range vms {
		s.current[vm.Name] = vm
	}
	s.recordVersion()
}

// Remove deletes a VM by its name.
func (s *Server) Remove(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.current, name)
	s.recordVersion()
}

// recordVersion adds the current list to the versions; the caller holds mu.
func (s *Server) recordVersion() {
	vms := make([]vmlist.VM, 0, len(s.current))
	for _, vm := range s.current {
		vms = append(vms, vm)
	}
	sort.Slice(vms, func(i, j int) bool { return vms[i].Name < vms[j].Name })
	s.versions = append(s.versions, listVersion{changedAt: time.Now(), vms: vms})
}

// visibleVMs returns the newest version of the list that is at least publishLag old.
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

// handleList responds with the visible list, or with status 304 if the request's If-None-Match is the list's ETag.
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
