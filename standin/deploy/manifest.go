package deploy

// CallerKey is the API key of the organisation coop in the manifests that Manifest returns.
const CallerKey = "key-of-the-cooperative"

// object is a JSON object.
type object = map[string]any

// route returns a route of a manifest.
func route(name, kind, service string, attempts int, resume, public bool) object {
	return object{
		"name": name, "host": "coop.example", "prefix": "/" + name + "/", "kind": kind, "timeout_ms": 8000,
		"target_latency_ms": 2500, "service": service, "max_attempts": attempts, "can_resume": resume,
		"public": public, "gap_aim_ms": 400,
	}
}

// Manifest returns a manifest with the organisation coop, which has the given keys and limit in tokens, the engines'
// models tulip, lily and rose, and these routes: chat (streams that can resume), draft (streams that can't), confirm
// (unsafe), stock (safe) and open (safe and public).
func Manifest(version, tokensPerSecond, burst int, keys ...string) any {
	return ManifestWith(nil, version, tokensPerSecond, burst, keys...)
}

// ManifestWith returns the same manifest with further routes, which are like open.
func ManifestWith(added []string, version, tokensPerSecond, burst int, keys ...string) any {
	routes := []object{
		route("chat", "stream", "engines", 2, true, false), route("draft", "stream", "engines", 1, false, false),
		route("confirm", "unsafe", "desk", 1, false, false), route("stock", "safe", "desk", 2, false, false),
		route("open", "safe", "desk", 2, false, true),
	}
	for _, name := range added {
		routes = append(routes, route(name, "safe", "desk", 2, false, true))
	}
	models := []object{}
	for _, name := range []string{"tulip", "lily", "rose"} {
		models = append(models, object{
			"name": name, "weights_mb": 30000, "load_s": 0.5, "adapter_mb": 40, "warm_s": 0.2, "disk_s": 0.3,
		})
	}
	return object{
		"version": version, "routes": routes,
		"services": []object{
			{"name": "engines", "engine": object{
				"slots": 8, "weights_mb": 70000, "adapter_slots": 2, "loads_per_s": 7, "models": models,
			}},
			{"name": "desk"},
		},
		"limits": object{"header_bytes": 16384, "body_bytes": 4194304, "header_ms": 3000, "idle_ms": 15000},
		"tenants": []object{
			{
				"name": "coop", "keys": keys, "unit": "tokens", "plain_tokens": 200, "rate_per_s": tokensPerSecond,
				"burst": burst,
			},
		},
	}
}
