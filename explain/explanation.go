package explain

import "time"

// Outcome is what is expected of a request.
type Outcome string

// The outcomes.
const (
	Sent    Outcome = "sent"    // at once
	Waits   Outcome = "waits"   // and is then sent, as far as is known now
	Refused Outcome = "refused" // by the gateway
)

// Explanation is where a gateway would route a request and why. Parts that the gateway would not come to, as it refuses the request before,
// are nil.
type Explanation struct {
	Gateway       string    `json:"gateway"`
	At            time.Time `json:"at"`
	RoutesVersion int64     `json:"routes-version,omitempty"`
	Outcome       Outcome   `json:"outcome"`
	Refusal       *Refusal  `json:"refusal,omitempty"`
	Waits         []Wait    `json:"waits,omitempty"` // in their order
	Route         *Route    `json:"route,omitempty"`
	Customer      *Customer `json:"customer,omitempty"`
	Quota         *Quota    `json:"quota,omitempty"`
	Request       *Decoded  `json:"request,omitempty"`
	Choice        *Choice   `json:"choice,omitempty"`
	Notes         []string  `json:"notes,omitempty"` // what the explanation does not cover
}

// Refusal is how the gateway would refuse the request.
type Refusal struct {
	Reason       string  `json:"reason"`
	Status       int     `json:"status"`
	RetryAfterMs float64 `json:"retry-after-ms,omitempty"`
}

// Wait is something that the request would wait for.
type Wait struct {
	Cause      string  `json:"cause"`
	ExpectedMs float64 `json:"expected-ms,omitempty"`
	Ahead      int     `json:"ahead,omitempty"` // requests that are served before
}

// Causes of waits.
const (
	WaitForQuota   = "quota"
	WaitForOrigin  = "stream-origin" // agents or the store are asked at which software version the stream began
	WaitForModel   = "model"
	WaitForRoom    = "room"
	WaitForAdapter = "adapter"
	WaitForTurn    = "prefill-turn"
)

// Route is the route of the request.
type Route struct {
	Name        string    `json:"name"`
	Host        string    `json:"host"`
	Prefix      string    `json:"prefix"`
	Kind        string    `json:"kind"`
	Resumable   bool      `json:"resumable"`
	Public      bool      `json:"public"`
	MaxAttempts int       `json:"max-attempts"`
	Service     string    `json:"service"` // that the request goes to
	Backends    []Backend `json:"backends,omitempty"`
}

// Backend is a service of the route with its weight. The id of a request decides which one it goes to.
type Backend struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// Customer is the customer of the request, and whether the gateway serves it.
type Customer struct {
	Name     string `json:"name,omitempty"` // empty without one
	KeyCheck string `json:"key"`            // accepted, given-by-name, not-needed, or why it is refused
	Priority int    `json:"priority"`       // of the request
}

// Quota is what the gateway knows of the quota of the customer without asking the agents that keep it.
type Quota struct {
	Unit           string  `json:"unit"`
	PerSecond      float64 `json:"per-second"`
	Burst          float64 `json:"burst"`
	Cost           float64 `json:"cost"`
	Held           float64 `json:"held"`     // granted to this gateway and not used
	Expected       float64 `json:"expected"` // left at the keepers, by their last answers
	Keepers        int     `json:"keepers"`
	Reachable      int     `json:"reachable"`
	Prospect       string  `json:"prospect"`
	Keeper         string  `json:"keeper,omitempty"` // that would be asked first
	WaitingBefore  int     `json:"waiting-before,omitempty"`
	AccountVersion int64   `json:"account-version,omitempty"` // of the routes that the account's limit is from
}

// Decoded is what the gateway reads from the headers of the request.
type Decoded struct {
	ID              string  `json:"id,omitempty"`
	Model           string  `json:"model,omitempty"`
	Adapter         string  `json:"adapter,omitempty"`
	PromptTokens    int     `json:"prompt-tokens,omitempty"`
	MaxOutputTokens int     `json:"max-output-tokens,omitempty"`
	PromptParts     int     `json:"prompt-parts,omitempty"`
	Resumed         bool    `json:"resumed,omitempty"`
	DeadlineMs      float64 `json:"deadline-ms"`   // until the answer must have ended
	FirstByteMs     float64 `json:"first-byte-ms"` // until it must have begun
}

// Choice is the choice among the targets of the service.
type Choice struct {
	Gateways        int         `json:"gateways"`                   // that the choice allows for
	DrawnByShare    bool        `json:"drawn-by-share"`             // else the least cost is chosen
	SoftwareVersion string      `json:"software-version,omitempty"` // at which alone the stream goes on
	LacksModel      bool        `json:"lacks-model,omitempty"`      // no target holds the model
	Candidates      []Candidate `json:"candidates"`
	MoreCandidates  int         `json:"more-candidates,omitempty"` // that are not listed
	LeftOut         []LeftOut   `json:"left-out"`
	MoreLeftOut     int         `json:"more-left-out,omitempty"`
}

// Candidate is a target that is compared with others.
type Candidate struct {
	Target        string  `json:"target"`
	Address       string  `json:"address"`
	Zone          string  `json:"zone"`
	Share         float64 `json:"share"` // of the choices
	CostMs        float64 `json:"cost-ms"`
	Costs         []Cost  `json:"costs"` // parts of the cost other than 0
	ExpectedMs    float64 `json:"expected-ms"`
	PrefillTokens int     `json:"prefill-tokens,omitempty"`
	FetchTokens   int     `json:"fetch-tokens,omitempty"`
	FetchFrom     string  `json:"fetch-from,omitempty"`
	LoadsAdapter  bool    `json:"loads-adapter,omitempty"`
	HasRoom       bool    `json:"has-room"`
	Connected     bool    `json:"connected,omitempty"` // told only for choices that are drawn
	ReportAgeMs   float64 `json:"report-age-ms"`       // negative without a report
	TurnWaitMs    float64 `json:"turn-wait-ms,omitempty"`
	Unseen        float64 `json:"unseen-requests,omitempty"`
}

// Cost is a part of the cost of a target.
type Cost struct {
	Part string  `json:"part"`
	Ms   float64 `json:"ms"`
}

// LeftOut is a target of the service that is not a candidate.
type LeftOut struct {
	Target  string  `json:"target"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Why     string  `json:"why"`
	WaitMs  float64 `json:"wait-ms,omitempty"` // until it may get a request, by what it has said of itself
}
