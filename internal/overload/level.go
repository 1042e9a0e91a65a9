package overload

import (
	"fmt"
	"slices"
)

// Level says how far service is degraded; a higher one is worse.
type Level uint8

// The levels. What each does is decided in package policy, for its limits in package core.
const (
	Full      Level = iota // no degradation
	Economy                // no hedged requests, retries are rationed
	Late                   // reads that have to be fetched may be late
	Handovers              // a part of every limit is reserved for keyed writes
	Shelter                // only keys that caches are expected to hold, and handovers
	levelCount
)

const (
	// maxDescent is how many levels service improves at once at most.
	maxDescent = 2

	// descentStayDivisor is the part, one in so many, of the minimum stay of a level that was left for which service
	// stays at the level that it improved to.
	descentStayDivisor = 4
)

var levelNames = [levelCount]string{"full", "economy", "late", "handovers", "shelter"}

// String returns the level's name, as configurations and transitions have it.
func (l Level) String() string {
	if l < levelCount {
		return levelNames[l]
	}
	return fmt.Sprintf("level %d", uint8(l))
}

// LevelNames returns the names of all levels, the best first.
func LevelNames() []string { return slices.Clone(levelNames[:]) }

// ParseLevel returns the level with a name.
func ParseLevel(name string) (level Level, ok bool) {
	i := slices.Index(levelNames[:], name)
	if i < 0 {
		return Full, false
	}
	return Level(i), true
}
