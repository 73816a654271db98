package soak

import (
	"fmt"
	"slices"
	"time"
)

// The tenants of a soak: one is limited and floods, one is limited and calm, one is not limited.
const (
	quotaWindow = 5 * time.Second
	quotaExcess = 0.1
	quotaSlack  = 5

	limitedRate  = 20 // messages a second
	limitedBurst = 10
)

type tenant struct {
	label, key string
	rate       float64 // 0: not limited
	burst      float64
}

var tenants = []tenant{
	{"flood", "flood-key-1", limitedRate, limitedBurst},
	{"calm", "calm-key-1", limitedRate, limitedBurst},
	{"free", "free-key-1", 0, 0},
}

// tenantOfClient gives the tenant of a client: two in five flood, one is calm.
func tenantOfClient(number int) tenant {
	switch number % 5 {
	case 0, 1:
		return tenants[0]
	case 2:
		return tenants[1]
	}
	return tenants[2]
}

// tenantAccounts is the part of a configuration that names the tenants.
func tenantAccounts() string {
	text := ""
	for i, t := range tenants {
		if i > 0 {
			text += ","
		}
		text += fmt.Sprintf(`{"label":%q,"access_keys":[%q],"rate_per_s":%v,"burst_size":%v}`, t.label, t.key, t.rate, t.burst)
	}
	return `,"tenant_accounts":[` + text + `]`
}

// most is how many messages of a tenant may be accepted in a window.
func (t tenant) most() float64 {
	return (t.rate*quotaWindow.Seconds()+t.burst)*(1+quotaExcess) + quotaSlack
}

// span is when a message was sent first, and when it was known to be accepted.
type span struct{ sent, acked time.Time }

// checkWindows judges the accepted messages of a tenant: a window holds what was both sent
// and acknowledged in it.
func (h *History) checkWindows(t tenant, accepted []span) {
	if t.rate == 0 {
		return
	}
	slices.SortFunc(accepted, func(a, b span) int { return a.sent.Compare(b.sent) })
	worst := 0
	for i, first := range accepted {
		end := first.sent.Add(quotaWindow)
		n := 0
		for _, x := range accepted[i:] {
			if x.sent.After(end) {
				break
			}
			if !x.acked.After(end) {
				n++
			}
		}
		worst = max(worst, n)
	}
	h.note("tenant %s: %d accepted, %d in the fullest window, %.0f may be", t.label, len(accepted), worst, t.most())
	if float64(worst) > t.most() {
		h.violate("CEILING", "tenant %s: %d accepted in %v, at most %.0f may be", t.label, worst, quotaWindow, t.most())
	}
}

// checkQuotas judges the limits of the tenants of topic clients.
func (h *TopicHistory) checkQuotas() {
	if len(h.tenants) == 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	accepted := map[string][]span{}
	for _, m := range h.messages {
		if !m.ackedAt.IsZero() {
			accepted[m.tenant] = append(accepted[m.tenant], span{m.first, m.ackedAt})
		}
	}
	for _, t := range tenants {
		h.checkWindows(t, accepted[t.label])
	}
}
