package control

import (
	"oxbowdeck/internal/codec"
	"oxbowdeck/internal/controlapi"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
)

// stateV1 is a state as it was kept until fields were numbered.
type stateV1 struct {
	_       struct{} `cbor:",toarray"`
	Slot    ids.Slot
	Release int64
	Config  []byte
	Past    []struct {
		_       struct{} `cbor:",toarray"`
		Release int64
		Sum     [32]byte
	}
	Nodes  []controlapi.Node
	Next   ids.ReplicaID
	Shards []controlapi.Shard
	Recent []struct {
		_   struct{} `cbor:",toarray"`
		ID  paxos.ID
		Res Result
	}
	ConfigAt ids.Slot
	UpdateAt ids.Slot
	Forgot   ids.Slot
	Workers  []controlapi.Worker
}

// Save gives the state's bytes; equal states give equal bytes.
func (s *State) Save() ([]byte, error) { return codec.Marshal(s) }

// Load reads a saved state, also one of the first format. On an error the state
// is as it was.
func (s *State) Load(b []byte) error {
	if len(b) == 0 || b[0]>>5 != 4 { // no list
		var n State
		if err := codec.Unmarshal(b, &n); err != nil {
			return err
		}
		*s = n
		return nil
	}
	var o stateV1
	if err := codec.Unmarshal(b, &o); err != nil {
		return err
	}
	n := State{Slot: o.Slot, Release: o.Release, Config: o.Config, Nodes: o.Nodes, Next: o.Next, Shards: o.Shards,
		ConfigAt: o.ConfigAt, UpdatedAt: o.UpdateAt, Forgot: o.Forgot, Workers: o.Workers}
	for _, t := range o.Past {
		n.Past = append(n.Past, taken{Release: t.Release, Sum: t.Sum[:], Packed: true})
	}
	for _, r := range o.Recent {
		if x, _ := n.session(r.ID, 0); x != nil {
			x.record(r.ID.Seq, r.Res)
		}
	}
	*s = n
	return nil
}
