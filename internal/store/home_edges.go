package store

import (
	"maps"
	"slices"

	"oxbowdeck/internal/codec"
	"oxbowdeck/internal/controlapi"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/shardapi"
	"oxbowdeck/internal/transport"
)

// homeEdges owns the table of the edges that this store is the home of: they get
// control updates from here. An edge has one home, however many stores it follows,
// so each change reaches it once.
type homeEdges struct {
	sent map[*transport.Link]ids.Slot // how new the update is that each has
}

func newHomeEdges() *homeEdges { return &homeEdges{sent: map[*transport.Link]ids.Slot{}} }

// add makes this store the home of an edge that has the update of seq; update is
// the newest, or nil if none is known here.
func (t *homeEdges) add(link *transport.Link, seq ids.Slot, update *controlapi.Update) {
	t.sent[link] = seq
	if update != nil {
		changes := controlapi.UpdateCache{Update: update.ForEdges()}
		t.sent[link] = changes.Give(link, seq)
	}
}

func (t *homeEdges) links() []*transport.Link { return slices.Collect(maps.Keys(t.sent)) }

func (t *homeEdges) remove(link *transport.Link) { delete(t.sent, link) }

// broadcast sends each edge what changed since what it was last given.
func (t *homeEdges) broadcast(update *controlapi.Update) {
	changes := controlapi.UpdateCache{Update: update.ForEdges()}
	for link, seq := range t.sent {
		t.sent[link] = changes.Give(link, seq)
	}
}

// hear makes this store the home of an edge, or ends that.
func (d *Daemon) hear(link *transport.Link, request shardapi.Hear) {
	if request.Off {
		d.homeEdges.remove(link)
		return
	}
	d.homeEdges.add(link, request.Seq, d.control.Update)
	d.sendHeartbeat(ids.MonotonicNow(), []*transport.Link{link})
}

// sendHeartbeats shows all followers and home edges that this store lives.
func (d *Daemon) sendHeartbeats(now ids.Millis) {
	links := d.followers.links()
	for _, link := range d.homeEdges.links() {
		if d.followers.find(link) == nil {
			links = append(links, link)
		}
	}
	d.sendHeartbeat(now, links)
}

// sendHeartbeat shows edges that this store lives, and what it is good for.
func (d *Daemon) sendHeartbeat(now ids.Millis, links []*transport.Link) {
	heartbeat := shardapi.Heartbeat{Told: d.control.Told(now)}
	if update := d.control.Update; update != nil {
		heartbeat.Seq = update.Seq
	}
	for group := range d.replicas.Replicas {
		if !d.serves(now, group) {
			heartbeat.Stale = append(heartbeat.Stale, group)
		}
	}
	body, err := codec.Marshal(heartbeat)
	if err != nil {
		return
	}
	for _, link := range links {
		link.SendRaw(shardapi.KindHeartbeat, body)
	}
}
