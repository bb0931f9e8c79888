package occupancy

import (
	"testing"
	"time"

	"gypsumbank/registry"
)

// TestNoOrderForAServiceThatIsNotListed guards against an agent that ends because a version of the routes lists its service without an
// engine while requests are open.
func TestNoOrderForAServiceThatIsNotListed(t *testing.T) {
	o := newOccupancy(registry.Report{Models: []registry.Model{heldModel("m1")}, Busy: true})
	o.Add(&LoadRequest{Model: "m2", Expires: start.Add(time.Minute), Done: func(error) {}}, start)
	o.SetEngine(nil)
	o.Observe(reportOf(heldModel("m1")), start)
	if order, ok := o.Next(start); ok {
		t.Errorf("order %+v, want none", order)
	}
}
