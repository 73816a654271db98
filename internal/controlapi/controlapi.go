// Package controlapi is what passes between the control plane (package control) and
// the data plane: the messages of both, the client that a data-plane process keeps to
// control, and the operator's configuration as processes read it. What the control
// group agrees on, and how, does not belong here.
//
// One file each: membership.go (processes, shards and the reports on them), update.go
// (what control tells the data plane), worker.go (workers' registrations), client.go,
// configuration.go (routes, spaces and services) and configuration_file.go (the JSON
// that operators write).
package controlapi

import (
	"oxbowdeck/internal/transport"
)

// Frame kinds between processes. Each protocol has its own range.
const (
	KindControlGroup          transport.Kind = 3
	KindControlSnapshot       transport.Kind = 4
	KindEnroll                transport.Kind = 10
	KindUpdate                transport.Kind = 12
	KindHeartbeat             transport.Kind = 13
	KindAsk                   transport.Kind = 14
	KindLeave                 transport.Kind = 15
	KindMissing               transport.Kind = 16
	KindMembership            transport.Kind = 17
	KindMemberLost            transport.Kind = 18
	KindWorkerHeartbeats      transport.Kind = 19
	KindWorkerHeartbeatsHeard transport.Kind = 20
	KindReleased              transport.Kind = 21
)

// Role of a process in the deployment.
type Role uint8

// Roles: a client's way in, a holder of replicas, a member of the control group.
const (
	Edge Role = iota + 1
	Store
	Control
)

func (r Role) String() string { return [...]string{"none", "edge", "store", "control"}[r] }
