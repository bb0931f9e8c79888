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
	kvReserveMiB   = 16 * 1024
)

// Size describes a deployment.
type Size struct {
	Name            string
	Zones           []string
	Entries         int
	ModelReplicas   int
	LedgerReplicas  int
	Models          int
	Adapters        int
	Weights         weights.Limits
	Members         []string
	ListLag         time.Duration
	PollInterval    time.Duration
	ReportLag       time.Duration
	StepBase        time.Duration
	StepPerSequence time.Duration
	Slots           int
	ChecksFence     bool
	OrderLifetime   time.Duration
	Grace           time.Duration
	RestartTime     time.Duration
	ZoneDelay       time.Duration // one way between availability zones
	Policy          Policy
	Seed            uint64
}

// Policy is the set of settings that decide, as lines for the sections of entries and sidecars.
type Policy struct {
	Entry   string
	Sidecar string
}

// Policies returns the system's own policy, as default, and the baselines by name.
func Policies() map[string]Policy {
	onDemand := "queue-policy = first-come\nmax-queue-time = 0s\nresidency = on-demand\nminimum-stay = 0s\n"
	return map[string]Policy{
		"default":         {},
		"first-come":      {Sidecar: "queue-policy = first-come\nmax-queue-time = 0s\n"},
		"no-avoidance":    {Entry: "avoid-slow = no\n"},
		"round-robin":     {Entry: "routing = round-robin\n", Sidecar: onDemand},
		"least-in-flight": {Entry: "routing = least-in-flight\n", Sidecar: onDemand},
	}
}

// Small returns a deployment of two availability zones, four model replicas and two ledger replicas.
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

// Namib returns a deployment of Refill Namib's size of today.
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

// Magnolia returns a deployment of Magnolia Mat's size of today.
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

// Sizes returns the deployments by name.
func Sizes() map[string]func() Size {
	return map[string]func() Size{"small": Small, "namib": Namib, "magnolia": Magnolia}
}

// Zone returns the availability zone of the node with the given number.
func (s Size) Zone(number int) string { return s.Zones[number%len(s.Zones)] }

// Key returns the key of a member's customer.
func (s Size) Key(member string) string { return "key-of-" + member + "-counter" }

// Customer returns the name of a member's customer.
func (s Size) Customer(member string) string { return member + "-counter" }

// Plans returns the text of the first list of customers' plans.
func (s Size) Plans() string {
	var text strings.Builder
	text.WriteString("version = 0\n")
	for _, member := range s.Members {
		fmt.Fprintf(&text, "\n[customer %s]\nmember = %s\nplan = counter\nkey-sha256 = %s\n", s.Customer(member), member, plan.HashKey(s.Key(member)))
	}
	return text.String()
}

// Allowances returns the text of the first list of what each plan may use.
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
