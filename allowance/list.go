package allowance

import (
	"fmt"
	"regexp"
	"sort"

	"gypsumbank/inifile"
)

const (
	bytesPerMiB              = 1 << 20
	maxMemoryMiB             = 4 << 20 // 4 TiB
	maxPriority              = 9
	allowedNameForm          = "letters, digits, dots, dashes and underscores, at most 64"
	defaultShare             = 1
	defaultRequestsPerSecond = 100.0
	defaultConcurrency       = 64
	defaultTokensPerMinute   = 600000
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// Plan holds the limits of the customers on one plan and the models, adapters and services that they may use.
type Plan struct {
	Name               string
	Priority           int // from 0 to 9; requests of a higher one are served earlier
	RequestsPerSecond  float64
	ConcurrentRequests int
	TokensPerMinute    int64
	models             map[string]bool // names, or "*" for all
	adapters           map[string]bool // names, or "*" for all
	services           map[string]bool // names, or "*" for all
}

// Model is a listed model.
type Model struct {
	Name    string
	Version uint32
	Bytes   uint64 // of accelerator memory
}

// Adapter is a listed adapter of a base model.
type Adapter struct {
	Name    string
	Base    string // name of the base model
	Version uint32
	Bytes   uint64 // of accelerator memory
}

// List holds the parsed allowances.
type List struct {
	version  uint64
	plans    map[string]Plan
	members  map[string]int64 // share by name
	models   map[string]Model
	adapters map[string]Adapter
	services map[string]bool
}

// New parses the text of the allowances; name stands for it in errors. The error wraps inifile.ErrInvalid if any part
// is invalid.
func New(name string, data []byte) (*List, error) {
	file, err := inifile.New(name, data)
	if err != nil {
		return nil, err
	}
	list := &List{
		plans:    map[string]Plan{},
		members:  map[string]int64{},
		models:   map[string]Model{},
		adapters: map[string]Adapter{},
		services: map[string]bool{},
	}
	list.version = uint64(file.Int("DEFAULT", "version", 0, 0, 1<<53))
	list.parseMembers(file)
	list.parseModels(file)
	list.parseAdapters(file)
	list.parseServices(file)
	list.parsePlans(file)
	if err := file.Err(); err != nil {
		return nil, err
	}
	return list, nil
}

// Version returns the version that the text states, which is that of the list it was edited from.
func (l *List) Version() uint64 { return l.version }

// Plan returns the plan of that name.
func (l *List) Plan(name string) (Plan, bool) {
	plan, ok := l.plans[name]
	return plan, ok
}

// Model returns the model of that name.
func (l *List) Model(name string) (Model, bool) {
	model, ok := l.models[name]
	return model, ok
}

// Adapter returns the adapter of that name.
func (l *List) Adapter(name string) (Adapter, bool) {
	adapter, ok := l.adapters[name]
	return adapter, ok
}

// HasService reports whether the service is listed.
func (l *List) HasService(name string) bool { return l.services[name] }

// MemberShare returns the share of a member and whether it is listed.
func (l *List) MemberShare(name string) (int64, bool) {
	share, ok := l.members[name]
	return share, ok
}

// MemberShares returns the shares of all members by name.
func (l *List) MemberShares() map[string]int64 { return l.members }

// Models returns all models, sorted by name.
func (l *List) Models() []Model {
	models := make([]Model, 0, len(l.models))
	for _, model := range l.models {
		models = append(models, model)
	}
	sort.Slice(models, func(i, j int) bool { return models[i].Name < models[j].Name })
	return models
}

// Adapters returns all adapters, sorted by name.
func (l *List) Adapters() []Adapter {
	adapters := make([]Adapter, 0, len(l.adapters))
	for _, adapter := range l.adapters {
		adapters = append(adapters, adapter)
	}
	sort.Slice(adapters, func(i, j int) bool { return adapters[i].Name < adapters[j].Name })
	return adapters
}

// AllowsModel reports whether the plan may use the model.
func (p Plan) AllowsModel(name string) bool { return p.models["*"] || p.models[name] }

// AllowsAdapter reports whether the plan may use the adapter.
func (p Plan) AllowsAdapter(name string) bool { return p.adapters["*"] || p.adapters[name] }

// AllowsService reports whether the plan may use the service.
func (p Plan) AllowsService(name string) bool { return p.services["*"] || p.services[name] }

func (l *List) parseMembers(file *inifile.File) {
	for _, name := range file.SectionNames("member") {
		checkName(file, "member "+name, name)
		l.members[name] = file.Int("member "+name, "share", defaultShare, 1, 1000000)
	}
}

func (l *List) parseModels(file *inifile.File) {
	for _, name := range file.SectionNames("model") {
		section := "model " + name
		checkName(file, section, name)
		l.models[name] = Model{
			Name:    name,
			Version: uint32(file.Int(section, "version", 1, 1, 1<<31)),
			Bytes:   parseMemory(file, section),
		}
	}
}

func (l *List) parseAdapters(file *inifile.File) {
	for _, name := range file.SectionNames("adapter") {
		section := "adapter " + name
		checkName(file, section, name)
		base := file.Required(section, "model", "the name of a listed model")
		if _, ok := l.models[base]; base != "" && !ok {
			file.AddProblem(section, "model", fmt.Sprintf("%q is not a listed model", base))
		}
		if _, ok := l.models[name]; ok {
			file.AddProblem(section, "name", "is also the name of a model")
		}
		l.adapters[name] = Adapter{
			Name:    name,
			Base:    base,
			Version: uint32(file.Int(section, "version", 1, 1, 1<<31)),
			Bytes:   parseMemory(file, section),
		}
	}
}

func (l *List) parseServices(file *inifile.File) {
	for _, name := range file.SectionNames("service") {
		checkName(file, "service "+name, name)
		file.String("service "+name, "description", "")
		l.services[name] = true
	}
}

func (l *List) parsePlans(file *inifile.File) {
	for _, name := range file.SectionNames("plan") {
		section := "plan " + name
		checkName(file, section, name)
		l.plans[name] = Plan{
			Name:               name,
			Priority:           int(file.Int(section, "priority", maxPriority/2, 0, maxPriority)),
			RequestsPerSecond:  file.Float(section, "requests-per-second", defaultRequestsPerSecond, 0.01, 1e6),
			ConcurrentRequests: int(file.Int(section, "concurrent-requests", defaultConcurrency, 1, 1e6)),
			TokensPerMinute:    file.Int(section, "tokens-per-minute", defaultTokensPerMinute, 1, 1e12),
			models:             parseNames(file, section, "models", func(n string) bool { _, ok := l.models[n]; return ok }),
			adapters:           parseNames(file, section, "adapters", func(n string) bool { _, ok := l.adapters[n]; return ok }),
			services:           parseNames(file, section, "services", l.HasService),
		}
	}
}

// parseNames returns the names listed under a key and reports those that are neither listed nor "*".
func parseNames(file *inifile.File, section, key string, isListed func(string) bool) map[string]bool {
	names := map[string]bool{}
	for _, name := range file.List(section, key) {
		if name != "*" && !isListed(name) {
			file.AddProblem(section, key, fmt.Sprintf("%q is not listed; allowed: * or names of this list", name))
		}
		names[name] = true
	}
	return names
}

func parseMemory(file *inifile.File, section string) uint64 {
	file.Required(section, "memory-mib", "a whole number of MiB")
	return uint64(file.Int(section, "memory-mib", 1, 1, maxMemoryMiB)) * bytesPerMiB
}

func checkName(file *inifile.File, section, name string) {
	if !namePattern.MatchString(name) {
		file.AddProblem(section, "name", "is not allowed; allowed: "+allowedNameForm)
	}
}
