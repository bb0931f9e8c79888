package host

import (
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"gypsumbank/standin/fault"
	"gypsumbank/webserver"
)

const maxBodyBytes = 64 << 20

// Host is the HTTP server of one stand-in and its faults.
type Host struct {
	handler fasthttp.RequestHandler
	faults  *fault.Set

	mu         sync.Mutex
	httpServer *webserver.Server
	address    string
	crashes    int
	down       bool // after a crash, until the restart
	closed     bool
}

// New returns a host for handler; seed determines which requests the faults hit.
func New(handler fasthttp.RequestHandler, seed uint64) *Host {
	h := &Host{handler: handler, faults: fault.New(seed)}
	h.httpServer = h.newServer()
	return h
}

func (h *Host) newServer() *webserver.Server {
	return webserver.New(&fasthttp.Server{Handler: h.faults.Wrap(h.handler), MaxRequestBodySize: maxBodyBytes})
}

// Start serves on listener until Close; the returned channel gets nil then or at a crash, or the error that ended it before.
func (h *Host) Start(listener net.Listener) <-chan error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.address = listener.Addr().String()
	return h.httpServer.Start(listener)
}

// Crash closes the listener and all connections, and listens at the same address again after the downtime. A stand-in that is down
// already is not affected.
func (h *Host) Crash(downtime time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.down || h.closed {
		return
	}
	h.down = true
	h.crashes++
	h.httpServer.Close()
	time.AfterFunc(downtime, h.restart)
}

// restart ends a crash.
func (h *Host) restart() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return
	}
	listener, err := net.Listen("tcp", h.address)
	if err != nil {
		panic(err)
	}
	h.httpServer, h.down = h.newServer(), false
	h.httpServer.Start(listener)
}

// Crashes returns the number of crashes so far.
func (h *Host) Crashes() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.crashes
}

// Close stops the server, drops its connections and ends all waits that faults have caused.
func (h *Host) Close() {
	h.faults.Close()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
	h.httpServer.Close()
}

// Faults returns the set through which the stand-in's faults are read and changed.
func (h *Host) Faults() *fault.Set { return h.faults }
