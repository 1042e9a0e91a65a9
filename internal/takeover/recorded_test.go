package takeover

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"mulleinpier/internal/testutil"
)

// recordedCandidates are twelve instances in three zones.
func recordedCandidates() (list []Candidate) {
	for i := range 12 {
		list = append(list, Candidate{Owner{fmt.Sprint("p", i), uint64(i)}, fmt.Sprint("z", i%3)})
	}
	return list
}

// rankingText returns the ranking of the instances for 50 keys, one line each.
func rankingText() string {
	var text strings.Builder
	for i := range 50 {
		id := fmt.Sprintf("order\x00shop\x00k%d", i)
		fmt.Fprintf(&text, "%q", id)
		for _, p := range RankHolders(id, recordedCandidates()) {
			fmt.Fprint(&text, " ", p.Name)
		}
		fmt.Fprintln(&text)
	}
	return text.String()
}

// TestRecordedRanking checks that the ranking of a key's holders matches that of an earlier version. All versions
// in a fleet must rank holders alike.
func TestRecordedRanking(t *testing.T) {
	if got := rankingText(); got != string(testutil.Recorded(t, "testdata/holders.txt")) {
		t.Errorf("the ranking differs from that of an earlier version:\n%s", got)
	}
}

// recordedList is a list recorded from an earlier version.
var recordedList = []WriteStatus{
	{ID: "order\x00shop\x00k1", Owner: "p1", Epoch: 2, OwnerCount: 2, State: StateUnknown, Age: 31 * time.Second},
	{
		ID: "order\x00shop\x00k2", Owner: "p2", Epoch: 1, OwnerCount: 1, State: StateServed,
		Age: 1500 * time.Millisecond, Receipt: "r-1",
	},
}

// TestRecordedList checks that the JSON of the list of writes matches that of an earlier version, because other
// programs read it.
func TestRecordedList(t *testing.T) {
	recorded := testutil.Recorded(t, "testdata/list.json")
	var got []WriteStatus
	if err := json.Unmarshal(recorded, &got); err != nil || !reflect.DeepEqual(got, recordedList) {
		t.Errorf("decodes to %+v, want %+v (error %v)", got, recordedList, err)
	}
	if encoded, err := json.Marshal(recordedList); err != nil || !bytes.Equal(encoded, recorded) {
		t.Errorf("now encoded as\n%s, recorded as\n%s (error %v)", encoded, recorded, err)
	}
}
