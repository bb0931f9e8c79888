package fleet

import (
	"math"
	"time"

	"gypsumbank/request"
)

// demandMemory is the time constant over which demand is averaged; demand moves on within a few seconds.
const demandMemory = 3 * time.Second

// demand is the expected work for one model in ms a second.
type demand struct {
	rate float64
	at   time.Time
}

func (d *demand) level(at time.Time) float64 {
	return d.rate * math.Exp(-float64(at.Sub(d.at))/float64(demandMemory))
}

// Want counts a request in the demand for its model; it is called once for each request.
func (f *Fleet) Want(req *request.Request, now time.Time) {
	if req.Model == "" {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	d := f.demand[req.Model]
	if d == nil {
		d = &demand{at: now}
		f.demand[req.Model] = d
	}
	work := baseMs + f.pace(req.Model)*float64(req.PromptTokens)/2
	d.rate = d.level(now) + work/demandMemory.Seconds()
	d.at = now
}
