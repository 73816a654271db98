package settings

import "oxbowdeck/internal/storage"

// DiskTight tells whether the data folder is near what it may ever take: past 85%
// of it, until it is below 75% again. The rest is kept for the compactions that
// make room. What it may take is the limit of the settings, or what it takes and
// the file system has left, if that is less: others may fill the disk too.
func (s *Settings) DiskTight(was bool) bool {
	used, free, err := storage.Room(s.DataDir)
	if err != nil {
		return was
	}
	limit := int64(s.DiskMB) << 20
	if limit <= 0 || used+free < limit {
		limit = max(1, used+free)
	}
	return Tight(used, limit, 85, 75, was)
}

// Tight tells whether a bound is near: above high percent of it, and then until
// low percent.
func Tight(used, limit int64, high, low int64, was bool) bool {
	return limit > 0 && (used*100 > limit*high || was && used*100 > limit*low)
}
