package dispatch

import (
	"log/slog"
	"maps"
	"slices"

	"oxbowdeck/internal/controlapi"
	"oxbowdeck/internal/ids"
)

// Update takes what control tells: the configuration, and who the workers are.
func (h *Host) Update(update *controlapi.Update, now ids.Millis) {
	h.update = update
	if update.Release != h.config.Release {
		h.updateConfig(update)
	}
	h.updateWorkers(update, now)
	h.updateServices()
}

// updateConfig takes a new configuration, under which every message is looked at
// anew.
func (h *Host) updateConfig(update *controlapi.Update) {
	config, err := controlapi.ReadConfig(update.Config)
	if err != nil {
		slog.Warn("config-unreadable", "release", update.Release, "err", err)
		return
	}
	h.config = config
	slog.Info("config", "release", config.Release, "routes", len(config.Spaces), "services", len(config.Services))
	for _, shard := range h.shards {
		shard.rescan = true
	}
}

// updateWorkers takes up the workers that are registered, and the fixed endpoints of
// services; attempts under way at others end by themselves.
func (h *Host) updateWorkers(update *controlapi.Update, now ids.Millis) {
	current := map[string]bool{}
	for _, registered := range update.Workers {
		if registered.Gone {
			continue
		}
		current[registered.ID] = true
		w := h.workers[registered.ID]
		if w == nil {
			w = &worker{warmAt: now + ids.Millis(registered.WarmMs)}
			h.workers[registered.ID] = w
		}
		w.Worker = registered
	}
	for i := range h.config.Services {
		config := &h.config.Services[i]
		if config.Fixed != nil && *config.Fixed != "" {
			current[h.addFixedEndpoint(config)] = true
		}
	}
	for id, w := range h.workers {
		if !current[id] {
			w.Gone = true
			w.pool.drop()
			delete(h.workers, id)
		}
	}
}

// addFixedEndpoint makes a worker of a service's fixed endpoint; it gives its id.
func (h *Host) addFixedEndpoint(config *controlapi.Service) string {
	id := "at/" + config.Label + "/" + *config.Fixed
	if h.workers[id] == nil {
		registered := controlapi.Worker{ID: id, Service: config.Label, Addr: *config.Fixed, Zone: h.Self.Zone}
		h.workers[id] = &worker{Worker: registered, fixed: true}
	}
	return id
}

// updateServices makes the services anew from the configuration and the workers;
// rate limits go on from where they are.
func (h *Host) updateServices() {
	before := h.services
	h.services = map[string]*service{}
	for i := range h.config.Services {
		s := &service{Service: h.config.Services[i]}
		if old := before[s.Label]; old != nil {
			s.limiter = old.limiter
		}
		h.services[s.Label] = s
	}
	for _, id := range slices.Sorted(maps.Keys(h.workers)) {
		w := h.workers[id]
		s := h.services[w.Service]
		if s == nil || s.Fixed != nil && !w.fixed {
			continue
		}
		if w.Zone == h.Self.Zone {
			s.near = append(s.near, w)
		} else {
			s.far = append(s.far, w)
		}
	}
}
