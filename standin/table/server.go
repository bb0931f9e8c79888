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

// Server serves items and objects from memory and limits the rates of item reads and transactions.
type Server struct {
	*host.Host
	readLimiter  *rate.Limiter
	writeLimiter *rate.Limiter

	readCount  atomic.Uint64
	writeCount atomic.Uint64

	mu          sync.Mutex
	items       map[string]storedItem
	objects     map[string][]byte
	lastVersion uint64                // rises by 1 with each put
	frozenItems map[string]storedItem // if not nil, the outdated copy that reads of single items see
}

// storedItem is an item and the end of its time to live.
type storedItem struct {
	item      client.Item
	expiresAt time.Time // zero if the item does not expire
}

// New returns a service that allows the given rates of item reads and of transactions; a burst may use up the allowance
// of one second at once.
func New(readsPerSecond, writesPerSecond int, seed uint64) *Server {
	s := &Server{
		readLimiter:  rate.NewLimiter(rate.Limit(readsPerSecond), readsPerSecond),
		writeLimiter: rate.NewLimiter(rate.Limit(writesPerSecond), writesPerSecond),
		items:        map[string]storedItem{},
		objects:      map[string][]byte{},
	}
	s.Host = host.New(s.route, seed)
	return s
}

// Counts returns the number of item reads, lists included, and of transactions so far, without those refused because of
// their rate.
func (s *Server) Counts() (reads, writes uint64) { return s.readCount.Load(), s.writeCount.Load() }

func (s *Server) route(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == "/past" && ctx.IsPost():
		s.handleFreeze(ctx)
	case path == "/transactions" && ctx.IsPost():
		s.handleTransaction(ctx)
	case path == "/items" && ctx.IsGet():
		s.handleList(ctx)
	case strings.HasPrefix(path, "/items/") && ctx.IsGet():
		s.handleGet(ctx, strings.TrimPrefix(path, "/items/"))
	case strings.HasPrefix(path, "/objects/"):
		s.handleObject(ctx, strings.TrimPrefix(path, "/objects/"))
	default:
		ctx.Error("no such call", fasthttp.StatusNotFound)
	}
}

func (s *Server) handleGet(ctx *fasthttp.RequestCtx, escapedKey string) {
	if !s.readLimiter.Allow() {
		ctx.Error("read rate exceeded", fasthttp.StatusTooManyRequests)
		return
	}
	s.readCount.Add(1)
	key, err := url.PathUnescape(escapedKey)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	s.mu.Lock()
	stored, ok := s.lookupLocked(key)
	if s.frozenItems != nil {
		stored, ok = s.frozenItems[key]
	}
	s.mu.Unlock()
	if !ok {
		ctx.Error("no such item", fasthttp.StatusNotFound)
		return
	}
	body, _ := json.Marshal(stored.item)
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// handleFreeze sets or clears a fault: while it is set, reads of single items see the items as they were when it was
// set. Lists and transactions still see the current items.
func (s *Server) handleFreeze(ctx *fasthttp.RequestCtx) {
	var request struct {
		Freeze bool `json:"freeze"`
	}
	if err := json.Unmarshal(ctx.PostBody(), &request); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.frozenItems = nil
	if request.Freeze {
		s.frozenItems = maps.Clone(s.items)
	}
}

// handleList responds with the first items whose keys have a prefix and come after a key, in the order of their keys.
func (s *Server) handleList(ctx *fasthttp.RequestCtx) {
	if !s.readLimiter.Allow() {
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
		if stored, ok := s.lookupLocked(key); ok && strings.HasPrefix(key, prefix) && key > after {
			items = append(items, stored.item)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	body, _ := json.Marshal(items[:min(limit, len(items))])
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

func (s *Server) handleTransaction(ctx *fasthttp.RequestCtx) {
	if !s.writeLimiter.Allow() {
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

// commit applies all puts of a transaction if all conditions on versions hold; otherwise it changes nothing and returns
// false.
func (s *Server) commit(transaction client.Transaction) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, check := range transaction.Checks {
		if !s.versionMatches(check.Key, check.IfVersion) {
			return false
		}
	}
	for _, put := range transaction.Puts {
		if !s.versionMatches(put.Key, put.IfVersion) {
			return false
		}
	}
	for _, put := range transaction.Puts {
		s.lastVersion++
		stored := storedItem{item: client.Item{Key: put.Key, Value: put.Value, Version: s.lastVersion}}
		if put.TTLSeconds > 0 {
			stored.expiresAt = time.Now().Add(time.Duration(put.TTLSeconds) * time.Second)
		}
		s.items[put.Key] = stored
	}
	return true
}

// versionMatches returns whether an item has a version; version 0 stands for no item. The caller holds mu.
func (s *Server) versionMatches(key string, version uint64) bool {
	stored, ok := s.lookupLocked(key)
	if !ok {
		return version == 0
	}
	return stored.item.Version == version
}

// lookupLocked returns an item and whether it exists; it deletes the item if it has expired. The caller holds mu.
func (s *Server) lookupLocked(key string) (storedItem, bool) {
	stored, ok := s.items[key]
	if ok && !stored.expiresAt.IsZero() && time.Now().After(stored.expiresAt) {
		delete(s.items, key)
		return storedItem{}, false
	}
	return stored, ok
}

// handleObject stores the body of a PUT as an object, or responds with the object to any other method.
func (s *Server) handleObject(ctx *fasthttp.RequestCtx, key string) {
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
