package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"gypsumbank/pause"
	"gypsumbank/platform"
	"gypsumbank/route"
	"gypsumbank/wire"
)

const (
	// ownReadTime is the time that this gateway's own read of newer routes gets before an agent is asked for them. It is well above that of
	// a round trip between availability zones (7 ms), and leaves time to ask two more agents before the routes must be in force, after 3 s.
	ownReadTime = 300 * time.Millisecond
	// routesReplyTimeout bounds the wait for an agent's reply.
	routesReplyTimeout = 500 * time.Millisecond
)

// followRelayedRoutes asks agents that have read newer routes for them where this gateway does not read them itself in time, and puts
// them in force, until ctx ends.
func (g *Gateway) followRelayedRoutes(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-g.relay.routesRose:
		}
		retry := newStoreBackoff(g.changes)
		wait := ownReadTime
		for len(g.agentsAhead()) > 0 {
			if err := pause.For(ctx, wait); err != nil {
				return err
			}
			g.takeRelayedRoutes(ctx)
			wait = retry.NextBackOff()
		}
	}
}

// agentsAhead returns the addresses of the agents that have read newer routes than those in force.
func (g *Gateway) agentsAhead() []string {
	table := g.routeTable.Load()
	if table == nil {
		return nil
	}
	return g.relay.agentsAfter(table.Version())
}

// takeRelayedRoutes asks the agents that have read newer routes than those in force, one after the other, until one hands them out. All
// gateways that can't read the store ask at the same time, so that the order is random.
func (g *Gateway) takeRelayedRoutes(ctx context.Context) {
	agents := g.agentsAhead()
	rand.Shuffle(len(agents), func(i, j int) { agents[i], agents[j] = agents[j], agents[i] })
	for _, address := range agents {
		known := g.routeTable.Load().Version()
		log := g.log.WithFields(logrus.Fields{"agent": address, "version-in-force": known})
		table, err := g.agents.askRoutes(ctx, address, known)
		if err != nil {
			log.WithError(err).Info("agent did not hand out its routes")
			continue
		}
		if table == nil {
			continue
		}
		log.WithField("version", table.Version()).Info("routes taken from an agent")
		g.installRoutes(table, address)
		return
	}
}

// askRoutes asks an agent for its routes and returns them; nil if they are not newer than a version, as after a restart of the agent.
func (a *agentClients) askRoutes(ctx context.Context, address string, known int64) (*route.Table, error) {
	ctx, cancel := context.WithTimeout(ctx, routesReplyTimeout)
	defer cancel()
	conn := a.dialer.Conn(ctx, address)
	defer conn.Close()
	reply, err := wire.NewDRPCAgentClient(conn).Routes(ctx, &wire.RoutesRequest{KnownVersion: known})
	if err != nil {
		a.dialer.CloseIdle(address)
		return nil, err
	}
	if reply.GetVersion() <= known {
		return nil, nil
	}
	table, err := platform.DecodeRoutes(reply.GetDocument())
	if err != nil || table.Version() <= known {
		return nil, err
	}
	return table, nil
}
