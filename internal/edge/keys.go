package edge

import (
	"log/slog"

	"oxbowdeck/internal/controlapi"
	"oxbowdeck/internal/ids"
)

// Where the part "tenants" of the rules is in force, a client bears the key of a tenant,
// or none; without one it may use open spaces alone. The key a client gave is kept as its
// digest and looked up anew for each request, so a version that takes it away binds at
// once.

// attach takes a client's name and key.
func (d *Daemon) attach(now ids.Millis, c *conn, w request) {
	keyed, key := w.key != "", controlapi.DigestKey(w.key)
	if !keyed {
		key = controlapi.KeyDigest{}
	}
	again := c.client != ""
	switch {
	case keyed && !d.bounds.keys.InForce,
		again && (c.client != ids.Client(w.arg) || c.keyed != keyed || c.key != key):
		c.reject(verbAttach, "", 0, causeMalformed)
	case keyed && d.core.Updates.View().Config.TenantOf(key) == nil:
		d.rejectIfCurrent(now, c, w, causeNoAuth)
	case keyed && d.keysLapsed(now):
		c.reject(verbAttach, "", 0, causeRetry)
	default:
		c.client = ids.Client(w.arg)
		c.keyed, c.key = keyed, key
		if !again {
			c.attachedAt = now
		}
		c.send([]byte("SUCCESS ATTACH\r\n"))
	}
}

// allowed tells whether a client may use a space, by a configuration.
func (d *Daemon) allowed(config *controlapi.Config, c *conn, space *controlapi.Space) bool {
	switch {
	case !d.bounds.keys.InForce:
		return true
	case c.keyed:
		return config.TenantOf(c.key) != nil
	}
	return space.Open
}

// countedTenant gives the tenant whose limit a client's messages count against; none if
// it bears no key, or nothing is limited.
func (d *Daemon) countedTenant(c *conn) ids.Tenant {
	if !d.bounds.keys.Quotas || !c.keyed {
		return ""
	}
	tenant := d.core.Updates.View().Config.TenantOf(c.key)
	if tenant == nil {
		return ""
	}
	return tenant.Label
}

// keysLapsed tells whether it is too long ago that the configuration was surely the
// newest one for keys to be served by it.
func (d *Daemon) keysLapsed(now ids.Millis) bool {
	return d.bounds.keys.Lapsed(now, d.core.Updates.View())
}

// endLapsed ends the connections of clients with keys once those can't be confirmed: the
// clients go on at an edge that can. A process that stood still calls it before it
// serves what waited.
func (d *Daemon) endLapsed(now ids.Millis) {
	if !d.keysLapsed(now) {
		return
	}
	ended := 0
	for _, c := range d.conns {
		if c.keyed {
			c.end()
			ended++
		}
	}
	if ended > 0 {
		slog.Warn("keys-unconfirmed", "ended", ended)
	}
}

// endRemoved ends the subscriptions whose space or key the configuration has no more.
// Where keys are in force, clients are told.
func (d *Daemon) endRemoved() {
	config := d.core.Updates.View().Config
	for _, t := range d.topics {
		space := config.Space(t.name)
		for _, s := range t.subscribers {
			switch {
			case space == nil:
				d.endSubscription(s, causeNoSpace)
			case !d.allowed(config, s.conn, space):
				d.endSubscription(s, causeNoAuth)
			}
		}
	}
}

// endSubscription ends a subscription that its client did not end.
func (d *Daemon) endSubscription(s *subscription, cause string) {
	if d.bounds.keys.InForce {
		s.conn.reject(verbSubscribe, s.topic.name, 0, cause)
	}
	d.unsubscribe(s)
}
