package queue

import (
	"cmp"
	"errors"
	"maps"
	"slices"

	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/statemachine"
)

// snapshotOverhead is the divisor of a state's bytes that gives the room for the
// encoding's own bytes.
const snapshotOverhead = 16

// header begins a saved state; as many rows follow, in the order of their places. Where
// there is anything of tenants, a tenantHeader comes next; without, the form is that of
// versions that had none.
type header struct {
	_ struct{} `cbor:",toarray"`
	statemachine.Progress
	Rows int
}

// tenantHeader begins what a snapshot has of tenants: rows of whose the messages are, and
// the accounts.
type tenantHeader struct {
	_        struct{} `cbor:",toarray"`
	Messages int
	Accounts int
}

// tenantRow tells whose a message is, of those that are somebody's.
type tenantRow struct {
	_      struct{} `cbor:",toarray"`
	Pos    ids.Position
	Tenant ids.Tenant
}

// Errors of what a snapshot has of tenants.
var (
	errNoRow     = errors.New("a tenant without its message")
	errNoAccount = errors.New("accounts are missing")
)

// Save writes the whole state: equal states give equal bytes.
func (s *State) Save() ([]byte, error) {
	w := statemachine.NewSnapshotWriter(s.bytes + s.bytes/snapshotOverhead)
	w.Write(header{Progress: s.progress, Rows: len(s.rows)})
	var tenants []tenantRow
	for _, pos := range slices.Sorted(maps.Keys(s.rows)) {
		row := s.rows[pos]
		w.Write(row)
		if row.Msg.Tenant != "" {
			tenants = append(tenants, tenantRow{Pos: pos, Tenant: row.Msg.Tenant})
		}
	}
	if len(tenants)+s.accounts.Len() > 0 {
		w.Write(tenantHeader{Messages: len(tenants), Accounts: s.accounts.Len()})
		for _, tenant := range tenants {
			w.Write(tenant)
		}
		s.accounts.Save(w)
	}
	return w.Bytes()
}

// Load replaces the state by a saved one; a damaged one changes nothing.
func (s *State) Load(snapshot []byte) error {
	var h header
	r, err := statemachine.OpenSnapshot(snapshot, &h)
	if err != nil {
		return err
	}
	loaded := New(s.Bounds)
	loaded.progress = h.Progress
	var rows []*Row
	err = statemachine.ReadRows(r, "message", h.Rows, func(row Row) error {
		rows = append(rows, &row)
		return nil
	})
	if err != nil {
		return err
	}
	if err := loaded.loadTenants(r, rows); err != nil {
		return err
	}
	for _, row := range rows {
		loaded.add(row)
		if row.Outcome != Open {
			loaded.ended = append(loaded.ended, row.Pos)
		}
	}
	slices.SortStableFunc(loaded.ended, func(a, b ids.Position) int {
		return cmp.Compare(loaded.rows[a].EndedAt, loaded.rows[b].EndedAt)
	})
	*s = *loaded
	return nil
}

// loadTenants reads whose the messages are, which stand in the order of their places, and
// the accounts. Snapshots without tenants end before that.
func (s *State) loadTenants(r *statemachine.SnapshotReader, rows []*Row) error {
	var h tenantHeader
	if found, err := r.ReadLater("tenants", &h); !found {
		return err
	}
	err := statemachine.ReadRows(r, "tenant", h.Messages, func(tenant tenantRow) error {
		i, found := slices.BinarySearchFunc(rows, tenant.Pos, func(row *Row, pos ids.Position) int {
			return cmp.Compare(row.Pos, pos)
		})
		if !found || tenant.Tenant == "" {
			return errNoRow
		}
		rows[i].Msg.Tenant = tenant.Tenant
		return nil
	})
	if err != nil {
		return err
	}
	if err := s.accounts.Load(r); err != nil {
		return err
	}
	if s.accounts.Len() != h.Accounts {
		return errNoAccount
	}
	return nil
}
