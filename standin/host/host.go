package host

import (
	"net"

	"github.com/valyala/fasthttp"

	"gypsumbank/standin/fault"
	"gypsumbank/webserver"
)

const maxBodyBytes = 64 << 20

// Host serves one stand-in.
type Host struct {
	web    *webserver.Server
	faults *fault.Set
}

// New returns a host for handler whose draws of faults follow from seed.
func New(handler fasthttp.RequestHandler, seed uint64) *Host {
	faults := fault.New(seed)
	web := webserver.New(&fasthttp.Server{Handler: faults.Wrap(handler), MaxRequestBodySize: maxBodyBytes})
	return &Host{web: web, faults: faults}
}

// Start serves on listener and reports the end on the returned channel.
func (h *Host) Start(listener net.Listener) <-chan error { return h.web.Start(listener) }

// Close stops the stand-in and ends all waits that faults have caused.
func (h *Host) Close() {
	h.faults.Close()
	h.web.Close()
}

// Faults returns the faults of the stand-in.
func (h *Host) Faults() *fault.Set { return h.faults }
