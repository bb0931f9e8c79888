package table

import (
	"encoding/json"
	"maps"
	"net/url"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"gypsumbank/standin/host"
	client "gypsumbank/table"
)

// Server keeps items and objects in memory and limits reads and writes a second.
type Server struct {
	*host.Host
	reads  *rate.Limiter
	writes *rate.Limiter

	readCount  atomic.Uint64
	writeCount atomic.Uint64

	mu      sync.Mutex
	items   map[string]entry
	objects map[string][]byte
	version uint64
	past    map[string]entry // what reads of single items see while set
}

type entry struct {
	item    client.Item
	expires time.Time
}

// New returns a service that allows the given reads and writes a second.
func New(readsPerSecond, writesPerSecond int, seed uint64) *Server {
	s := &Server{
		reads:   rate.NewLimiter(rate.Limit(readsPerSecond), readsPerSecond),
		writes:  rate.NewLimiter(rate.Limit(writesPerSecond), writesPerSecond),
		items:   map[string]entry{},
		objects: map[string][]byte{},
	}
	s.Host = host.New(s.handle, seed)
	return s
}

// Counts returns the reads and writes that the service has answered.
func (s *Server) Counts() (reads, writes uint64) { return s.readCount.Load(), s.writeCount.Load() }

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == "/past" && ctx.IsPost():
		s.freeze(ctx)
	case path == "/transactions" && ctx.IsPost():
		s.transact(ctx)
	case path == "/items" && ctx.IsGet():
		s.list(ctx)
	case strings.HasPrefix(path, "/items/") && ctx.IsGet():
		s.get(ctx, strings.TrimPrefix(path, "/items/"))
	case strings.HasPrefix(path, "/objects/"):
		s.object(ctx, strings.TrimPrefix(path, "/objects/"))
	default:
		ctx.Error("no such call", fasthttp.StatusNotFound)
	}
}

func (s *Server) get(ctx *fasthttp.RequestCtx, escaped string) {
	if !s.reads.Allow() {
		ctx.Error("read rate exceeded", fasthttp.StatusTooManyRequests)
		return
	}
	s.readCount.Add(1)
	key, err := url.PathUnescape(escaped)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	s.mu.Lock()
	found, ok := s.lookup(key)
	if s.past != nil {
		found, ok = s.past[key]
	}
	s.mu.Unlock()
	if !ok {
		ctx.Error("no such item", fasthttp.StatusNotFound)
		return
	}
	body, _ := json.Marshal(found.item)
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// freeze has reads of single items answer from the present state for as long as it is set.
func (s *Server) freeze(ctx *fasthttp.RequestCtx) {
	var request struct {
		Freeze bool `json:"freeze"`
	}
	if err := json.Unmarshal(ctx.PostBody(), &request); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.past = nil
	if request.Freeze {
		s.past = maps.Clone(s.items)
	}
}

func (s *Server) list(ctx *fasthttp.RequestCtx) {
	if !s.reads.Allow() {
		ctx.Error("read rate exceeded", fasthttp.StatusTooManyRequests)
		return
	}
	s.readCount.Add(1)
	prefix := string(ctx.QueryArgs().Peek("prefix"))
	after := string(ctx.QueryArgs().Peek("after"))
	limit := ctx.QueryArgs().GetUintOrZero("limit")
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []client.Item{}
	for key := range s.items {
		if found, ok := s.lookup(key); ok && strings.HasPrefix(key, prefix) && key > after {
			items = append(items, found.item)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	body, _ := json.Marshal(items[:min(limit, len(items))])
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

func (s *Server) transact(ctx *fasthttp.RequestCtx) {
	if !s.writes.Allow() {
		ctx.Error("write rate exceeded", fasthttp.StatusTooManyRequests)
		return
	}
	s.writeCount.Add(1)
	var transaction client.Transaction
	if err := json.Unmarshal(ctx.PostBody(), &transaction); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if !s.commit(transaction) {
		ctx.Error("condition does not hold", fasthttp.StatusConflict)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBodyString("{}")
}

func (s *Server) commit(transaction client.Transaction) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, check := range transaction.Checks {
		if !s.matches(check.Key, check.IfVersion) {
			return false
		}
	}
	for _, put := range transaction.Puts {
		if !s.matches(put.Key, put.IfVersion) {
			return false
		}
	}
	for _, put := range transaction.Puts {
		s.version++
		written := entry{item: client.Item{Key: put.Key, Value: put.Value, Version: s.version}}
		if put.TTLSeconds > 0 {
			written.expires = time.Now().Add(time.Duration(put.TTLSeconds) * time.Second)
		}
		s.items[put.Key] = written
	}
	return true
}

func (s *Server) matches(key string, version uint64) bool {
	found, ok := s.lookup(key)
	if !ok {
		return version == 0
	}
	return found.item.Version == version
}

func (s *Server) lookup(key string) (entry, bool) {
	found, ok := s.items[key]
	if ok && !found.expires.IsZero() && time.Now().After(found.expires) {
		delete(s.items, key)
		return entry{}, false
	}
	return found, ok
}

func (s *Server) object(ctx *fasthttp.RequestCtx, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ctx.IsPut() {
		s.objects[key] = append([]byte(nil), ctx.PostBody()...)
		return
	}
	body, ok := s.objects[key]
	if !ok {
		ctx.Error("no such object", fasthttp.StatusNotFound)
		return
	}
	ctx.SetBody(body)
}
