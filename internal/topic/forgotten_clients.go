package topic

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"

	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/statemachine"
)

// clientMark is what is left of a client's forgotten topics. A client's numbers rise across all
// topics, so one mark refuses for all of them what would have been refused.
type clientMark struct {
	_    struct{}   `cbor:",toarray"`
	High ids.Seq    // the highest number accepted on any of them
	At   ids.Millis // when one was last accepted
}

// forgottenClients stands for the publishers that a state has let go of.
type forgottenClients struct {
	marks map[ids.Client]clientMark
	fence ids.Millis // what a client without a mark wrote before may have been accepted, or passed over
}

func newForgottenClients() forgottenClients {
	return forgottenClients{marks: map[ids.Client]clientMark{}}
}

// add takes a publisher that the state lets go of.
func (f *forgottenClients) add(client ids.Client, p *publisher) {
	mark := f.marks[client]
	f.marks[client] = clientMark{High: max(mark.High, p.High), At: max(mark.At, p.At)}
}

// verdict judges a publish of a client whose numbers on the topic are not known. Fresh: nothing
// that was forgotten speaks against it.
func (f *forgottenClients) verdict(command *Command) Verdict {
	mark, found := f.marks[command.Client]
	switch {
	case found && command.Seq <= mark.High:
		return Refused
	case found || command.AsOf >= f.fence:
		return Fresh
	case command.AsOf == 0: // an edge of an earlier version would take TooOld for an acceptance
		return Refused
	}
	return TooOld
}

// shorten drops so many marks, those of the longest idle clients. Copies of what these wrote may
// still be on the way, and they may have written some for so long after an acceptance: the fence
// refuses them.
func (f *forgottenClients) shorten(count int, late ids.Millis) {
	clients := slices.SortedFunc(maps.Keys(f.marks), func(a, b ids.Client) int {
		return cmp.Or(cmp.Compare(f.marks[a].At, f.marks[b].At), cmp.Compare(a, b))
	})
	for _, client := range clients[:count] {
		f.fence = max(f.fence, f.marks[client].At+late+1)
		delete(f.marks, client)
	}
}

// forgottenHeader begins the forgotten clients in a snapshot; so many rows follow.
type forgottenHeader struct {
	_     struct{} `cbor:",toarray"`
	Fence ids.Millis
	Marks int
}

type clientMarkRow struct {
	_      struct{} `cbor:",toarray"`
	Client ids.Client
	Mark   clientMark
}

// errForgottenClients tells of a number of marks that can't be.
var errForgottenClients = errors.New("forgotten clients")

// empty tells whether nothing was ever forgotten.
func (f *forgottenClients) empty() bool { return len(f.marks) == 0 && f.fence == 0 }

// save appends the marks to a snapshot, in a fixed order.
func (f *forgottenClients) save(w *statemachine.SnapshotWriter) {
	w.Write(forgottenHeader{Fence: f.fence, Marks: len(f.marks)})
	for _, client := range slices.Sorted(maps.Keys(f.marks)) {
		w.Write(clientMarkRow{Client: client, Mark: f.marks[client]})
	}
}

// load reads what save wrote; a snapshot that ends before it has none.
func (f *forgottenClients) load(r *statemachine.SnapshotReader) error {
	var header forgottenHeader
	if found, err := r.ReadLater("forgotten clients", &header); !found {
		return err
	}
	if header.Marks < 0 || header.Fence < 0 {
		return fmt.Errorf("%w: %d marks, fence %d", errForgottenClients, header.Marks, header.Fence)
	}
	f.fence = header.Fence
	return statemachine.ReadRows(r, "forgotten client", header.Marks, func(row clientMarkRow) error {
		f.marks[row.Client] = row.Mark
		return nil
	})
}
