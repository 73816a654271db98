package soak

import (
	"math/rand/v2"
	"time"
)

// atRandom calls a function again and again, after pauses of a mean length, until stop is
// closed.
func atRandom(stop chan struct{}, random *rand.Rand, mean time.Duration, do func()) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(random.Int64N(int64(2 * mean)))):
			do()
		}
	}
}
