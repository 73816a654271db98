package settings

import "runtime/debug"

// Shares of the machine's memory, in percent. The live heap may take three quarters
// of what the collector may use; the rest is garbage that waits for the next
// collection. Buffers of compactions and snapshots are live as well, so the bound on
// the live heap leaves room for them beside the state.
const (
	memoryLimitPercent = 75
	liveHighPercent    = 56 // nothing new is taken above it,
	liveLowPercent     = 50 // until the live heap is below this
)

// MemoryTight tells whether the live heap is near what this process may hold; was
// is what it told before.
func (s *Settings) MemoryTight(live int64, was bool) bool {
	return Tight(live, int64(s.MemoryMB)<<20, liveHighPercent, liveLowPercent, was)
}

// ApplyMemoryLimit bounds the process's memory to what the settings allow.
func (s *Settings) ApplyMemoryLimit() {
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(s.MemoryMB) << 20 * memoryLimitPercent / 100)
	}
	debug.SetGCPercent(s.Int("gc_percent", 40))
}
