package main

// The names of the deployment that the cases play.
const (
	hostName     = "ficu95.example"
	otherHost    = "gade17.example"
	model        = "huvo11a"
	application  = "wuno96b"
	tenant       = "huka270"
	tenantKey    = "2b9wu3fexd9dnn2ctnfz"
	batchPrefix  = "/pule252/"
	streamPrefix = "/lohu930/"
	plainPrefix  = "/puxa403/"
)

func streamRoute() map[string]any {
	return map[string]any{
		"name": "r-stream", "host": hostName, "pathPrefix": streamPrefix, "kind": "streaming", "timeoutMs": 5000, "sloMs": 300, "gapTargetMs": 250,
		"priority": 0, "service": model, "maxAttempts": 2, "public": false, "sticky": true, "canResume": true,
	}
}

func plainRoute(timeoutMs int) map[string]any {
	return map[string]any{
		"name": "r-plain", "host": hostName, "pathPrefix": plainPrefix, "kind": "idempotent", "timeoutMs": timeoutMs, "sloMs": 300, "priority": 2,
		"service": application, "maxAttempts": 2, "public": false,
	}
}

func batchRoute() map[string]any {
	return map[string]any{
		"name": "r-batch", "host": hostName, "pathPrefix": batchPrefix, "kind": "batch", "timeoutMs": 15000, "sloMs": 400, "priority": 2,
		"service": model, "maxAttempts": 3, "public": false, "sticky": true, "runTargetMs": 18000, "maxWaitS": 120, "cap": 1_000_000,
	}
}

func configuration(version int, routes ...map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{
			{"name": model, "healthPath": "/healthz", "maxConns": 360, "engine": map[string]any{"slots": 8, "kvCapacity": 150701}},
			{"name": application, "healthPath": "/healthz", "maxConns": 100},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": tenant, "apiKeys": []string{tenantKey}, "priority": 1, "ratePerS": 44, "burstSize": 44}},
	}
}
