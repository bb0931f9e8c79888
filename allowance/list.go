package allowance

import (
	"fmt"
	"regexp"
	"sort"

	"gypsumbank/inifile"
)

const (
	mib            = 1 << 20
	maxMemoryMiB   = 4 << 20
	maxPriority    = 9
	nameAllowed    = "letters, digits, dots, dashes and underscores, at most 64"
	defaultShare   = 1
	defaultRate    = 100.0
	defaultStreams = 64
	defaultTokens  = 600000
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// Plan says what the customers on one plan may use.
type Plan struct {
	Name               string
	Priority           int
	RequestsPerSecond  float64
	ConcurrentRequests int
	TokensPerMinute    int64
	models             map[string]bool
	adapters           map[string]bool
	services           map[string]bool
}

// Model is a listed model with its version and its memory in bytes.
type Model struct {
	Name    string
	Version uint32
	Bytes   uint64
}

// Adapter is a listed adapter with its base model, its version and its memory in bytes.
type Adapter struct {
	Name    string
	Base    string
	Version uint32
	Bytes   uint64
}

// List is the list of what each plan may use.
type List struct {
	version  uint64
	plans    map[string]Plan
	members  map[string]int64
	models   map[string]Model
	adapters map[string]Adapter
	services map[string]bool
}

// New parses the list and returns an error that wraps inifile.ErrInvalid if any part is invalid.
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
	list.addMembers(file)
	list.addModels(file)
	list.addAdapters(file)
	list.addServices(file)
	list.addPlans(file)
	if err := file.Err(); err != nil {
		return nil, err
	}
	return list, nil
}

// Version returns the version of the list that the text was written against.
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

// HasService reports whether the plain service is listed.
func (l *List) HasService(name string) bool { return l.services[name] }

// MemberShare returns the share of a member and whether it is listed.
func (l *List) MemberShare(name string) (int64, bool) {
	share, ok := l.members[name]
	return share, ok
}

// MemberShares returns the share of every member by name.
func (l *List) MemberShares() map[string]int64 { return l.members }

// Models returns all models in order of name.
func (l *List) Models() []Model {
	models := make([]Model, 0, len(l.models))
	for _, model := range l.models {
		models = append(models, model)
	}
	sort.Slice(models, func(i, j int) bool { return models[i].Name < models[j].Name })
	return models
}

// Adapters returns all adapters in order of name.
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

func (l *List) addMembers(file *inifile.File) {
	for _, name := range file.SectionNames("member") {
		checkName(file, "member "+name, name)
		l.members[name] = file.Int("member "+name, "share", defaultShare, 1, 1000000)
	}
}

func (l *List) addModels(file *inifile.File) {
	for _, name := range file.SectionNames("model") {
		section := "model " + name
		checkName(file, section, name)
		l.models[name] = Model{
			Name:    name,
			Version: uint32(file.Int(section, "version", 1, 1, 1<<31)),
			Bytes:   memory(file, section),
		}
	}
}

func (l *List) addAdapters(file *inifile.File) {
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
			Bytes:   memory(file, section),
		}
	}
}

func (l *List) addServices(file *inifile.File) {
	for _, name := range file.SectionNames("service") {
		checkName(file, "service "+name, name)
		file.String("service "+name, "description", "")
		l.services[name] = true
	}
}

func (l *List) addPlans(file *inifile.File) {
	for _, name := range file.SectionNames("plan") {
		section := "plan " + name
		checkName(file, section, name)
		l.plans[name] = Plan{
			Name:               name,
			Priority:           int(file.Int(section, "priority", maxPriority/2, 0, maxPriority)),
			RequestsPerSecond:  file.Float(section, "requests-per-second", defaultRate, 0.01, 1e6),
			ConcurrentRequests: int(file.Int(section, "concurrent-requests", defaultStreams, 1, 1e6)),
			TokensPerMinute:    file.Int(section, "tokens-per-minute", defaultTokens, 1, 1e12),
			models:             listed(file, section, "models", func(n string) bool { _, ok := l.models[n]; return ok }),
			adapters:           listed(file, section, "adapters", func(n string) bool { _, ok := l.adapters[n]; return ok }),
			services:           listed(file, section, "services", l.HasService),
		}
	}
}

func listed(file *inifile.File, section, key string, known func(string) bool) map[string]bool {
	names := map[string]bool{}
	for _, name := range file.List(section, key) {
		if name != "*" && !known(name) {
			file.AddProblem(section, key, fmt.Sprintf("%q is not listed; allowed: * or names of this list", name))
		}
		names[name] = true
	}
	return names
}

func memory(file *inifile.File, section string) uint64 {
	file.Required(section, "memory-mib", "a whole number of MiB")
	return uint64(file.Int(section, "memory-mib", 1, 1, maxMemoryMiB)) * mib
}

func checkName(file *inifile.File, section, name string) {
	if !namePattern.MatchString(name) {
		file.AddProblem(section, "name", "is not allowed; allowed: "+nameAllowed)
	}
}
