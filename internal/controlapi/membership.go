package controlapi

import (
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
)

// Node is a process as the control plane knows it.
type Node struct {
	_           struct{} `cbor:",toarray"`
	Name        string
	Role        Role
	Zone        ids.Zone
	Addr        ids.Node
	Front       string
	Disk        uint64
	Incarnation ids.Incarnation
	Num         ids.ReplicaID
	Gone        bool     // left or lost: not to be sent anyone
	Empty       bool     // to be emptied: it gets no replicas
	At          ids.Slot // the control group's instance of its last change
}

// Shard is one group's placement.
type Shard struct {
	_        struct{}       `cbor:",toarray"`
	Founders []paxos.Member // the membership it began with
	Voters   []paxos.Member // the membership wanted now
	Learners []paxos.Member // replicas that follow without a vote
	Members  []paxos.Member // the membership last reported to be in force
	Epoch    ids.Ballot     // by the leader of this epoch
	Group    ids.Group
	At       ids.Slot // the control group's instance of its last change
}

// Enroll registers an incarnation of a process, and tells how new its updates are.
type Enroll struct {
	_     struct{} `cbor:",toarray"`
	Node  Node
	Seq   ids.Slot
	Whole bool // updates are wanted from control itself
}

// Leave tells that a process drains, or fell silent, and is to be left out.
type Leave struct {
	_           struct{} `cbor:",toarray"`
	Addr        ids.Node
	Incarnation ids.Incarnation
	By          ids.Node // the watcher that misses it
}

// MemberLost is a shard leader's report that some of its members are silent, and
// which of its learners could replace one.
type MemberLost struct {
	_      struct{} `cbor:",toarray"`
	Group  ids.Group
	Epoch  ids.Ballot
	Silent []paxos.Member
	Ready  []paxos.Member
}

// Released is a shard leader's report on which learners its group may let go: they have no
// vote in any membership known to it and don't lead, and nothing that they began while they
// led may still be under way. It speaks of one placement: control may have changed it since.
type Released struct {
	_        struct{} `cbor:",toarray"`
	Group    ids.Group
	Epoch    ids.Ballot
	At       ids.Slot // Shard.At of the placement
	Learners []paxos.Member
}

// MembershipReport is a shard leader's report that these members are in force, and
// that each of them holds everything decided before they were.
type MembershipReport struct {
	_       struct{} `cbor:",toarray"`
	Group   ids.Group
	Epoch   ids.Ballot
	Members []paxos.Member
}

// Heartbeat shows that a silent link lives, and how new the sender's updates are.
type Heartbeat struct {
	_   struct{} `cbor:",toarray"`
	Seq ids.Slot
}
