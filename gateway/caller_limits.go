package gateway

import (
	"time"

	"gypsumbank/inflow"
	"gypsumbank/keepalive"
)

const (
	// connBytes is what a connection takes beside its requests: buffers, stacks, and a head that is coming in.
	connBytes = 40 << 10
	// connsDivisor is the part of the memory for requests that connections may take: one in so many bytes.
	connsDivisor = 2
	// checkHeaderBytes bounds the heads of readiness checks.
	checkHeaderBytes = 8 << 10
	// checkHeaderTimeout bounds the time for them, and for a part of their answers.
	checkHeaderTimeout = 2 * time.Second
	// silentWait and checkSilentWait are how long a connection on which nothing has come is kept while others wait for places: callers send a request as
	// soon as they are connected, and checks come from near by.
	silentWait      = 200 * time.Millisecond
	checkSilentWait = 20 * time.Millisecond
	checkLingerTime = 50 * time.Millisecond
)

// maxCallers returns the number of connections of callers that may be open, by the descriptors and by the memory.
func (g *Gateway) maxCallers() int {
	return max(1, min(g.fds.Callers(), int(g.memory.Limit()/connsDivisor/connBytes)))
}

// callerLimits returns the limits of the connections of callers.
func (g *Gateway) callerLimits() keepalive.Limits {
	return keepalive.Limits{
		MaxOpen:           g.maxCallers(),
		MaxKept:           inflow.New(g.config.Limits.LinkMbps).Kept(),
		HeaderBytes:       g.headerBytes,
		HeaderTimeout:     g.headerTimeout,
		SilentWait:        silentWait,
		WriteTimeout:      g.config.Limits.WriteTimeout,
		SocketBufferBytes: g.config.Limits.SocketBufferKiB << 10,
		MakeRoom:          func() { g.memory.MakeRoom(connBytes, time.Now()) },
	}
}

// checkLimits returns the limits of the connections of readiness checks.
func checkLimits() keepalive.Limits {
	return keepalive.Limits{
		MaxOpen: maxCheckConns, SilentWait: checkSilentWait, LingerTime: checkLingerTime, HeaderBytes: func() int { return checkHeaderBytes },
		HeaderTimeout: func() time.Duration { return checkHeaderTimeout }, WriteTimeout: checkHeaderTimeout,
	}
}

// headerBytes returns the length up to which the heads of callers are read.
func (g *Gateway) headerBytes() int {
	if table := g.routeTable.Load(); table != nil && table.Limits().HeaderBytes > 0 {
		return table.Limits().HeaderBytes
	}
	return defaultMaxHeaderBytes
}

// headerTimeout returns the time in which the head of a request must come.
func (g *Gateway) headerTimeout() time.Duration {
	if table := g.routeTable.Load(); table != nil && table.Limits().HeaderTimeout > 0 {
		return table.Limits().HeaderTimeout
	}
	return headerTimeout
}
