package control

import "math"

// Model is the paper's model of a leader (section 4, the LAN case), with the
// disk's sync added to the latency of an instance. Times are in milliseconds,
// sizes in bytes.
type Model struct {
	Replicas   int     `json:"replicas"`
	Mbps       float64 `json:"mbps"`
	Latency    float64 `json:"latency_ms"` // one way
	Sync       float64 `json:"sync_ms"`
	Request    float64 `json:"request_bytes"`
	Answer     float64 `json:"answer_bytes"`
	CliByte    float64 `json:"cli_ms_per_byte"`
	CliFixed   float64 `json:"cli_ms"`
	RepByte    float64 `json:"rep_ms_per_byte"`
	RepFixed   float64 `json:"rep_ms"`
	Exec       float64 `json:"exec_ms"`
	RatePerSec float64 `json:"rate_per_s"`
}

// Row is what the model says of one batch size.
type Row struct {
	Requests  int     `json:"requests"`    // k
	Bytes     float64 `json:"bytes"`       // S_2a
	Fill      float64 `json:"fill_ms"`     // to gather them at the given rate
	Instance  float64 `json:"instance_ms"` // T_inst
	WndCPU    float64 `json:"w_cpu"`
	WndNet    float64 `json:"w_net"`
	Wnd       int     `json:"wnd"`
	PerSecond float64 `json:"max_per_s"`
}

// Rows works the formulas out for batches of 1, 2, 4, ... requests.
func (m Model) Rows(largest int) (out []Row) {
	n := float64(m.Replicas)
	bytesPerMs := m.Mbps * 1e6 / 8 / 1000
	half := math.Floor(n / 2)
	for k := 1; k <= largest; k *= 2 {
		kf := float64(k)
		s2a, s2b := kf*m.Request+32, 32.0
		net := ((n-1)*s2a + kf*m.Answer) / bytesPerMs
		cpu := kf*(m.CliFixed+m.CliByte*(m.Request+m.Answer)) + (n-1)*(m.RepFixed+m.RepByte*(s2a+s2b)) + kf*m.Exec
		tCPU := cpu + half*s2a/(2*bytesPerMs)
		tLat := half*s2a/bytesPerMs + 2*m.Latency + m.Sync + kf*m.Exec + kf*m.Answer/bytesPerMs
		inst := max(tCPU, net, tLat)
		r := Row{
			Requests:  k,
			Bytes:     s2a,
			Instance:  inst,
			WndCPU:    inst / cpu,
			WndNet:    inst / net,
			PerSecond: 1000 * kf / max(cpu, net),
		}
		r.Wnd = int(math.Ceil(min(r.WndCPU, r.WndNet)))
		if m.RatePerSec > 0 {
			r.Fill = 1000 * (kf - 1) / m.RatePerSec
		}
		out = append(out, r)
	}
	return out
}
