package host

import (
	"net"

	"github.com/valyala/fasthttp"

	"gypsumbank/standin/fault"
	"gypsumbank/webserver"
)

const maxBodyBytes = 64 << 20

// Host is the HTTP server of one stand-in and its faults.
type Host struct {
	httpServer *webserver.Server
	faults     *fault.Set
}

// New returns a host for handler; seed determines which requests the faults hit.
func New(handler fasthttp.RequestHandler, seed uint64) *Host {
	faults := fault.New(seed)
	httpServer := webserver.New(&fasthttp.Server{Handler: faults.Wrap(handler), MaxRequestBodySize: maxBodyBytes})
	return &Host{httpServer: httpServer, faults: faults}
}

// Start serves on listener until Close; the returned channel gets nil then, or the error that ended it before.
func (h *Host) Start(listener net.Listener) <-chan error { return h.httpServer.Start(listener) }

// Close stops the server, drops its connections and ends all waits that faults have caused.
func (h *Host) Close() {
	h.faults.Close()
	h.httpServer.Close()
}

// Faults returns the set through which the stand-in's faults are read and changed.
func (h *Host) Faults() *fault.Set { return h.faults }
