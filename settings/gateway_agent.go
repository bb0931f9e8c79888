package settings

import (
	"time"

	"gypsumbank/inifile"
	"gypsumbank/propagation"
)

// Gateway holds the settings of a gateway, which accepts the requests of callers on the users' platform.
type Gateway struct {
	Listen    string        // address for connections of callers
	Ready     string        // address for the platform's readiness checks
	AgentPort int           // port on which the agents listen
	Metrics   string        // address for scraping metrics and for explanations of requests; empty to serve none
	Grace     time.Duration // time from the stop signal until the process must have exited
	// RequestMemoryMiB is the memory that requests may take; 0 for a share of all that the process may use.
	RequestMemoryMiB int
}

// Agent holds the settings of an agent, which runs beside an engine and controls its models.
type Agent struct {
	Listen  string // address for connections of gateways
	Target  string // address of the engine that the agent controls
	Service string // name of the service that the engine belongs to
	Metrics string // address for scraping metrics; empty to serve none
}

// Store holds the address of the platform's store.
type Store struct {
	Address string
}

// Bounds holds limits that apply to all processes of a deployment in total.
type Bounds struct {
	RetryRatio  float64       // retries allowed per request in a window
	RetryExtra  float64       // retries allowed in a window on top of the ratio
	RetryWindow time.Duration // length of the sliding window for retries
	LoadWindow  time.Duration // length of the window for loads from the weight store
	LoadBurst   float64       // factor by which the loads in a window may exceed the rate of the weight store; 1 for no excess

	QuotaWindow  time.Duration // length of the sliding window for customers' quotas
	QuotaOverage float64       // share by which the use in a window may exceed a quota
	QuotaSlack   float64       // use in a window that is allowed on top of that, in the unit of the quota
	ApplyTime    time.Duration // time within which a confirmed change of the routes must be in force
	KeyMaxAge    time.Duration // age of the last read of the routes up to which KeysFailClosed allows keys
	// KeysFailClosed has keys refused while the routes can't be read, as they may have been taken away.
	KeysFailClosed bool
	// EventDelivery is the time within which an event of a stream must reach its caller after the target produced it; 0 to pass each on as it arrives.
	EventDelivery time.Duration
}

// Limits holds the resources that the process may use, and those that its callers may take.
type Limits struct {
	MemoryMiB   int     // 0 for no limit
	Descriptors int     // 0 for the system's limit
	LinkMbps    float64 // bandwidth of the machine's link in Mbit/s; 0 if it is not known

	BodyPace        int           // bytes a second below which a body that comes in gives way where memory is short
	WriteTimeout    time.Duration // time for a caller to take each 64 KiB of an answer
	MessageTimeout  time.Duration // time in which a message of another process must arrive
	SocketBufferKiB int           // buffers of the system for a connection of a caller, in each direction; 0 for the system's choice
}

// isGatewayOrAgent reports whether the settings are for a process on the users' platform rather than in an own deployment.
func isGatewayOrAgent(file *inifile.File) bool {
	return file.HasSection("gateway") || file.HasSection("agent")
}

func (c *Config) readGatewayOrAgent(file *inifile.File) {
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

		QuotaWindow:    file.Duration("bounds", "quota-window", 8*time.Second, time.Second, time.Hour),
		QuotaOverage:   file.Float("bounds", "quota-overage", 0, 0, 10),
		QuotaSlack:     file.Float("bounds", "quota-slack", 0, 0, 1e12),
		ApplyTime:      file.Duration("bounds", "apply-time", propagation.DefaultApplyTime, time.Second, time.Hour),
		KeyMaxAge:      file.Duration("bounds", "key-max-age", 5*time.Second, time.Second, time.Hour),
		KeysFailClosed: file.Choice("bounds", "keys-fail-closed", "no", "yes", "no") == "yes",

		EventDelivery: file.Duration("bounds", "event-delivery", 0, 0, time.Hour),
	}
	c.Limits = readLimits(file)
	if file.HasSection("gateway") {
		c.Gateway = readGateway(file)
	}
	if file.HasSection("agent") {
		c.Agent = readAgent(file)
	}
}

func readLimits(file *inifile.File) Limits {
	return Limits{
		MemoryMiB:   int(file.Int("limits", "memory-mib", 0, 0, 1<<20)),
		Descriptors: int(file.Int("limits", "descriptors", 0, 0, 1<<24)),
		LinkMbps:    file.Float("limits", "link-mbps", 0, 0, 1e6),

		BodyPace:        int(file.Int("limits", "body-bytes-per-second", 64<<10, 1, 1<<30)),
		WriteTimeout:    file.Duration("limits", "write-timeout", 10*time.Second, 100*time.Millisecond, time.Hour),
		MessageTimeout:  file.Duration("limits", "message-timeout", 10*time.Second, 100*time.Millisecond, time.Hour),
		SocketBufferKiB: int(file.Int("limits", "socket-buffer-kib", 128, 0, 1<<20)),
	}
}

func readGateway(file *inifile.File) Gateway {
	file.Required("gateway", "listen", "IP:PORT")
	file.Required("gateway", "ready", "IP:PORT")
	file.Required("gateway", "agent-port", "a whole number from 1 to 65535")
	return Gateway{
		Listen:           file.Address("gateway", "listen", ""),
		Ready:            file.Address("gateway", "ready", ""),
		AgentPort:        int(file.Int("gateway", "agent-port", 0, 1, 65535)),
		Metrics:          file.Address("gateway", "metrics", ""),
		Grace:            file.Duration("gateway", "grace", 8*time.Second, time.Second, time.Hour),
		RequestMemoryMiB: int(file.Int("gateway", "request-memory-mib", 0, 0, 1<<20)),
	}
}

func readAgent(file *inifile.File) Agent {
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
