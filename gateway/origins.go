package gateway

import (
	"context"
	"slices"
	"time"

	"gypsumbank/origin"
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

const (
	// originCopies is the number of agents that keep the record of a stream, and originQuestions that of those asked: the agents
	// may have changed since.
	originCopies    = 2
	originQuestions = 3
	// maxQueuedOrigins bounds the records that wait to be sent to one agent.
	maxQueuedOrigins = 4096
)

// FindOrigin asks the agents that keep the record of a stream at which software version it began, and returns the age of that
// record. The first that knows it decides; ok is false if none does before ctx ends.
func (a *agentClients) FindOrigin(ctx context.Context, stream uint64) (version registry.SoftwareVersion, age time.Duration, ok bool) {
	keepers := origin.Keepers(stream, a.addresses(), originQuestions)
	for len(keepers) == 0 && pause.For(ctx, relayPollInterval) == nil {
		keepers = origin.Keepers(stream, a.addresses(), originQuestions) // this gateway has just started
	}
	answers := make(chan originAnswer, len(keepers))
	for _, address := range keepers {
		go func() { answers <- a.askOrigin(ctx, address, stream) }()
	}
	for range keepers {
		if answer := <-answers; answer.known {
			a.origins.Add(stream, answer.version)
			return answer.version, answer.age, true
		}
	}
	return "", 0, false
}

// PushOrigin tells the agents that keep the record of a stream, which was just recorded, of it.
func (a *agentClients) PushOrigin(stream uint64) {
	for _, address := range origin.Keepers(stream, a.addresses(), originCopies) {
		a.queueOrigins(address, stream)
		a.push(address)
	}
}

// queueOrigins queues the records of streams for an agent that is watched, and drops the oldest above maxQueuedOrigins.
func (a *agentClients) queueOrigins(address string, streams ...uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, watched := a.cancelWatch[address]; !watched {
		return
	}
	queued := append(a.queuedOrigins[address], streams...)
	a.queuedOrigins[address] = queued[max(0, len(queued)-maxQueuedOrigins):]
}

// queueKeptOrigins queues all records that an agent keeps: it may have just started.
func (a *agentClients) queueKeptOrigins(address string) {
	addresses := a.addresses()
	kept := slices.DeleteFunc(a.origins.Recent(), func(stream uint64) bool {
		return !slices.Contains(origin.Keepers(stream, addresses, originCopies), address)
	})
	a.queueOrigins(address, kept...)
}

// takeOrigins returns the records to be sent to an agent in the next message.
func (a *agentClients) takeOrigins(address string) []*wire.StreamOrigins {
	a.mu.Lock()
	defer a.mu.Unlock()
	message, left := a.origins.Encode(a.queuedOrigins[address])
	if len(left) == 0 {
		delete(a.queuedOrigins, address)
		return message
	}
	a.queuedOrigins[address] = left
	return message
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

// addresses returns the addresses of all agents.
func (a *agentClients) addresses() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.agentAddresses
}
