package overload

import (
	"fmt"
	"slices"
)

// Level is a degradation level; a higher one is worse.
type Level uint8

// The levels. Package policy decides what each means for a request, and package core what it means for limits.
const (
	Full      Level = iota // no degradation
	Economy                // no hedged requests, and each retry is paid from the retry budget
	Late                   // reads that have to be fetched from the origin may be late
	Handovers              // a part of every limit is reserved for keyed writes
	Shelter                // serves only keys that caches are expected to hold, and handovers
	levelCount
)

const (
	// maxImprovement is the largest number of levels by which service improves in one transition.
	maxImprovement = 2

	// recoveryStayDivisor divides the minimum stay of the level that was left; the result is the minimum stay in the
	// level that service improved to.
	recoveryStayDivisor = 4
)

var levelNames = [levelCount]string{"full", "economy", "late", "handovers", "shelter"}

// String returns the level's name, as used in configurations and transitions.
func (l Level) String() string {
	if l < levelCount {
		return levelNames[l]
	}
	return fmt.Sprintf("level %d", uint8(l))
}

// LevelNames returns the names of all levels, the best first.
func LevelNames() []string { return slices.Clone(levelNames[:]) }

// ParseLevel returns the level with the given name; ok is false if there is none.
func ParseLevel(name string) (level Level, ok bool) {
	i := slices.Index(levelNames[:], name)
	if i < 0 {
		return Full, false
	}
	return Level(i), true
}
