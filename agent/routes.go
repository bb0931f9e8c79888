package agent

import (
	"context"

	"gypsumbank/wire"
)

// Routes returns the document of the routes that this agent last read, if it is of a newer version than the gateway knows.
func (s *agentServer) Routes(_ context.Context, in *wire.RoutesRequest) (*wire.RoutesReply, error) {
	table := s.agent.routesRead.Load()
	if table == nil || table.Version() <= in.GetKnownVersion() {
		return &wire.RoutesReply{}, nil
	}
	return &wire.RoutesReply{Version: table.Version(), Document: table.Document()}, nil
}
