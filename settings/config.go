package settings

import (
	"fmt"
	"os"
	"time"

	"gypsumbank/inifile"
)

const (
	mib            = 1 << 20
	minSecretBytes = 16
	maxDuration    = 24 * time.Hour // upper limit of the settings that bound whole requests and shutdowns
)

// Config holds the validated settings of a process. A section that does not apply to the process is zero.
type Config struct {
	Node     Node
	Log      Log
	Platform Platform
	Entry    Entry
	Sidecar  Sidecar

	Limits Limits

	// The sections below apply only to a gateway or an agent, which run on the users' platform.
	Gateway Gateway
	Agent   Agent
	Store   Store
	Bounds  Bounds
}

// Node identifies the process within its deployment.
type Node struct {
	Name             string
	AvailabilityZone string
	Listen           string // address for connections of other processes of the deployment
	Secret           string // shared by all processes of the deployment
}

// Log holds the level and the format of log lines.
type Log struct {
	Level  string
	Format string
}

// Platform holds the addresses of the services that an entry or a sidecar relies on, and how it calls them.
type Platform struct {
	Table        string
	VMList       string
	TableTimeout time.Duration
	Peers        []string // addresses of further processes to exchange state with
	PollInterval time.Duration
}

// Entry holds the settings of an entry, which accepts the requests of callers.
type Entry struct {
	Listen         string // address for connections of callers
	MaxBodyBytes   int
	MaxHeaderBytes int
	ReadTimeout    time.Duration
	IdleTimeout    time.Duration
	WriteTimeout   time.Duration
	SilenceTimeout time.Duration // longest time without an event on a stream before the attempt is aborted
	RequestTimeout time.Duration
	Grace          time.Duration
	MaxConnections int
	Routing        string
	AvoidSlow      bool
}

// Sidecar holds the settings of a sidecar, which runs beside a model engine or a replica of a plain service.
type Sidecar struct {
	Kind              string
	Target            string
	Service           string
	Listen            string // address for health checks and metrics
	MemoryBytes       uint64 // memory of the accelerator
	KVReserveBytes    uint64 // part of MemoryBytes that is not used for weights
	Slots             int
	QueueLimit        int
	MaxQueueTime      time.Duration
	QueuePolicy       string
	Residency         string
	MinimumStay       time.Duration // time after a load during which a listed model is not evicted
	ChecksFence       bool          // whether the engine refuses orders with an old fencing token
	OrderLifetime     time.Duration
	OrderTimeout      time.Duration
	Grace             time.Duration
	CallTimeout       time.Duration
	KeyRetention      time.Duration
	OpaqueRetryWindow time.Duration // time after the loss of a slot owner in which a new key without a timestamp is not run
}

// Load reads and validates the settings file at path. Errors wrap inifile.ErrInvalid or an error of the file system.
func Load(path string) (*Config, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	return New(path, data)
}

// New parses and validates the settings in data; errors mention name as the file name and wrap inifile.ErrInvalid.
func New(name string, data []byte) (*Config, error) { return NewWithBounds(name, data, nil) }

// NewWithBounds is New with values of section bounds, by key, for the keys that data does not have.
func NewWithBounds(name string, data []byte, bounds map[string]string) (*Config, error) {
	file, err := inifile.New(name, data)
	if err != nil {
		return nil, err
	}
	for key, value := range bounds {
		file.SetDefault("bounds", key, value)
	}
	config := &Config{Log: readLog(file)}
	if isGatewayOrAgent(file) {
		config.readGatewayOrAgent(file)
	} else {
		config.readEntryOrSidecar(file)
	}
	if err := file.Err(); err != nil {
		return nil, err
	}
	return config, nil
}

func (c *Config) readEntryOrSidecar(file *inifile.File) {
	c.Node = readNode(file)
	c.Platform = readPlatform(file)
	c.Limits = readLimits(file)
	if file.HasSection("entry") {
		c.Entry = readEntry(file)
	}
	if file.HasSection("sidecar") {
		c.Sidecar = readSidecar(file)
	}
}

func readNode(file *inifile.File) Node {
	node := Node{
		Name:             file.Required("node", "name", "a name unique among all processes"),
		AvailabilityZone: file.Required("node", "availability-zone", "the name of the zone"),
		Listen:           file.Address("node", "listen", ""),
		Secret:           file.Required("node", "secret", "a shared secret of at least 16 characters"),
	}
	if node.Secret != "" && len(node.Secret) < minSecretBytes {
		file.AddProblem("node", "secret", "is too short; allowed: at least 16 characters")
	}
	return node
}

func readLog(file *inifile.File) Log {
	return Log{
		Level:  file.Choice("log", "level", "info", "debug", "info", "warning", "error", "off"),
		Format: file.Choice("log", "format", "text", "text", "json"),
	}
}

