package deployment

import (
	"fmt"
	"strings"
	"time"

	"gypsumbank/plan"
	"gypsumbank/standin/weights"
)

const (
	modelMiB       = 14 * 1024
	adapterMiB     = 64
	acceleratorMiB = 64 * 1024
	kvReserveMiB   = 16 * 1024 // part of acceleratorMiB that is kept for the KV cache
)

// Size is the configuration of a deployment: the number of its parts, the limits and delays of its stand-ins, and
// settings of its roles.
type Size struct {
	Name            string
	Zones           []string // availability zones
	Entries         int
	ModelReplicas   int
	LedgerReplicas  int
	Models          int
	Adapters        int
	Weights         weights.Limits
	Members         []string      // each has one customer
	ListLag         time.Duration // until a change of the VM list shows
	PollInterval    time.Duration // setting poll-interval of the roles
	ReportLag       time.Duration // age of the engines' load reports and cache events
	StepBase        time.Duration // fixed part of the time of an engine's decoding step
	StepPerSequence time.Duration // added to a decoding step by each sequence in the batch
	Slots           int           // sequences in one batch of an engine
	ChecksFence     bool          // engines check the fencing number of orders
	OrderLifetime   time.Duration // setting order-lifetime of the model sidecars
	Grace           time.Duration // longest drain of a role, setting grace
	RestartTime     time.Duration // time that an engine is down after a crash
	ZoneDelay       time.Duration // one way between availability zones
	Policy          Policy
	Seed            uint64 // seed of the stand-ins
}

// Policy is a set of settings for routing, queueing and residency, as lines of the section [entry] and of the section
// [sidecar] of model sidecars. Settings that it doesn't name have their defaults.
type Policy struct {
	Entry   string
	Sidecar string
}

// Policies returns the policies by name: default is that of the system, the others are baselines to compare with.
func Policies() map[string]Policy {
	onDemandSidecar := "queue-policy = first-come\nmax-queue-time = 0s\nresidency = on-demand\nminimum-stay = 0s\n"
	return map[string]Policy{
		"default":         {},
		"first-come":      {Sidecar: "queue-policy = first-come\nmax-queue-time = 0s\n"},
		"no-avoidance":    {Entry: "avoid-slow = no\n"},
		"round-robin":     {Entry: "routing = round-robin\n", Sidecar: onDemandSidecar},
		"least-in-flight": {Entry: "routing = least-in-flight\n", Sidecar: onDemandSidecar},
	}
}

// Small returns the configuration for tests, with two availability zones, four model engines, two ledger replicas and
// short delays.
func Small() Size {
	return Size{
		Name:           "small",
		Zones:          []string{"zone-a", "zone-b"},
		Entries:        2,
		ModelReplicas:  4,
		LedgerReplicas: 2,
		Models:         6,
		Adapters:       6,
		Weights: weights.Limits{
			LoadsPerSecond: 20, FullSpeedModelLoads: 6, ModelLoadTime: 100 * time.Millisecond,
			FullSpeedAdapterLoads: 16, AdapterLoadTime: 5 * time.Millisecond,
		},
		Members:         []string{"refill-namib", "magnolia-mat"},
		ListLag:         200 * time.Millisecond,
		PollInterval:    250 * time.Millisecond,
		ReportLag:       time.Second,
		StepBase:        8 * time.Millisecond,
		StepPerSequence: 400 * time.Microsecond,
		Slots:           16,
		ChecksFence:     true,
		OrderLifetime:   2 * time.Second,
		Grace:           5 * time.Second,
		RestartTime:     time.Second,
		Seed:            1,
	}
}

// Namib returns a configuration with the present size of Refill Namib's system.
func Namib() Size {
	size := Small()
	size.Name = "namib"
	size.Zones = []string{"khomas-a", "khomas-b", "khomas-c", "khomas-d"}
	size.Entries = 4
	size.ModelReplicas = 18
	size.LedgerReplicas = 4
	size.StepBase = 20 * time.Millisecond
	size.StepPerSequence = 600 * time.Microsecond
	size.ZoneDelay = 3500 * time.Microsecond
	size.Models = 34
	size.Adapters = 95
	size.Weights = weights.Limits{
		LoadsPerSecond: 2, FullSpeedModelLoads: 6, ModelLoadTime: 2 * time.Second,
		FullSpeedAdapterLoads: 50, AdapterLoadTime: 5 * time.Millisecond,
	}
	return size
}

// Magnolia returns a configuration with the present size of Magnolia Mat's system.
func Magnolia() Size {
	size := Namib()
	size.Name = "magnolia"
	size.Zones = []string{"southeast-a", "southeast-b", "southeast-c", "southeast-d"}
	size.ModelReplicas = 12
	size.Models = 25
	size.Adapters = 60
	size.Weights = weights.Limits{
		LoadsPerSecond: 1.5, FullSpeedModelLoads: 2, ModelLoadTime: 1500 * time.Millisecond,
		FullSpeedAdapterLoads: 16, AdapterLoadTime: 7 * time.Millisecond,
	}
	return size
}

// Sizes returns the functions that return a configuration, by its name.
func Sizes() map[string]func() Size {
	return map[string]func() Size{"small": Small, "namib": Namib, "magnolia": Magnolia}
}

// Zone returns the availability zone of an entry, engine or ledger replica by its number; each kind is spread evenly
// over the zones.
func (s Size) Zone(number int) string { return s.Zones[number%len(s.Zones)] }

// Key returns the bearer key of a member's customer.
func (s Size) Key(member string) string { return "key-of-" + member + "-counter" }

// Customer returns the name of a member's only customer.
func (s Size) Customer(member string) string { return member + "-counter" }

// Plans returns the text of the list of customers and their plans that a deployment starts with.
func (s Size) Plans() string {
	var text strings.Builder
	text.WriteString("version = 0\n")
	for _, member := range s.Members {
		fmt.Fprintf(&text, "\n[customer %s]\nmember = %s\nplan = counter\nkey-sha256 = %s\n", s.Customer(member), member, plan.HashKey(s.Key(member)))
	}
	return text.String()
}

// Allowances returns the text of the list of members, plans, services, models and adapters that a deployment starts
// with.
func (s Size) Allowances() string {
	var text strings.Builder
	text.WriteString("version = 0\n")
	for _, member := range s.Members {
		fmt.Fprintf(&text, "\n[member %s]\nshare = 1\n", member)
	}
	text.WriteString("\n[plan counter]\npriority = 5\nrequests-per-second = 500\nconcurrent-requests = 1000\ntokens-per-minute = 6000000\nmodels = *\nadapters = *\nservices = ledger\n")
	text.WriteString("\n[service ledger]\n")
	for i := range s.Models {
		fmt.Fprintf(&text, "\n[model %s]\nversion = 1\nmemory-mib = %d\n", ModelName(i), modelMiB)
	}
	for i := range s.Adapters {
		fmt.Fprintf(&text, "\n[adapter %s]\nmodel = %s\nversion = 1\nmemory-mib = %d\n", AdapterName(i), ModelName(i%s.Models), adapterMiB)
	}
	return text.String()
}

// ModelName returns the name of the model with the given number.
func ModelName(number int) string { return fmt.Sprintf("blend-%02d", number) }

// AdapterName returns the name of the adapter with the given number.
func AdapterName(number int) string { return fmt.Sprintf("counter-%02d", number) }
