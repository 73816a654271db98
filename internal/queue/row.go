package queue

import (
	"strings"

	"oxbowdeck/internal/ids"
)

// rowOverhead is about how many bytes a row takes beside its body, id and path.
const rowOverhead = 320

// Row is a message as the group knows it.
type Row struct {
	_            struct{} `cbor:",toarray"`
	Pos          ids.Position
	Msg          Message
	AcceptedAt   ids.Millis
	NotBefore    ids.Millis // not to run earlier
	ExpiresAt    ids.Millis // ends at the latest
	Attempts     uint32     // attempts begun
	Failures     uint16     // attempts answered with failure
	Running      bool       // an attempt is under way
	RunningUntil ids.Millis // and is over by then, whoever sent it
	Outcome      Outcome
	Seal         string
	EndedAt      ids.Millis
}

// Size is about how many bytes a row takes.
func (r *Row) Size() int {
	return len(r.Msg.Body) + len(r.Msg.ID) + len(r.Msg.Path) + len(r.Msg.Tenant) + rowOverhead
}

// Separators of names and keys. An id has no slash, and an X-Sequence-Key no byte 0, so
// what is made of different parts differs.
const (
	nameSeparator = "/"
	keySeparator  = "\x00"
)

// Name is what a shard knows a message by: its id, and for a tenant's message the tenant
// before it. So no tenant can ask for, or stand in the way of, another's message.
func Name(tenant ids.Tenant, id string) string {
	if tenant == "" {
		return id
	}
	return string(tenant) + nameSeparator + id
}

// IDOf gives the id in a name.
func IDOf(name string) string { return name[strings.LastIndex(name, nameSeparator)+1:] }

// Name is what a shard knows the message by.
func (m *Message) Name() string { return Name(m.Tenant, m.ID) }

// SequenceKey is the sequence a message stands in, if any: of its tenant and its X-Sequence-Key.
// The key alone stands for the messages of nobody, as for all in versions without tenants.
func (r *Row) SequenceKey() string {
	if r == nil || !r.Msg.Ordered || r.Msg.Key == "" {
		return ""
	}
	if r.Msg.Tenant == "" {
		return r.Msg.Key
	}
	return string(r.Msg.Tenant) + keySeparator + r.Msg.Key
}
