package quota

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/statemachine"
)

// accountRow is an account as snapshots have it, in the order of the tenants.
type accountRow struct {
	_       struct{} `cbor:",toarray"`
	Tenant  ids.Tenant
	Account *account
}

// ErrDamagedAccount is the error of a snapshot whose accounts can't be those of a ledger.
var ErrDamagedAccount = errors.New("quota: damaged account")

// Save appends the accounts to a snapshot: equal ledgers give equal bytes.
func (l *Ledger) Save(w *statemachine.SnapshotWriter) {
	w.Write(len(l.accounts))
	for _, tenant := range slices.Sorted(maps.Keys(l.accounts)) {
		w.Write(accountRow{Tenant: tenant, Account: l.accounts[tenant]})
	}
}

// Load replaces the accounts by those of a snapshot; a damaged one changes nothing. A
// snapshot that ends before them is of a version without a ledger: it has no accounts.
func (l *Ledger) Load(r *statemachine.SnapshotReader) error {
	var count int
	if _, err := r.ReadLater("quota accounts", &count); err != nil {
		return err
	}
	if count < 0 || count > l.most {
		return fmt.Errorf("%w: %d accounts", ErrDamagedAccount, count)
	}
	loaded := map[ids.Tenant]*account{}
	err := statemachine.ReadRows(r, "quota account", count, func(row accountRow) error {
		if !validTenant(row.Tenant) || row.Account == nil || !row.Account.valid() {
			return ErrDamagedAccount
		}
		loaded[row.Tenant] = row.Account
		return nil
	})
	if err != nil {
		return err
	}
	l.accounts = loaded
	return nil
}

// valid tells whether an account is one that commands can make.
func (a *account) valid() bool {
	return a.Level >= 0 && a.Level <= a.Capacity && a.Outstanding >= 0 && validBucket(a.Rate, a.Capacity)
}
