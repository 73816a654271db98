package store

import (
	"log/slog"

	"oxbowdeck/internal/settings"
)

// pressure watches disk and memory. Past 85% of the disk nothing new is taken until
// snapshots and compaction bring it below 75%; likewise while the live heap is near the
// memory's bound, until history ages out.
type pressure struct {
	settings    *settings.Settings
	compactDisk func()
	diskTight   bool
	memoryTight bool
	full        bool // disk or memory is nearly full: nothing new is taken
}

// check looks at disk and memory, and makes room on the disk if it is needed.
func (p *pressure) check() {
	wasTight := p.diskTight
	p.diskTight = p.settings.DiskTight(wasTight)
	if p.diskTight {
		p.compactDisk()
	}
	if p.diskTight && !wasTight {
		slog.Warn("disk-near-full", "limit_mb", p.settings.DiskMB)
	}
	live := settings.Heap()
	p.memoryTight = p.settings.MemoryTight(live, p.memoryTight)
	if p.memoryTight {
		slog.Warn("memory-near-full", "limit_mb", p.settings.MemoryMB, "live_mb", live>>20)
	}
	p.full = p.diskTight || p.memoryTight
}
