package cases

// manifest is the document that the operator writes.
type manifest map[string]any

// newManifest returns a manifest with a route for streams, one for safe and one for unsafe requests, and the services behind them.
func newManifest(version int) manifest {
	route := func(name, kind, service string, attempts int, timeoutMs float64) map[string]any {
		return map[string]any{
			"name": name, "host": callerHost, "prefix": "/" + name + "/", "routeKind": kind, "timeoutMs": timeoutMs, "targetLatencyMs": 400, "priority": 1,
			"service": service, "maxAttempts": attempts, "resumable": false, "gapAimMs": 300,
		}
	}
	models := []any{}
	for _, name := range []string{"m1", "m2"} {
		models = append(models, map[string]any{"name": name, "weightsMb": 60000.0, "adapters": 0, "adapterMb": 10.0, "loadS": 1.2, "diskS": 0.3, "warmS": 0.3})
	}
	return manifest{
		"version": version,
		"routes": []any{
			route("ask", "streaming", "engines", 1, 5000), route("look", "safe", "ledger", 2, 3000), route("post", "unsafe", "ledger", 1, 3000),
		},
		"services": []any{
			map[string]any{"name": "ledger", "healthPath": "/healthz", "maxConns": 96},
			map[string]any{"name": "engines", "healthPath": "/healthz", "maxConns": 360, "engine": map[string]any{
				"slots": 64, "kvCapacityTokens": 200000, "weightsMb": 200000.0, "adapterSlots": 5, "loadsPerS": 1.4, "stride": 5, "models": models,
			}},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// copyRuns has the engines copy runs, and adds a route for long streams.
func (m manifest) copyRuns() {
	routes, services := m["routes"].([]any), m["services"].([]any)
	chat := map[string]any{}
	for key, value := range routes[0].(map[string]any) {
		chat[key] = value
	}
	chat["name"], chat["prefix"], chat["timeoutMs"] = "chat", "/chat/", 15000
	m["routes"] = append(routes, chat)
	engine := services[1].(map[string]any)["engine"].(map[string]any)
	engine["backups"], engine["moves"], engine["kvBytes"], engine["linkMbps"], engine["handle_s"] = true, true, 163840.0, 550000.0, 5.0
}
