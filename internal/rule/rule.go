// Package rule is what passes between the control plane (norm) and the data
// plane: enrolment, news, and the client a data-plane process keeps to norm.
package rule

import (
	"encoding/json"
	"math/rand/v2"
	"sort"
	"strings"
	"sync/atomic"

	"oxbowdeck/internal/accord"
	"oxbowdeck/internal/lane"
	"oxbowdeck/internal/unit"
)

// Frame kinds between processes. Each protocol has its own range.
const (
	KindNormGroup lane.Kind = 3
	KindNormSnap  lane.Kind = 4
	KindEnroll    lane.Kind = 10
	KindNews      lane.Kind = 12
	KindPulse     lane.Kind = 13
	KindAsk       lane.Kind = 14
	KindLeave     lane.Kind = 15
	KindMissing   lane.Kind = 16
	KindSeated    lane.Kind = 17
)

// Duty of a process.
type Duty uint8

const (
	Edge Duty = iota + 1
	Store
	Norm
)

func (d Duty) String() string { return [...]string{"none", "edge", "store", "norm"}[d] }

// Node is a process as the control plane knows it.
type Node struct {
	_     struct{} `cbor:",toarray"`
	Name  string
	Duty  Duty
	Zone  unit.Zone
	Addr  unit.Node
	Front string
	Disk  uint64
	Life  unit.Life
	Num   unit.Num
	Gone  bool // left or lost: not to be sent anyone
	Empty bool // to be emptied: it gets no duties
}

// Shard is one group's placement.
type Shard struct {
	_        struct{}        `cbor:",toarray"`
	Founders []accord.Member // the membership it began with
	Voters   []accord.Member // the membership wanted now
	Learners []accord.Member // replicas that follow without a vote
	Seats    []accord.Member // the membership last reported to be in force
	Epoch    unit.Ballot     // by the leader of this epoch
}

// News is everything the control plane tells the data plane.
type News struct {
	_       struct{}  `cbor:",toarray"`
	Seq     unit.Slot // the control group's instance it stands at
	Release int64
	Config  []byte
	Nodes   []Node
	Shards  []Shard
}

// Leave tells that a process drains and is to be left out.
type Leave struct {
	_    struct{} `cbor:",toarray"`
	Addr unit.Node
	Life unit.Life
}

// Seated is a shard leader's word: these members are in force, and each of
// them holds everything decided before they were.
type Seated struct {
	_     struct{} `cbor:",toarray"`
	Group unit.Group
	Epoch unit.Ballot
	Seats []accord.Member
}

// Pulse shows that a silent link lives, and how new its end is.
type Pulse struct {
	_     struct{} `cbor:",toarray"`
	Seq   unit.Slot
	Fresh bool // a replica: it has what its leaders say is decided
}

// Config is the operator's configuration, as far as the data plane needs it.
type Config struct {
	Release int64   `json:"config_release"`
	Spaces  []Space `json:"routing_entries"`
	Limits  struct {
		Body          int `json:"body_max_bytes"`
		Subscriptions int `json:"subscriptions"`
		IdleMs        int `json:"idle_timer_ms"`
	} `json:"limits"`
}

// Space is one space of topics.
type Space struct {
	Label   string  `json:"label"`
	Prefix  string  `json:"path_prefix"`
	Class   string  `json:"route_class"`
	GuardMs int     `json:"guard_timer_ms"`
	AimMs   int     `json:"target_ms"`
	Level   int     `json:"prio_level"`
	KeepS   float64 `json:"keep_s"`
	Ordered string  `json:"ordered"`
}

// Retained tells whether the space keeps its messages.
func (s *Space) Retained() bool { return s.Class == "retained" }

