package gateway

import (
	"context"
	"time"

	"gypsumbank/pause"
	"gypsumbank/registry"
	"gypsumbank/wire"
)

// originAnswer is what one agent knows of the begin of a stream.
type originAnswer struct {
	version registry.SoftwareVersion
	age     time.Duration
	known   bool
}

// FindOrigin asks the relays at which software version a stream began, and returns the age of that record. The first that knows
// it decides; ok is false if none does before ctx ends.
func (a *agentClients) FindOrigin(ctx context.Context, stream uint64) (version registry.SoftwareVersion, age time.Duration, ok bool) {
	relays := a.relayAddresses()
	for len(relays) == 0 && pause.For(ctx, relayPollInterval) == nil {
		relays = a.relayAddresses() // this gateway has just started
	}
	answers := make(chan originAnswer, len(relays))
	for _, address := range relays {
		go func() { answers <- a.askOrigin(ctx, address, stream) }()
	}
	for range relays {
		if answer := <-answers; answer.known {
			a.origins.Add(stream, answer.version)
			return answer.version, answer.age, true
		}
	}
	return "", 0, false
}

// askOrigin asks one agent.
func (a *agentClients) askOrigin(ctx context.Context, address string, stream uint64) originAnswer {
	conn := a.dialer.Conn(ctx, address)
	defer conn.Close()
	reply, err := wire.NewDRPCAgentClient(conn).Origin(ctx, &wire.OriginRequest{Stream: stream})
	if err != nil {
		a.log.WithError(err).WithField("agent", address).Info("agent did not tell the origin of a stream")
		a.dialer.CloseIdle(address)
		return originAnswer{}
	}
	return originAnswer{registry.SoftwareVersion(reply.GetSoftwareVersion()), time.Duration(reply.GetAgeMs()) * time.Millisecond, reply.GetKnown()}
}

// relayAddresses returns the addresses of the agents that gateways tell of their streams.
func (a *agentClients) relayAddresses() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	addresses := make([]string, 0, len(a.relayAgents))
	for address := range a.relayAgents {
		addresses = append(addresses, address)
	}
	return addresses
}
