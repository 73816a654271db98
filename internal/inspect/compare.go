package inspect

import (
	"sort"

	"oxbowdeck/internal/digest"
	"oxbowdeck/internal/ids"
)

// Compare holds the copies of several directories against each other.
func Compare(groups []Group) []Fault {
	var faults []Fault
	sort.SliceStable(groups, func(i, j int) bool { return groups[i].Group < groups[j].Group })
	for i, a := range groups {
		for _, b := range groups[i+1:] {
			if a.Group != b.Group {
				break
			}
			if fault, differ := compare(a, b); differ {
				faults = append(faults, fault)
			}
		}
	}
	return faults
}

// compare holds two copies of a group against each other.
func compare(a, b Group) (Fault, bool) {
	fault := Fault{Dir: a.Dir, Group: a.Group, Other: b.Dir}
	if slot, differ := digest.Differ(a.copy(), b.copy()); differ {
		fault.Slot = slot
		fault.What = "decided values differ"
		return fault, true
	}
	if a.At == b.At && a.Digest != b.Digest {
		fault.Slot = a.At
		fault.What = "states differ after the same log"
		return fault, true
	}
	return Fault{}, false
}

// copy is the decided log as it is compared.
func (g Group) copy() digest.Copy {
	return digest.Copy{
		First: g.Snapshot + 1,
		Last:  g.Decided,
		At:    func(slot ids.Slot) []byte { return g.entries[slot].Val },
	}
}
