package controlapi

import (
	"strings"

	"oxbowdeck/internal/ids"
)

// Config is the operator's configuration, as far as the data plane needs it.
type Config struct {
	Release  int64
	Spaces   []Space
	Services []Service
	Tenants  []Tenant
	Limits   Limits

	byPrefix    map[string]*Space
	byHost      map[string]map[string]*Space
	services    map[string]*Service
	keys        map[KeyDigest]*Tenant
	tenants     map[ids.Tenant]*Tenant
	lengths     []int // of the prefixes, longest first
	lowestLevel int   // the lowest priority level of any space
}

// Limits bound what one client may ask for; 0 says nothing.
type Limits struct {
	Header        int // bytes
	Body          int // bytes
	HeaderMs      int // time to send a header
	Subscriptions int // of one connection
	IdleMs        int // silence after which a connection ends
}

// Space is one route: a space of topics, or where messages go.
type Space struct {
	Label   string
	Prefix  string  // of topics, or of paths
	Class   string  // Retained, Live or Deferred
	GuardMs int     // time-out of one call
	AimMs   float64 // delay aimed at
	Level   int     // priority: higher is more urgent
	Open    bool    // it is used without a key

	// Of spaces of topics.
	KeepS   float64 // messages are kept for so long
	Ordered string  // "originator" or "topic"

	// Of deferred routes.
	Host     string
	Service  string
	Attempts int     // at most
	HoldS    float64 // a message not delivered by then is given up
	Sequence bool    // messages of one key are delivered one after the other
	StartMs  float64 // delay of the first attempt aimed at
}

// Service is who a route's messages go to.
type Service struct {
	Label     string
	ConnLimit int
	PerS      float64 // requests a second; 0: no limit
	Dedup     bool    // it recognises a message that is sent twice
	Fixed     *string // its one address, instead of workers that register
}

// Classes of routes.
const (
	Retained = "retained"
	Live     = "live"
	Deferred = "deferred"
)

// Retained tells whether the space keeps its messages.
func (s *Space) Retained() bool { return s.Class == Retained }

// Urgent tells whether a space stands above the lowest level there is.
func (c *Config) Urgent(s *Space) bool { return s.Level > c.lowestLevel }

// Space gives the space of a topic: the longest prefix it begins with.
func (c *Config) Space(t ids.Topic) *Space {
	for _, n := range c.lengths {
		if n > len(t) {
			continue
		}
		if space := c.byPrefix[string(t[:n])]; space != nil {
			return space
		}
	}
	return nil
}

// Route gives the route of a request: of its host, or of any, the longest prefix
// its path begins with.
func (c *Config) Route(host, path string) *Space {
	host, _, _ = strings.Cut(host, ":")
	path, _, _ = strings.Cut(path, "?")
	for _, h := range []string{host, ""} {
		byPrefix := c.byHost[h]
		if byPrefix == nil {
			continue
		}
		for _, n := range c.lengths {
			if n > len(path) {
				continue
			}
			if route := byPrefix[path[:n]]; route != nil {
				return route
			}
		}
	}
	return nil
}

// ServiceOf gives a service by its label.
func (c *Config) ServiceOf(label string) *Service { return c.services[label] }
