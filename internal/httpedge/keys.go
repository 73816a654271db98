package httpedge

import (
	"errors"
	"net/http"
	"strconv"

	"oxbowdeck/internal/controlapi"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/watch"
)

// Where the part "tenants" of the rules is in force, a message for a route that is not open
// bears the key of a tenant, and belongs to that tenant. A key is held as its digest alone,
// from its header on, and looked up anew for each request.

// keyHeader is the header that carries a key.
const keyHeader = "X-Api-Key"

// maxKeyBytes is the longest key that a configuration may have.
const maxKeyBytes = 256

// Errors of a request's key that no configuration mends.
var (
	errManyKeys = errors.New(keyHeader + " must be given once")
	errLongKey  = errors.New(keyHeader + " is longer than " + strconv.Itoa(maxKeyBytes) + " bytes")
)

// What clients are told of their keys.
const (
	keyNeeded   = "an " + keyHeader + " that the configuration has is needed"
	keysUnknown = "this node can't confirm which keys hold"
)

// readKey reads the key of a request; ok is false if it bears none.
func readKey(r *http.Request) (key controlapi.KeyDigest, ok bool, err error) {
	values := r.Header[keyHeader]
	switch {
	case len(values) > 1:
		return key, false, errManyKeys
	case len(values) == 0 || values[0] == "":
		return key, false, nil
	case len(values[0]) > maxKeyBytes:
		return key, false, errLongKey
	}
	return controlapi.DigestKey(values[0]), true, nil
}

// tenantOf gives the tenant of a request's key, or nil if it bears none that the
// configuration has; ok is false if it turned the request down. Keys that can't be confirmed
// are not served.
func (d *Daemon) tenantOf(
	w http.ResponseWriter, r *http.Request, view *watch.View,
) (tenant *controlapi.Tenant, ok bool) {
	key, keyed, err := readKey(r)
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return nil, false
	}
	if keyed {
		tenant = view.Config.TenantOf(key)
	}
	if tenant != nil && d.bounds.keys.Lapsed(ids.MonotonicNow(), view) {
		writeError(w, http.StatusServiceUnavailable, keysUnknown)
		return nil, false
	}
	return tenant, true
}

// owner gives whose a message for a route is; empty: nobody's. ok is false if it turned the
// message down.
func (d *Daemon) owner(
	w http.ResponseWriter, r *http.Request, view *watch.View, route *controlapi.Space,
) (owner ids.Tenant, ok bool) {
	if !d.bounds.keys.InForce || route.Open {
		return "", true
	}
	tenant, ok := d.tenantOf(w, r, view)
	if !ok {
		return "", false
	}
	if tenant == nil {
		writeErrorIfCurrent(w, view, http.StatusUnauthorized, keyNeeded)
		return "", false
	}
	return tenant.Label, true
}

// asker is who asks for a message.
type asker struct {
	tenant  ids.Tenant
	unkeyed bool // a key is needed, and the configuration does not have the one given, if any
}

// askerOf gives who asks for a message; ok is false if it turned the question down. Who has
// no key is told of messages that are nobody's.
func (d *Daemon) askerOf(w http.ResponseWriter, r *http.Request, view *watch.View) (who asker, ok bool) {
	if !d.bounds.keys.InForce {
		return asker{}, true
	}
	tenant, ok := d.tenantOf(w, r, view)
	if tenant == nil {
		return asker{unkeyed: true}, ok
	}
	return asker{tenant: tenant.Label}, ok
}
