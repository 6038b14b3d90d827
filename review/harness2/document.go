package main

// apiKey is the key of all callers.
const apiKey = "i9n73hh2b9wu3fexd9dn"

func routeOf(name, prefix, kind, service string, timeoutMS, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": "fair.example", "path_prefix": prefix, "kind": kind, "timeout_ms": timeoutMS,
		"target_latency_ms": 300, "priority": 2, "service": service, "max_attempts": attempts, "public": false, "sticky": false,
		"resumable": false, "gap_aim_ms": 400,
	}
}

func serviceOf(name string, maxConns int) map[string]any {
	return map[string]any{"name": name, "health_path": "/health", "max_conns": maxConns, "protocol": "h1", "tls": false}
}

// documentOf returns a desired state.
func documentOf(version int, routes, services []any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": maxHeaderBytes, "max_body_bytes": maxBodyBytes, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{
			"name": "hule930", "api_keys": []string{apiKey}, "priority": 1, "unit": "tokens", "plain_tokens": 200, "rate_per_s": 0, "burst": 0,
		}},
	}
}

// maxBodyBytes is the limit of the desired state.
const maxBodyBytes = 4 << 20

// plainDocument returns a desired state with one plain service.
func plainDocument(version int) map[string]any {
	return documentOf(version, []any{
		routeOf("r-unsafe", "/reserva/", "unsafe", "registro", 3000, 1),
		routeOf("r-safe", "/estado/", "safe", "registro", 3000, 2),
	}, []any{serviceOf("registro", 110)})
}
