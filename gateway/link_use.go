package gateway

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"gypsumbank/dialer"
	"gypsumbank/keepalive"
	"gypsumbank/pause"
)

const (
	linkUseInterval = time.Second
	// busyLinkDivisor sets the use from which on the link is reported as busy: one bit in so many that it carries.
	busyLinkDivisor = 2
	bitsPerByte     = 8
)

// reportLinkUse logs, once in linkUseInterval while the link is busy, what has come over it from whom, until ctx ends. What waits on the link delays the routes.
func (g *Gateway) reportLinkUse(ctx context.Context, callers *callerListener) error {
	busyBytes := uint64(g.config.Limits.LinkMbps * 1e6 / bitsPerByte * linkUseInterval.Seconds() / busyLinkDivisor)
	fromCallers, fromAgents, accepted := keepalive.BytesReceived(), dialer.BytesReceived(), callers.accepted.Load()
	for busyBytes > 0 && ctx.Err() == nil {
		_ = pause.For(ctx, linkUseInterval)
		nowCallers, nowAgents, nowAccepted := keepalive.BytesReceived(), dialer.BytesReceived(), callers.accepted.Load()
		if nowCallers-fromCallers+nowAgents-fromAgents >= busyBytes {
			g.log.WithFields(logrus.Fields{
				"from-callers-bytes": nowCallers - fromCallers, "from-agents-bytes": nowAgents - fromAgents, "link-mbps": g.config.Limits.LinkMbps,
				"connections": callers.open.Load(), "accepted": nowAccepted - accepted, "without-request": callers.countArriving(time.Now()),
				"routes-age-ms": ageMs(g.routesConfirmedAt(), time.Now()),
			}).Info("link is busy")
		}
		fromCallers, fromAgents, accepted = nowCallers, nowAgents, nowAccepted
	}
	return nil
}
