package agent

import (
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"gypsumbank/fairshare"
	"gypsumbank/turns"
	"gypsumbank/wire"
)

// prefillTurns lets gateways send long prompts to the engine in turns.
type prefillTurns struct {
	now     func() time.Time
	log     *logrus.Entry
	changed func() // called without the lock after the work that waits has changed

	mu     sync.Mutex
	queue  *turns.Queue
	owners map[turns.Owner]*turnOwner
	last   turns.Owner
	timer  *time.Timer // calls advance when the next decision is due
}

// turnOwner is one connection of a gateway.
type turnOwner struct {
	id          turns.Owner
	node        string
	heartbeatAt time.Time         // of the last update that told of the prompts that the gateway has sent
	unsent      *wire.TargetState // decisions to be sent; nil if there are none
	ready       chan struct{}     // holds a value if unsent is set
}

func newPrefillTurns(now func() time.Time, log *logrus.Entry, changed func()) *prefillTurns {
	p := &prefillTurns{now: now, log: log, changed: changed, queue: turns.New(turns.Limit), owners: map[turns.Owner]*turnOwner{}}
	p.timer = time.AfterFunc(time.Hour, p.advance)
	p.timer.Stop()
	return p
}

// add registers a connection of a gateway.
func (p *prefillTurns) add() *turnOwner {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.last++
	owner := &turnOwner{id: p.last, ready: make(chan struct{}, 1)}
	p.owners[owner.id] = owner
	return owner
}

// remove frees the turns of a connection that has ended.
func (p *prefillTurns) remove(owner *turnOwner) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.owners, owner.id)
	p.queue.Remove(owner.id, p.now())
	p.advanceLocked()
}

// handle records what a gateway asks for and what has ended.
func (p *prefillTurns) handle(owner *turnOwner, update *wire.WatcherUpdate) {
	p.mu.Lock()
	now := p.now()
	if !update.GetTurnsOnly() {
		owner.node, owner.heartbeatAt = update.GetNode(), now
	}
	asked := len(update.GetPrefillRequests()) > 0
	if !asked && len(update.GetEndedPrefills()) == 0 {
		p.mu.Unlock()
		return
	}
	for _, id := range update.GetEndedPrefills() {
		p.queue.End(owner.id, id, now)
	}
	for _, r := range update.GetPrefillRequests() {
		p.queue.Ask(owner.id, turns.Request{
			ID: r.GetId(), Content: r.GetContent(), GiveUp: now.Add(time.Duration(r.GetWaitMs()) * time.Millisecond),
			Rank: turns.Rank{
				Priority: int(r.GetPriority()), Objective: now.Add(time.Duration(r.GetObjectiveMs()) * time.Millisecond),
				Prefill: time.Duration(float64(r.GetPrefillMs()) * float64(time.Millisecond)), Returned: r.GetReturned(),
				Customer: fairshare.Customer(r.GetCustomer()), Weight: float64(r.GetCustomerWeight()),
			},
		}, now)
	}
	p.advanceLocked()
	p.mu.Unlock()
	if asked {
		p.changed()
	}
}

// advance takes the decisions that are due.
func (p *prefillTurns) advance() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advanceLocked()
}

func (p *prefillTurns) advanceLocked() {
	now := p.now()
	decisions, next := p.queue.Advance(now)
	for _, d := range decisions {
		owner := p.owners[d.Owner]
		if owner == nil {
			continue
		}
		p.record(owner, d)
		owner.queueDecision(d)
	}
	if next.IsZero() {
		p.timer.Stop()
		return
	}
	p.timer.Reset(max(time.Millisecond, next.Sub(now)))
}

// record counts a decision, and logs those that show too much load or a gateway that is frozen or cut off.
func (p *prefillTurns) record(owner *turnOwner, d turns.Decision) {
	outcome := ""
	switch d.Kind {
	case turns.Waiting:
		return
	case turns.Granted:
		outcome = "granted"
		metrics.GetOrCreateHistogram(`gypsumbank_agent_turn_wait_seconds{priority="` + strconv.Itoa(d.Priority) + `"}`).Update(d.Wait.Seconds())
		if d.Position != fairshare.NoPosition {
			metrics.GetOrCreateHistogram(`gypsumbank_agent_turn_share_wait_seconds{service="` + string(d.Position) + `"}`).Update(d.Wait.Seconds())
		}
		if d.ByShare {
			metrics.GetOrCreateCounter(`gypsumbank_agent_turns_by_share_total`).Inc()
		}
	case turns.Refused:
		outcome = "refused"
	case turns.Expired:
		outcome = "expired"
	}
	metrics.GetOrCreateCounter(`gypsumbank_agent_turns_total{outcome="` + outcome + `"}`).Inc()
	if d.Kind == turns.Granted {
		return
	}
	waits, granted := p.queue.Len()
	log := p.log.WithFields(logrus.Fields{
		"outcome": outcome, "gateway": owner.node, "turn": d.ID, "priority": d.Priority, "wait-ms": d.Wait.Milliseconds(), "ahead": d.Ahead, "waiting": waits, "granted": granted,
	})
	if d.Position != fairshare.NoPosition {
		log = log.WithField("customer-service", d.Position)
	}
	log.Info("prefill turn ends")
}

// queueDecision adds a decision to those to be sent.
func (o *turnOwner) queueDecision(d turns.Decision) {
	if d.Kind == turns.Expired {
		return
	}
	if o.unsent == nil {
		o.unsent = &wire.TargetState{GrantsOnly: true, GrantsTurns: true}
		o.ready <- struct{}{}
	}
	if d.Kind == turns.Granted {
		o.unsent.GrantedPrefills = append(o.unsent.GrantedPrefills, d.ID)
		return
	}
	o.unsent.WaitingPrefills = append(o.unsent.WaitingPrefills, &wire.PrefillWait{Id: d.ID, WaitMs: uint32(d.Wait.Milliseconds()), Refused: d.Kind == turns.Refused})
}

// take returns the decisions to be sent to a gateway; it is called once for each value of ready.
func (p *prefillTurns) take(owner *turnOwner) *wire.TargetState {
	p.mu.Lock()
	defer p.mu.Unlock()
	message := owner.unsent
	owner.unsent = nil
	return message
}

// workMs returns the expected time to prefill the prompts that wait for a turn, and that of those which were granted one
// but that their gateways have not reported as sent yet.
func (p *prefillTurns) workMs() (waiting, granted float32) {
	p.mu.Lock()
	defer p.mu.Unlock()
	waits, sent := p.queue.Work(func(id turns.Owner, grantedAt time.Time) bool {
		owner := p.owners[id]
		return owner == nil || owner.heartbeatAt.After(grantedAt)
	})
	return float32(waits.Seconds() * 1000), float32(sent.Seconds() * 1000)
}
