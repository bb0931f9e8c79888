package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"gypsumbank/hedge"
	"gypsumbank/platform"
	"gypsumbank/route"
	"gypsumbank/wire"
)

const (
	// ownReadTime is the time that this gateway's own read of newer routes gets before an agent is asked for them. It is well above that of
	// a round trip between availability zones (7 ms), and leaves time to ask two more agents before the routes must be in force, after 3 s.
	ownReadTime = 300 * time.Millisecond
	// routesReplyTimeout is how long the gateway waits for an agent's reply before it asks another one, too.
	routesReplyTimeout = 500 * time.Millisecond
	// maxAskedAgents bounds the agents that are asked at the same time.
	maxAskedAgents = 8
)

// errNoNewerRoutes is returned if an agent has no newer routes than those known, as after its restart.
var errNoNewerRoutes = errors.New("agent has no newer routes")

// agentRoutes are routes that an agent has handed out.
type agentRoutes struct {
	agent string
	table *route.Table
}

// followRelayedRoutes asks agents that have read newer routes for them where this gateway does not read them itself in time, and puts
// them in force, until ctx ends.
func (g *Gateway) followRelayedRoutes(ctx context.Context) error {
	replies := hedge.New[agentRoutes](maxAskedAgents, g.changes.ReadLifetime())
	defer replies.Close()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-g.relay.routesRose:
		}
		retry := newStoreBackoff(g.changes)
		wait := ownReadTime
		for len(g.agentsAhead()) > 0 {
			if err := replies.Wait(ctx, wait); err != nil {
				return err
			}
			g.takeRelayedRoutes(ctx, replies)
			wait = retry.NextBackOff()
		}
		replies.Drop()
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

// takeRelayedRoutes asks the agents that have read newer routes than those in force, one after the other, until one hands them out; a reply that is late
// counts, too. All gateways that can't read the store ask at the same time, so that the order is random.
func (g *Gateway) takeRelayedRoutes(ctx context.Context, replies *hedge.Reads[agentRoutes]) {
	agents := g.agentsAhead()
	rand.Shuffle(len(agents), func(i, j int) { agents[i], agents[j] = agents[j], agents[i] })
	for _, address := range agents {
		known := g.routeTable.Load().Version()
		reply, err := replies.Read(ctx, routesReplyTimeout, func(ctx context.Context) (agentRoutes, error) {
			table, err := g.agents.askRoutes(ctx, address, known)
			return agentRoutes{address, table}, err
		})
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			g.log.WithError(err).WithFields(logrus.Fields{"agent": address, "version-in-force": known}).Info("agent did not hand out its routes")
			continue
		}
		g.log.WithFields(logrus.Fields{
			"agent": reply.Value.agent, "version-in-force": known, "version": reply.Value.table.Version(), "read-ms": reply.Took.Milliseconds(),
		}).Info("routes taken from an agent")
		g.installRoutes(reply.Value.table, reply.Value.agent)
		return
	}
}

// askRoutes asks an agent for its routes and returns them; the error is errNoNewerRoutes if they are not newer than a version.
func (a *agentClients) askRoutes(ctx context.Context, address string, known int64) (*route.Table, error) {
	conn := a.dialer.Conn(ctx, address)
	defer conn.Close()
	reply, err := wire.NewDRPCAgentClient(conn).Routes(ctx, &wire.RoutesRequest{KnownVersion: known})
	if err != nil {
		a.dialer.CloseIdle(address)
		return nil, err
	}
	if reply.GetVersion() <= known {
		return nil, errNoNewerRoutes
	}
	table, err := platform.DecodeRoutes(reply.GetDocument())
	if err != nil {
		return nil, err
	}
	if table.Version() <= known {
		return nil, errNoNewerRoutes
	}
	return table, nil
}
