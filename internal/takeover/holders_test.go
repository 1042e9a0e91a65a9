package takeover

import (
	"fmt"
	"testing"
)

// TestHolderRankingIsSharedAndStable checks the ranking of holders: the first three are in different zones, the
// writes are spread evenly, and the loss of an instance moves only the writes that it was the first holder of.
func TestHolderRankingIsSharedAndStable(t *testing.T) {
	var candidates []Candidate
	for i := range 12 {
		candidates = append(candidates, Candidate{Owner{fmt.Sprint("p", i), 1}, fmt.Sprint("z", i%3)})
	}
	firsts, moved := make(map[string]int), 0
	for i := range 3000 {
		id := fmt.Sprint("key", i)
		list := RankHolders(id, candidates)
		if len(list) != len(candidates) || list[0].Zone == list[1].Zone || list[1].Zone == list[2].Zone {
			t.Fatalf("%s: %+v", id, list)
		}
		firsts[list[0].Name]++
		if without := RankHolders(id, candidates[1:]); without[0].Name != list[0].Name {
			moved++
			if list[0].Name != "p0" {
				t.Errorf("%s moved from %s, but p0 was removed", id, list[0].Name)
			}
		}
	}
	for name, n := range firsts {
		if n < 150 || n > 350 {
			t.Errorf("%s is first for %d of 3000", name, n)
		}
	}
	if moved != firsts["p0"] {
		t.Errorf("%d writes moved, p0 was first for %d", moved, firsts["p0"])
	}
}
