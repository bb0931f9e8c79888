package settings

import (
	"time"

	"gypsumbank/inifile"
)

// Gateway holds the settings of a gateway.
type Gateway struct {
	Listen    string        // address for callers
	Ready     string        // address for readiness checks of the platform
	AgentPort int           // port of the agents
	Metrics   string        // address for metrics; empty for none
	Grace     time.Duration // from the signal to stop until the process must be gone
}

// Agent holds the settings of an agent.
type Agent struct {
	Listen  string // address for gateways
	Target  string // address of the engine beside the agent
	Service string // name of the engine's service
	Metrics string // address for metrics; empty for none
}

// Store holds the address of the platform's store.
type Store struct {
	Address string
}

// Bounds hold the limits that all processes of a deployment keep together.
type Bounds struct {
	RetryRatio  float64
	RetryExtra  float64
	RetryWindow time.Duration
	LoadWindow  time.Duration // window of the limit of loads from the weight store
	LoadBurst   float64       // by how much that limit may be exceeded in a window
}

// Limits hold what the machine gives to the process.
type Limits struct {
	MemoryMiB int
}

// isSite reports whether the settings are for a process on the users' platform.
func isSite(file *inifile.File) bool { return file.HasSection("gateway") || file.HasSection("agent") }

func (c *Config) readSite(file *inifile.File) {
	c.Node = Node{
		Name:             file.Required("node", "name", "a name unique among all processes"),
		AvailabilityZone: file.Required("node", "availability-zone", "the name of the zone"),
	}
	file.Required("store", "address", "IP:PORT")
	c.Store = Store{Address: file.Address("store", "address", "")}
	c.Bounds = Bounds{
		RetryRatio:  file.Float("bounds", "retry-ratio", 0.2, 0, 10),
		RetryExtra:  file.Float("bounds", "retry-extra", 0, 0, 1e6),
		RetryWindow: file.Duration("bounds", "retry-window", 10*time.Second, time.Second, time.Hour),
		LoadWindow:  file.Duration("bounds", "load-window", 5*time.Second, time.Second, time.Hour),
		LoadBurst:   file.Float("bounds", "load-burst", 1, 1, 10),
	}
	c.Limits = Limits{MemoryMiB: int(file.Int("limits", "memory-mib", 0, 0, 1<<20))}
	if file.HasSection("gateway") {
		c.Gateway = gateway(file)
	}
	if file.HasSection("agent") {
		c.Agent = agent(file)
	}
}

func gateway(file *inifile.File) Gateway {
	file.Required("gateway", "listen", "IP:PORT")
	file.Required("gateway", "ready", "IP:PORT")
	file.Required("gateway", "agent-port", "a whole number from 1 to 65535")
	return Gateway{
		Listen:    file.Address("gateway", "listen", ""),
		Ready:     file.Address("gateway", "ready", ""),
		AgentPort: int(file.Int("gateway", "agent-port", 0, 1, 65535)),
		Metrics:   file.Address("gateway", "metrics", ""),
		Grace:     file.Duration("gateway", "grace", 8*time.Second, time.Second, time.Hour),
	}
}

func agent(file *inifile.File) Agent {
	file.Required("agent", "listen", "IP:PORT")
	file.Required("agent", "target", "IP:PORT")
	file.Required("agent", "service", "the name of the target's service")
	return Agent{
		Listen:  file.Address("agent", "listen", ""),
		Target:  file.Address("agent", "target", ""),
		Service: file.String("agent", "service", ""),
		Metrics: file.Address("agent", "metrics", ""),
	}
}
