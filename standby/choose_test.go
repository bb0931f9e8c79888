package standby

import (
	"fmt"
	"testing"
	"time"
)

// testLimits are those of the engines of the first deployment in docs/hard-load.md.
var testLimits = Limits{KVTokens: 197200, Slots: 64, BytesPerToken: 330e3, LinkMbps: 550e3}

// smallLimits are those of the second deployment.
var smallLimits = Limits{KVTokens: 167040, Slots: 64, BytesPerToken: 330e3, LinkMbps: 550e3}

func shortChat(id string) Run {
	return Run{RequestID: id, Streaming: true, PromptTokens: 826, OutputTokens: 290, TimeLeft: 15 * time.Second}
}

func longPrompt() Run {
	return Run{RequestID: "r", Streaming: true, PromptTokens: 9190, OutputTokens: 50, TimeLeft: 6 * time.Second}
}

func soundFirst() First { return First{VM: "10.0.0.1", Zone: "a", Version: "v1"} }

// idleEngine returns an engine of the first deployment with a few runs.
func idleEngine(number int) Engine {
	return Engine{
		ID: fmt.Sprint("e", number), VM: fmt.Sprint("10.0.0.", number), Zone: "a", Version: "v1", Holds: true,
		Slots: 64, FreeSlots: 58, KVTokens: 197200, FreeTokens: 180000,
	}
}

// TestChoose guards against copies that cost other runs their room, that can't be used, or that are left out where a caller would lose its stream.
func TestChoose(t *testing.T) {
	with := func(change func(*Engine)) []Engine {
		engines := []Engine{idleEngine(2), idleEngine(3)}
		for i := range engines {
			change(&engines[i])
		}
		return engines
	}
	asIs := func(*Engine) {}
	firstAt := func(health Health) First {
		first := soundFirst()
		first.Health = health
		return first
	}
	run := func(run Run, change func(*Run)) Run {
		change(&run)
		return run
	}
	cases := map[string]struct {
		run     Run
		limits  Limits // testLimits if not set
		first   First
		engines []Engine
		want    Reason
		copied  bool
	}{
		"short chats with room":                          {run: shortChat("r"), first: soundFirst(), engines: with(asIs), want: Short, copied: true},
		"chats of 1,200 tokens, second deployment":       {run: run(shortChat("r"), func(r *Run) { r.PromptTokens = 910 }), limits: smallLimits, first: soundFirst(), engines: with(asIs), want: Short, copied: true},
		"long prompts on a sound engine":                 {run: longPrompt(), first: soundFirst(), engines: with(asIs), want: Long},
		"long prompts on an engine that failed lately":   {run: longPrompt(), first: firstAt(Health{ErrorRate: 0.16}), engines: with(asIs), want: AtRisk, copied: true},
		"long prompts on an engine that is slow":         {run: longPrompt(), first: firstAt(Health{Slowness: 4}), engines: with(asIs), want: AtRisk, copied: true},
		"long prompts after a missed heartbeat":          {run: longPrompt(), first: firstAt(Health{Unresponsive: true}), engines: with(asIs), want: AtRisk, copied: true},
		"long prompts on an engine that leaves":          {run: longPrompt(), first: firstAt(Health{Leaving: true}), engines: with(asIs), want: AtRisk, copied: true},
		"long prompts on an engine that just restarted":  {run: longPrompt(), first: firstAt(Health{Restarted: true}), engines: with(asIs), want: AtRisk, copied: true},
		"patient prompts that may be taken up":           {run: run(longPrompt(), func(r *Run) { r.Repeatable = true }), first: firstAt(Health{Leaving: true}), engines: with(asIs), want: NotNeeded},
		"plain answers":                                  {run: run(shortChat("r"), func(r *Run) { r.Streaming = false }), first: soundFirst(), engines: with(asIs), want: NotNeeded},
		"requests that name no tokens":                   {run: run(shortChat("r"), func(r *Run) { r.PromptTokens = 0 }), first: soundFirst(), engines: with(asIs), want: UnknownSize},
		"callers that are about to leave":                {run: run(shortChat("r"), func(r *Run) { r.TimeLeft = 400 * time.Millisecond }), first: soundFirst(), engines: with(asIs), want: NoTime},
		"long prompts over a slow link":                  {run: longPrompt(), limits: Limits{KVTokens: 197200, Slots: 64, BytesPerToken: 330e3, LinkMbps: 4e3}, first: firstAt(Health{Leaving: true}), engines: with(asIs), want: NoTime},
		"short chats, caches nearly full":                {run: shortChat("r"), first: soundFirst(), engines: with(func(e *Engine) { e.FreeTokens = 50000 }), want: NoRoom},
		"short chats, nearly all slots taken":            {run: shortChat("r"), first: soundFirst(), engines: with(func(e *Engine) { e.FreeSlots = 8 }), want: NoRoom},
		"short chats, no report of the others":           {run: shortChat("r"), first: soundFirst(), engines: with(func(e *Engine) { e.KVTokens, e.FreeTokens = 0, 0 }), want: NoRoom},
		"short chats, only other versions":               {run: shortChat("r"), first: soundFirst(), engines: with(func(e *Engine) { e.Version = "v2" }), want: NoEngine},
		"short chats, the model is held nowhere else":    {run: shortChat("r"), first: soundFirst(), engines: with(func(e *Engine) { e.Holds = false }), want: NoEngine},
		"short chats, all others leave":                  {run: shortChat("r"), first: soundFirst(), engines: with(func(e *Engine) { e.Health.Leaving = true }), want: NoEngine},
		"short chats, others miss heartbeats":            {run: shortChat("r"), first: soundFirst(), engines: with(func(e *Engine) { e.Health.Unresponsive = true }), want: NoEngine},
		"short chats, the others are on the same VM":     {run: shortChat("r"), first: soundFirst(), engines: with(func(e *Engine) { e.VM = "10.0.0.1" }), want: NoEngine},
		"short chats, the others are in another zone":    {run: shortChat("r"), first: soundFirst(), engines: with(func(e *Engine) { e.Zone = "b" }), want: Short, copied: true},
		"short chats, all others failed lately":          {run: shortChat("r"), first: soundFirst(), engines: with(func(e *Engine) { e.Health.ErrorRate = 0.3 }), want: Short, copied: true},
		"short chats at engines that don't name a limit": {run: shortChat("r"), limits: Limits{BytesPerToken: 330e3}, first: soundFirst(), engines: with(asIs), want: Long},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			limits := c.limits
			if limits == (Limits{}) {
				limits = testLimits
			}
			got := Choose(c.run, limits, c.first, c.engines)
			if got.Reason != c.want || (got.Engine >= 0) != c.copied {
				t.Errorf("decision %+v, want %s, copied %v", got, c.want, c.copied)
			}
		})
	}
}

