package main

import "fmt"

// services of the small site.
const (
	info   = "bescheid-info"
	ledger = "mengen-buch"
	files  = "peilung-ablage"
	host   = "gateway.example"
)

// route is one rule of a configuration.
type route struct {
	host, name, prefix, kind, service string
	timeoutS                          float64
	maxAttempts                       int
}

// putConfig writes a configuration as the operator does. The store's answer is the acknowledgement.
func putConfig(s *store, version int, services []string, routes []route) {
	hosts := []string{}
	rules := make(map[string][]any)
	for _, r := range routes {
		if rules[r.host] == nil {
			hosts = append(hosts, r.host)
		}
		rules[r.host] = append(rules[r.host], map[string]any{
			"name": r.name, "kind": r.kind, "targetLatencyS": 1.5, "priority": 1,
			"match":  map[string]any{"prefix": r.prefix},
			"action": map[string]any{"service": r.service, "timeoutS": r.timeoutS, "maxAttempts": r.maxAttempts},
		})
	}
	var listeners, clusters []any
	for _, h := range hosts {
		listeners = append(listeners, map[string]any{"host": h, "ruleSet": rules[h]})
	}
	for _, name := range services {
		clusters = append(clusters, map[string]any{
			"name": name, "healthPath": "/health", "maxConns": 390, "protocol": "h1", "tls": false,
		})
	}
	s.put("op/config", map[string]any{
		"version":   fmt.Sprintf("%08x", version),
		"limits":    map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15},
		"listeners": listeners, "clusters": clusters,
	})
	s.rec.add(event{Who: "operator", What: "acknowledged", Note: fmt.Sprintf("version %08x: %+v", version, routes)})
}
