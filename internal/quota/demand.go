package quota

import (
	"math"

	"oxbowdeck/internal/ids"
)

// demandMemory is over how long demand is smoothed.
const demandMemory = ids.Millis(500)

// demand is a smoothed rate of tokens that were asked for.
type demand struct {
	perMilli float64
	at       ids.Millis
}

// add counts tokens that are asked for now.
func (d *demand) add(now ids.Millis, n int) {
	d.perMilli = d.rate(now) + float64(n)/float64(demandMemory)
	d.at = now
}

// rate is the smoothed rate now, in tokens a millisecond.
func (d *demand) rate(now ids.Millis) float64 {
	return d.perMilli * math.Exp(-float64(max(0, now-d.at))/float64(demandMemory))
}

// within is how many tokens will be asked for in some time, at the rate of now.
func (d *demand) within(now, time ids.Millis) float64 {
	return math.Min(d.rate(now)*float64(time), maxWant)
}