// TestTransferTakesTwiceAsLongBetweenZones guards against copies that come too late as their transfer was underrated.
func TestTransferTakesTwiceAsLongBetweenZones(t *testing.T) {
	first := soundFirst()
	first.Health.Leaving = true
	near, far := idleEngine(2), idleEngine(3)
	far.Zone = "b"
	atNear := Choose(longPrompt(), testLimits, first, []Engine{near}).Transfer
	atFar := Choose(longPrompt(), testLimits, first, []Engine{far}).Transfer
	if atNear < 44*time.Millisecond || atNear > 45*time.Millisecond || atFar < 2*atNear-time.Microsecond || atFar > 2*atNear+time.Microsecond {
		t.Errorf("transfers of 9,240 tokens take %s and %s, want 44.3 ms and twice that", atNear, atFar)
	}
}

// shares returns the share of short runs that each engine gets copies of, if room and slots are taken by them.
func shares(first First, engines []Engine) []float64 {
	const runs = 4000
	got := make([]float64, len(engines))
	for i := range runs {
		if d := Choose(shortChat(fmt.Sprint("run", i)), testLimits, first, engines); d.Engine >= 0 {
			got[d.Engine] += 1.0 / runs
		}
	}
	return got
}

// TestCopiesAreSpread guards against many gateways that know the same and copy their runs to the same engine: when the first one ends, all would
// go on there.
func TestCopiesAreSpread(t *testing.T) {
	three := func(change func(engines []Engine)) []Engine {
		engines := []Engine{idleEngine(2), idleEngine(3), idleEngine(4)}
		change(engines)
		return engines
	}
	cases := map[string]struct {
		engines  []Engine
		min, max [3]float64
	}{
		"equal engines":                           {three(func([]Engine) {}), [3]float64{0.3, 0.3, 0.3}, [3]float64{0.37, 0.37, 0.37}},
		"one engine has slightly more room":       {three(func(e []Engine) { e[0].FreeTokens += 2000 }), [3]float64{0.3, 0.3, 0.3}, [3]float64{0.38, 0.38, 0.38}},
		"one engine has half of the others' room": {three(func(e []Engine) { e[0].FreeTokens = 49300 + (180000-49300)/2 }), [3]float64{0.17, 0.37, 0.37}, [3]float64{0.23, 0.43, 0.43}},
		"one engine would get all copies":         {three(func(e []Engine) { e[0].CopiesOfFirst = 19 }), [3]float64{0.01, 0.45, 0.45}, [3]float64{0.05, 0.52, 0.52}},
		"one engine is in another zone":           {three(func(e []Engine) { e[0].Zone = "b" }), [3]float64{0.17, 0.37, 0.37}, [3]float64{0.23, 0.43, 0.43}},
		"one engine failed lately":                {three(func(e []Engine) { e[0].Health.ErrorRate = 0.2 }), [3]float64{0.02, 0.44, 0.44}, [3]float64{0.08, 0.52, 0.52}},
		"only one engine has room":                {three(func(e []Engine) { e[0].FreeTokens, e[1].FreeTokens = 0, 0 }), [3]float64{0, 0, 1 - 1e-9}, [3]float64{0, 0, 1 + 1e-9}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			for i, share := range shares(soundFirst(), c.engines) {
				if share < c.min[i] || share > c.max[i] {
					t.Errorf("engine %d gets %.3f of the copies, want %.2f to %.2f", i, share, c.min[i], c.max[i])
				}
			}
		})
	}
}
