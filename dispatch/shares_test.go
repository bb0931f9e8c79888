package dispatch

import (
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"gypsumbank/fleet"
	"gypsumbank/registry"
	"gypsumbank/reply"
	"gypsumbank/request"
	"gypsumbank/waitlist"
)

// TestCustomersShareRoom has many requests of one customer wait for full engines, then one of another customer, all equally urgent. With
// many gateways the other customer's must be served first, with few the order stays that of arrival.
func TestCustomersShareRoom(t *testing.T) {
	for gateways, wantAhead := range map[int]int{29: 0, 4: 6} {
		d := newDispatcher(&scriptedClient{replies: []func() reply.Result{respond(200)}}, time.Now)
		reportGateways(d, gateways)
		r := streamRoute(true)
		r.Timeout, r.LatencyObjective = 20*time.Second, 5*time.Second
		began := time.Now()
		begin := func(customer string) *Dispatch {
			return d.Begin(t.Context(), &request.Request{ID: "r", Model: "m1", Arrived: began, PromptTokens: 9190, MaxOutputTokens: 100, Customer: customer}, r, engineService)
		}
		served := begin("busy")
		if outcome, ok := served.Run().(Answered); !ok {
			t.Fatalf("outcome %#v", outcome)
		}
		served.Close()
		choice, _ := d.fleet.Choose(served.query(), time.Now())
		key := waitlist.Key{Service: engineService, Model: "m1"}
		for range 6 {
			d.waits.Join(key, begin("busy").waitRank(choice))
		}
		if ahead := d.waits.AheadOf(key, begin("other").waitRank(choice), time.Now()); ahead != wantAhead {
			t.Errorf("%d gateways: %d requests are ahead of the other customer's, want %d", gateways, ahead, wantAhead)
		}
	}
}

// TestCustomerWithLessServiceGetsRoomFirst has requests of two customers wait for full engines at one of many gateways, those of the customer
// with more service first. When there is room, the other customer's request must be sent first, and be counted.
func TestCustomerWithLessServiceGetsRoomFirst(t *testing.T) {
	const full, room = 75, 10
	d := newDispatcher(&scriptedClient{replies: []func() reply.Result{respond(200)}}, time.Now)
	report := func(requests int) {
		for _, id := range []string{"e1", "e2"} {
			d.fleet.Observe(id, fleet.Observation{Report: registry.Report{Models: []registry.Model{{Name: "m1"}}, KVTotal: 100000}, Requests: requests, Watchers: 29}, time.Now())
		}
	}
	report(full)
	r := streamRoute(true)
	r.Timeout, r.LatencyObjective = 20*time.Second, 5*time.Second
	arrived := time.Now()
	key := waitlist.Key{Service: engineService, Model: "m1"}
	byShare := metrics.GetOrCreateCounter(`gypsumbank_gateway_room_by_share_total`)
	before := byShare.Get()
	served := make(chan string, 4)
	var running sync.WaitGroup
	for i, customer := range []string{"busy", "busy", "busy", "other"} {
		dispatch := d.Begin(t.Context(), &request.Request{ID: "r", Model: "m1", Arrived: arrived, PromptTokens: 100, MaxOutputTokens: 100, Customer: customer}, r, engineService)
		if i == 0 {
			choice, _ := d.fleet.Choose(dispatch.query(), time.Now())
			rank := dispatch.waitRank(choice)
			rank.Cost.Prefill = 200 * time.Millisecond
			d.waits.Grant(rank, time.Now())
		}
		running.Go(func() {
			defer dispatch.Close()
			if outcome, ok := dispatch.Run().(Answered); !ok {
				t.Errorf("outcome %#v", outcome)
			}
			served <- customer
		})
		for began := time.Now(); d.waits.Len(key) < i+1 && time.Since(began) < 5*time.Second; {
			time.Sleep(time.Millisecond)
		}
	}
	report(room)
	running.Wait()
	if first := <-served; first != "other" {
		t.Errorf("a request of customer %q was served first", first)
	}
	if got := byShare.Get() - before; got != 1 {
		t.Errorf("%d requests counted as first by share, want 1", got)
	}
}

// TestServiceOfRequestsThatDidNotRun dispatches requests of a customer that are sent, refused by targets, refused for want of a turn and
// withdrawn. It guards against customers that lose their share by requests which have not run, and requests that cost nothing.
func TestServiceOfRequestsThatDidNotRun(t *testing.T) {
	notRun := func() reply.Result { return reply.NotRun{} }
	waits := []TurnAnswer{{Kind: TurnWaits, Wait: 5 * time.Second}}
	refused := TurnAnswer{Kind: TurnRefused, Wait: 3 * time.Second}
	tests := map[string]struct {
		reply       func() reply.Result
		answers     map[int][]TurnAnswer
		leaves      bool // the caller leaves while its request waits for a turn
		wantService bool
	}{
		"served":             {reply: respond(200), answers: map[int][]TurnAnswer{0: {{Kind: TurnGranted}}}, wantService: true},
		"refused by targets": {reply: notRun},
		"no turn in time":    {reply: respond(200), answers: map[int][]TurnAnswer{0: {refused}, 1: {refused}}},
		"caller leaves":      {reply: respond(200), answers: map[int][]TurnAnswer{0: waits, 1: waits, 2: waits, 3: waits}, leaves: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := &scriptedClient{replies: []func() reply.Result{test.reply}}
			var mu sync.Mutex
			asked := &askedTurns{answers: test.answers}
			var request TurnRequest
			s.askTurn = func(target registry.Target, r TurnRequest) (Turn, bool) {
				mu.Lock()
				defer mu.Unlock()
				request = r
				return asked.ask(target, r)
			}
			d := newDispatcher(s, time.Now)
			reportGateways(d, 29)
			r := streamRoute(true)
			r.Timeout, r.LatencyObjective = 6*time.Second, 800*time.Millisecond
			req := longRequest()
			req.Customer = "c"
			dispatch := d.Begin(t.Context(), req, r, engineService)
			defer dispatch.Close()
			if test.leaves {
				timer := time.AfterFunc(50*time.Millisecond, dispatch.Close)
				defer timer.Stop()
			}
			outcome := dispatch.Run()
			if request.Rank.Customer != customerOf(req) || request.Rank.Customer == 0 {
				t.Errorf("turn asked for as customer %d, want the hash of the name", request.Rank.Customer)
			}
			if got := d.waits.Service(customerOf(req), time.Now()) > 0; got != test.wantService {
				t.Errorf("service recorded: %v after outcome %#v, want %v", got, outcome, test.wantService)
			}
		})
	}
}
