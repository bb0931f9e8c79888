package agent

import "gypsumbank/wire"

// planner returns the gateway whose name sorts first, so that all agents with the same gateways choose the same one.
func planner(live []*watcher) *watcher {
	var first *watcher
	for _, each := range live {
		if first == nil || each.node < first.node {
			first = each
		}
	}
	return first
}

// sumDemand returns the demand of all gateways, summed by service and model.
func sumDemand(live []*watcher) []*wire.ModelDemand {
	type key struct{ service, model string }
	totals := map[key]*wire.ModelDemand{}
	var all []*wire.ModelDemand
	for _, each := range live {
		for _, d := range each.demand {
			k := key{d.GetService(), d.GetModel()}
			if totals[k] == nil {
				totals[k] = &wire.ModelDemand{Service: d.GetService(), Model: d.GetModel()}
				all = append(all, totals[k])
			}
			totals[k].Work += d.GetWork()
		}
	}
	return all
}

// sameUrgentState reports whether two states agree in all fields whose change is sent to gateways at once.
func sameUrgentState(a, b *wire.TargetState) bool {
	return a.GetTargetId() == b.GetTargetId() && a.GetBorn() == b.GetBorn() && a.GetDraining() == b.GetDraining() &&
		a.GetBusy() == b.GetBusy() && a.GetLoading() == b.GetLoading() && len(a.GetModels()) == len(b.GetModels()) &&
		a.GetPlanner() == b.GetPlanner()
}

// sameLoad reports whether two states agree, up to the size of the buckets, in the load that gateways choose targets by.
func sameLoad(a, b *wire.TargetState) bool {
	return a.GetSequence() == b.GetSequence() && int(a.GetUnreadMs()/pendingPrefillBucketMs) == int(b.GetUnreadMs()/pendingPrefillBucketMs) && a.GetWaiting() == b.GetWaiting() &&
		a.GetRunning()/runningBucket == b.GetRunning()/runningBucket && a.GetWatchers() == b.GetWatchers() &&
		(a.GetAdapterRoom() == 0) == (b.GetAdapterRoom() == 0)
}
