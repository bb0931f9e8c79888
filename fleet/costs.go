package fleet

// CostPart is a part of the cost by which targets are compared.
type CostPart int

// The parts of a cost. Those up to AdapterWaitCost are the expected time to the first byte of an engine's answer, and those up to
// RunningCost that of an engine of usual speed which need not load the adapter.
const (
	BaseLatencyCost CostPart = iota
	QueueCost                // prompts that wait to be prefilled
	SlotWaitCost
	PrefillCost // of the prompt, with the fetch of a part of it
	RunningCost // requests in the batch
	SlownessCost
	AdapterLoadCost
	AdapterWaitCost // until the adapter can be loaded
	TurnQueueCost   // prompts that wait for a prefill turn
	ZoneCost
	FailuresCost
	CapacityCost // full, as it has refused a request or lacks KV cache or slots
	OccupancyCost
	AffinityCost
	MixingCost // separation of long prompts from the streams of short ones
	UnresponsiveCost
	FetchCost // in addition to the time of the fetch
	ColdStartCost
	BacklogCost    // prefill work beside a short prompt
	LatencyCost    // average latency of a plain target
	LoadCost       // requests of this gateway at a plain target
	RefusalsCost   // of a plain target
	UnevennessCost // requests in comparison with the other candidates
	ClassCost      // of a holder for the other class of prompts
	ConnectionCost // to be opened
	costPartCount
)

// costPartNames are the names of the parts in explanations.
var costPartNames = [costPartCount]string{
	BaseLatencyCost: "base-latency", QueueCost: "queue", SlotWaitCost: "slot-wait", PrefillCost: "prefill", RunningCost: "running-requests",
	SlownessCost: "slowness", AdapterLoadCost: "adapter-load", AdapterWaitCost: "adapter-wait", TurnQueueCost: "turn-queue", ZoneCost: "other-zone",
	FailuresCost: "failures", CapacityCost: "full", OccupancyCost: "occupancy", AffinityCost: "affinity", MixingCost: "prompt-mixing",
	UnresponsiveCost: "unresponsive", FetchCost: "fetch", ColdStartCost: "cold-start", BacklogCost: "prefill-backlog", LatencyCost: "average-latency",
	LoadCost: "load", RefusalsCost: "refusals", UnevennessCost: "unevenness", ClassCost: "prompt-class", ConnectionCost: "new-connection",
}

// String returns the name of the part.
func (p CostPart) String() string { return costPartNames[p] }

// Costs holds the parts of a target's cost, in ms.
type Costs [costPartCount]float64

// Total returns the sum of the parts.
func (c *Costs) Total() float64 { return c.upTo(costPartCount - 1) }

// upTo returns the sum of the parts up to one of them.
func (c *Costs) upTo(last CostPart) float64 {
	sum := 0.0
	for _, ms := range c[:last+1] {
		sum += ms
	}
	return sum
}