// ReadConfig reads a configuration the control plane has checked.
func ReadConfig(b []byte) (*Config, error) {
	var c Config
	if len(b) == 0 {
		return &c, nil
	}
	if err := json.Unmarshal(b, &c); err != nil {
		return nil, unit.Err("read configuration", "norm", err)
	}
	sort.SliceStable(c.Spaces, func(i, j int) bool { return len(c.Spaces[i].Prefix) > len(c.Spaces[j].Prefix) })
	return &c, nil
}

// Urgent tells whether a space stands above the lowest level there is.
func (c *Config) Urgent(s *Space) bool {
	for i := range c.Spaces {
		if c.Spaces[i].Level < s.Level {
			return true
		}
	}
	return false
}

// Space gives the space of a topic: the longest prefix it begins with.
func (c *Config) Space(t unit.Topic) *Space {
	for i := range c.Spaces {
		if strings.HasPrefix(string(t), c.Spaces[i].Prefix) {
			return &c.Spaces[i]
		}
	}
	return nil
}

// Client is a data-plane process's tie to norm: it enrols, hears news, and
// turns to another seed when one is silent. Run its methods on one actor.
type Client struct {
	Hub    *lane.Hub
	Self   Node
	Seeds  []unit.Node // control-plane processes to begin with
	OnNews func(*News)
	News   *News
	shown  atomic.Pointer[News] // the same, for other goroutines
	Quiet  unit.Millis          // silence after which another norm is asked
	at     unit.Node
	heard  unit.Millis
	asked  unit.Millis
}

// Step enrols when there is no news, and again when norm fell silent.
func (c *Client) Step(now unit.Millis) {
	if c.at != "" && now-c.heard < c.Quiet && c.Hub.Has(c.at) {
		return
	}
	if now-c.asked < c.Quiet/4 {
		return
	}
	c.asked = now
	c.Turn(now)
}

// Turn enrols with another control-plane process.
func (c *Client) Turn(now unit.Millis) {
	list := c.norms()
	if len(list) == 0 {
		return
	}
	pick := list[rand.N(len(list))]
	if pick == c.at && len(list) > 1 {
		pick = list[rand.N(len(list))]
	}
	if c.at != "" && c.at != pick && c.Hub.Has(c.at) {
		c.Hub.To(c.at).Drop()
	}
	c.at = pick
	c.Hub.Send(pick, KindEnroll, c.Self)
}

func (c *Client) norms() []unit.Node {
	out := append([]unit.Node(nil), c.Seeds...)
	if c.News != nil {
		for _, n := range c.News.Nodes {
			if n.Duty == Norm && !n.Gone {
				out = append(out, n.Addr)
			}
		}
	}
	return out
}

// Far tells whether a process is in another zone; any goroutine may ask.
func (c *Client) Far(a unit.Node) bool { return c.shown.Load().Far(a, c.Self.Zone) }

// At is the control-plane process now heard.
func (c *Client) At() unit.Node { return c.at }

// Frame takes a frame if it is norm's.
func (c *Client) Frame(from unit.Node, k lane.Kind, b []byte, now unit.Millis) bool {
	switch k {
	case KindNews:
		if n, ok := lane.Get[News](b); ok {
			if from == c.at {
				c.heard = now
			}
			c.Take(&n)
		}
	case KindPulse:
		if from == c.at {
			c.heard = now
		}
	default:
		return false
	}
	return true
}

// Take keeps news if they are newer: within a life nothing goes back.
func (c *Client) Take(n *News) {
	if c.News != nil && n.Seq <= c.News.Seq {
		return
	}
	c.News = n
	c.shown.Store(n)
	c.OnNews(n)
}

// Find gives a process of the newest news.
func (n *News) Find(a unit.Node) *Node {
	for i := range n.Nodes {
		if n.Nodes[i].Addr == a {
			return &n.Nodes[i]
		}
	}
	return nil
}

// Far tells whether a process is known to be in another zone than z.
func (n *News) Far(a unit.Node, z unit.Zone) bool {
	if n == nil {
		return false
	}
	x := n.Find(a)
	return x != nil && x.Zone != z
}
