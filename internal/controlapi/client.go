package controlapi

import (
	"math/rand/v2"
	"slices"
	"sync/atomic"

	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/transport"
)

// Client is a data-plane process's subscription to control: it enrols, hears updates, and
// turns to another control process when one is silent. Run its methods on one
// actor.
type Client struct {
	Hub      *transport.Hub
	Self     Node
	Seeds    []ids.Node // control processes the settings name
	OnUpdate func(*Update)
	Update   *Update
	Quiet    ids.Millis // silence after which another control process is asked
	Direct   bool       // updates are to come from control itself

	shown  atomic.Pointer[Update] // the same as Update, for other goroutines
	at     ids.Node               // the control process asked
	heard  ids.Millis             // when it was last heard
	nextAt ids.Millis             // when another may be asked
	pause  ids.Millis             // between two that are asked
	whole  bool                   // changes did not fit: all of the update is needed
	asked  bool                   // and was asked for
	relays []ids.Node             // control processes that take reports, the next one first
}

// Begin takes up an update from an earlier incarnation, before the actor runs.
func (c *Client) Begin(n *Update) {
	c.Update = n
	c.shown.Store(n)
}

func (c *Client) keep(n *Update) {
	c.Begin(n)
	c.OnUpdate(n)
}

// Step enrols when there is no update, and again when control fell silent or does
// not know this incarnation; each try that fails waits longer, with jitter.
func (c *Client) Step(now ids.Millis) {
	if now < c.nextAt || c.Told(now) && c.Hub.Has(c.at) && c.Listed() {
		return
	}
	c.Turn(now)
}

// Told tells whether control was heard lately.
func (c *Client) Told(now ids.Millis) bool { return c.at != "" && now-c.heard < c.Quiet }

// Connected tells whether a control process is asked for updates.
func (c *Client) Connected() bool { return c.at != "" }

// Listed tells whether the update names this incarnation as living.
func (c *Client) Listed() bool {
	if c.Update == nil {
		return false
	}
	me := c.Update.Find(c.Self.Addr)
	return me != nil && me.Incarnation == c.Self.Incarnation && !me.Gone
}

// Turn enrols with another control process.
func (c *Client) Turn(now ids.Millis) {
	c.pause = min(max(2*c.pause, c.Quiet/4), 2*c.Quiet)
	c.nextAt = now + c.pause/2 + rand.N(c.pause)
	pick := c.other()
	if pick == "" {
		return
	}
	if c.at != pick {
		c.drop()
	}
	c.at = pick
	c.Hub.Send(pick, KindEnroll, Enroll{Node: c.Self, Seq: c.Seq(), Whole: c.Direct})
}

// Seq is how new the update is; 0 when all of it is needed.
func (c *Client) Seq() ids.Slot {
	if c.Update == nil || c.whole {
		return 0
	}
	return c.Update.Seq
}

// other gives a control process, another than the one heard if there is one.
func (c *Client) other() ids.Node {
	list, lost := c.ControlNodes()
	if len(list) == 0 || rand.N(4) == 0 {
		list = append(list, lost...) // they may be back without my knowing
	}
	for i, a := range list {
		if a == c.at && len(list) > 1 {
			list = append(list[:i:i], list[i+1:]...)
			break
		}
	}
	if len(list) == 0 {
		return ""
	}
	return list[rand.N(len(list))]
}

// Rest ends the subscription: updates come another way.
func (c *Client) Rest() {
	c.drop()
	c.at, c.pause, c.nextAt = "", 0, 0
}

func (c *Client) drop() {
	if c.at != "" && c.Hub.Has(c.at) {
		c.Hub.To(c.at).Drop()
	}
}

// maxRelays is how many control processes take a process's reports while it asks none of
// them for updates: few, so that it has no link to each; more than one, as one that is
// cut off from its group takes reports and passes none on.
const maxRelays = 3

// Tell gives control a report, through the control process heard, or one of a few that
// take turns. It may be lost: who must be heard tells it until the update shows it.
func (c *Client) Tell(k transport.Kind, v any) {
	if c.at != "" && c.Hub.To(c.at).Send(k, v) {
		return
	}
	for range 2 {
		if a := c.relay(); a != "" && c.Hub.To(a).Send(k, v) {
			return
		}
	}
}

// relay gives the control process to report through next. Those whose link broke or
// that are gone are replaced.
func (c *Client) relay() ids.Node {
	live, _ := c.ControlNodes()
	c.relays = slices.DeleteFunc(c.relays, func(a ids.Node) bool {
		return !c.Hub.Has(a) || !slices.Contains(live, a)
	})
	if len(c.relays) < maxRelays {
		if a := c.other(); slices.Contains(live, a) && !slices.Contains(c.relays, a) {
			c.relays = slices.Insert(c.relays, 0, a)
		}
	}
	if len(c.relays) == 0 {
		return c.other() // all are taken for gone; one may be back
	}
	next := c.relays[0]
	c.relays = append(c.relays[1:], next)
	return next
}

// ControlNodes lists the control processes known, and apart those declared lost.
func (c *Client) ControlNodes() (live, lost []ids.Node) {
	seen := map[ids.Node]bool{c.Self.Addr: true}
	if c.Update != nil {
		for _, n := range c.Update.Nodes {
			if n.Role == Control && !seen[n.Addr] {
				seen[n.Addr] = true
				if n.Gone {
					lost = append(lost, n.Addr)
				} else {
					live = append(live, n.Addr)
				}
			}
		}
	}
	for _, a := range c.Seeds {
		if !seen[a] {
			seen[a] = true
			live = append(live, a)
		}
	}
	return live, lost
}

// Far tells whether a process is in another zone; any goroutine may ask.
func (c *Client) Far(a ids.Node) bool { return c.shown.Load().Far(a, c.Self.Zone) }

// Frame takes a frame if it is control's.
func (c *Client) Frame(from ids.Node, k transport.Kind, b []byte, now ids.Millis) bool {
	switch k {
	case KindUpdate:
		if n, ok := transport.Get[Update](b); ok {
			if from == c.at {
				c.heard = now
				if n.Seq > 0 { // after a bootstrap each question costs another, until stores list this process
					c.pause = 0
				}
			}
			c.Take(&n)
		}
	case KindHeartbeat:
		if from == c.at {
			c.heard = now
			if p, ok := transport.Get[Heartbeat](b); ok && c.Update != nil && p.Seq > c.Update.Seq {
				c.heard = now - c.Quiet // it has updates that did not get here: ask again
			}
		}
	default:
		return false
	}
	return true
}

// Take keeps updates if they are newer: within an incarnation nothing goes back.
func (c *Client) Take(n *Update) {
	if n.Seq == 0 && n.Base == 0 && (c.Update == nil || c.Update.Seq == 0) { // a bootstrap
		c.keep(n)
		return
	}
	if c.Update != nil && n.Seq <= c.Update.Seq {
		return
	}
	if n.Base > 0 && (c.Update == nil || n.Base > c.Update.Seq) {
		c.whole, c.asked = true, false // something between is missing
		c.heard = 0
		return
	}
	if n.Base > 0 {
		n = c.Update.with(n)
	} else {
		c.whole = false
	}
	c.keep(n)
}

// Lacks tells whether all of the update must be asked for.
func (c *Client) Lacks() bool { return c.whole && !c.asked }

// Asked notes that all of the update was asked for.
func (c *Client) Asked() { c.asked = true }