func readPlatform(file *inifile.File) Platform {
	file.Required("platform", "table", "IP:PORT")
	file.Required("platform", "vm-list", "IP:PORT")
	return Platform{
		Table:        file.Address("platform", "table", ""),
		VMList:       file.Address("platform", "vm-list", ""),
		TableTimeout: file.Duration("platform", "table-timeout", time.Second, time.Millisecond, time.Minute),
		Peers:        file.Addresses("platform", "peers"),
		PollInterval: file.Duration("platform", "poll-interval", time.Second, 10*time.Millisecond, time.Minute),
	}
}

func readEntry(file *inifile.File) Entry {
	file.Required("entry", "listen", "IP:PORT")
	return Entry{
		Listen:         file.Address("entry", "listen", ""),
		MaxBodyBytes:   int(file.Int("entry", "max-body-bytes", 4*mib, 1024, 256*mib)),
		MaxHeaderBytes: int(file.Int("entry", "max-header-bytes", 16<<10, 1024, mib)),
		ReadTimeout:    file.Duration("entry", "read-timeout", 10*time.Second, 100*time.Millisecond, time.Hour),
		IdleTimeout:    file.Duration("entry", "idle-timeout", time.Minute, 100*time.Millisecond, time.Hour),
		WriteTimeout:   file.Duration("entry", "write-timeout", 10*time.Second, 100*time.Millisecond, time.Hour),
		SilenceTimeout: file.Duration("entry", "silence-timeout", 1500*time.Millisecond, 100*time.Millisecond, time.Minute),
		RequestTimeout: file.Duration("entry", "request-timeout", 10*time.Minute, time.Second, maxDuration),
		Grace:          file.Duration("entry", "grace", 10*time.Minute, 0, maxDuration),
		Routing:        file.Choice("entry", "routing", "cost", "cost", "round-robin", "least-in-flight"),
		AvoidSlow:      file.Choice("entry", "avoid-slow", "yes", "yes", "no") == "yes",
		MaxConnections: int(file.Int("entry", "max-connections", 10000, 1, 1e6)),
	}
}

func readSidecar(file *inifile.File) Sidecar {
	file.Required("sidecar", "target", "IP:PORT")
	config := Sidecar{
		Kind:              file.Choice("sidecar", "kind", "model", "model", "service"),
		Target:            file.Address("sidecar", "target", ""),
		Service:           file.String("sidecar", "service", ""),
		Listen:            file.Address("sidecar", "listen", ""),
		MemoryBytes:       uint64(file.Int("sidecar", "memory-mib", 0, 0, 16<<20)) * mib,
		KVReserveBytes:    uint64(file.Int("sidecar", "kv-reserve-mib", 0, 0, 16<<20)) * mib,
		Slots:             int(file.Int("sidecar", "slots", 16, 1, 4096)),
		QueueLimit:        int(file.Int("sidecar", "queue-limit", 256, 1, 1e6)),
		MaxQueueTime:      file.Duration("sidecar", "max-queue-time", 2*time.Second, 0, time.Hour),
		QueuePolicy:       file.Choice("sidecar", "queue-policy", "attained", "attained", "first-come"),
		Residency:         file.Choice("sidecar", "residency", "placed", "placed", "on-demand"),
		MinimumStay:       file.Duration("sidecar", "minimum-stay", 10*time.Second, 0, time.Hour),
		ChecksFence:       file.Choice("sidecar", "target-checks-fence", "no", "yes", "no") == "yes",
		OrderLifetime:     file.Duration("sidecar", "order-lifetime", 30*time.Second, 0, time.Hour),
		OrderTimeout:      file.Duration("sidecar", "order-timeout", 20*time.Second, 100*time.Millisecond, time.Hour),
		Grace:             file.Duration("sidecar", "grace", 30*time.Second, 0, maxDuration),
		CallTimeout:       file.Duration("sidecar", "call-timeout", 30*time.Second, 10*time.Millisecond, time.Hour),
		KeyRetention:      file.Duration("sidecar", "key-retention", 24*time.Hour, time.Second, 30*24*time.Hour),
		OpaqueRetryWindow: file.Duration("sidecar", "opaque-retry-window", 15*time.Minute, 0, maxDuration),
	}
	if config.Kind == "service" && config.Service == "" {
		file.AddProblem("sidecar", "service", "is missing; allowed: the name of a listed service")
	}
	if config.Kind == "model" && config.MemoryBytes <= config.KVReserveBytes {
		file.AddProblem("sidecar", "memory-mib", "is missing or not above kv-reserve-mib; allowed: the accelerator's memory in MiB")
	}
	return config
}
