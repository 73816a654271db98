package controlapi

import (
	"crypto/sha256"

	"oxbowdeck/internal/ids"
)

// Tenant is who the clients that bear one of its keys belong to.
type Tenant struct {
	Label ids.Tenant
	PerS  float64 // accepted messages a second, over all processes
	Burst float64 // how many more may come at once

	keys []KeyDigest
}

// Keys gives the digests of the tenant's keys, in the order of the configuration.
func (t *Tenant) Keys() []KeyDigest { return t.keys }

// KeyDigest stands for a key wherever one is kept or compared: no process holds keys
// themselves, and how long a look-up takes tells nothing of a key.
type KeyDigest [sha256.Size]byte

// DigestKey gives the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// TenantOf gives the tenant that a key belongs to; nil if the configuration has no
// such key.
func (c *Config) TenantOf(key KeyDigest) *Tenant { return c.keys[key] }

// Tenant gives a tenant by its label, or nil.
func (c *Config) Tenant(label ids.Tenant) *Tenant { return c.tenants[label] }
