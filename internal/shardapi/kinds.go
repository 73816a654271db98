// Package shardapi is what passes between edges and storage replicas: the messages,
// a file for each protocol, and the kinds of the frames that carry them. How they
// are handled belongs to the edges, to package store and to package dispatch.
package shardapi

import "oxbowdeck/internal/transport"

// Frame kinds of the replicas among themselves.
const (
	KindGroup transport.Kind = 1 // messages of the engine
	KindSnap  transport.Kind = 2 // parts of snapshots
)

// Frame kinds of following.
const (
	KindFollow   transport.Kind = 20
	KindFollowed transport.Kind = 21
	KindWatch    transport.Kind = 22
	KindJoined   transport.Kind = 23
	KindUnwatch  transport.Kind = 24
	KindFlow     transport.Kind = 27
	KindBye      transport.Kind = 31
	KindPing     transport.Kind = 34
	KindPong     transport.Kind = 35
	KindTimes    transport.Kind = 37
	// KindTakesPieces, without content, tells that the edge takes what a Watch is answered in pieces.
	KindTakesPieces transport.Kind = 38
	KindPiece       transport.Kind = 39 // the first piece of a large answer to Watch
)

// Frame kinds of control updates.
const (
	KindHeartbeat transport.Kind = 33
	KindHear      transport.Kind = 36
)

// Frame kinds of publishing.
const (
	KindPropose transport.Kind = 25
	KindDeny    transport.Kind = 26
	KindLead    transport.Kind = 28
	KindKnown   transport.Kind = 32 // outcomes, off the flow
)

// Frame kinds of counting.
const (
	KindCount   transport.Kind = 29
	KindCounted transport.Kind = 30
)

// Frame kinds of deployments that take in messages.
const (
	KindWho     transport.Kind = 40
	KindState   transport.Kind = 41
	KindStated  transport.Kind = 42
	KindGrant   transport.Kind = 43
	KindGranted transport.Kind = 44
)

// Frame kinds of deployments that limit what tenants send.
const (
	KindTenantPropose transport.Kind = 45
	KindQuotaDenied   transport.Kind = 46
	KindQuotaAsk      transport.Kind = 47
	KindQuotaGranted  transport.Kind = 48
)

// Handle decodes the body of a frame and hands it on; one that can't be decoded is
// left out.
func Handle[T any](body []byte, handle func(T)) {
	if message, ok := transport.Get[T](body); ok {
		handle(message)
	}
}
