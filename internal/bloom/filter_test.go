package bloom

import (
	"fmt"
	"testing"
)

func TestFilterForgetsInTwoRotations(t *testing.T) {
	var f Filter
	p := PositionsOf(Hash("k"))
	f.Add(&p)
	f.Rotate()
	if !f.Contains(&p) {
		t.Fatal("forgotten after one rotation")
	}
	f.Rotate()
	if f.Contains(&p) || f.FalsePositiveRate() != 0 {
		t.Fatal("remembered after two rotations")
	}
}

func TestFalsePositiveRateIsAboutWhatIsSeen(t *testing.T) {
	const probes = 4000
	var f Filter
	for i := range 600 {
		p := PositionsOf(Hash(fmt.Sprint("in", i)))
		f.Add(&p)
	}
	falsePositives := 0
	for i := range probes {
		p := PositionsOf(Hash(fmt.Sprint("out", i)))
		if f.Contains(&p) {
			falsePositives++
		}
	}
	measured, estimated := float64(falsePositives)/probes, f.FalsePositiveRate()
	if estimated < measured/2 || estimated > 2*measured+0.01 {
		t.Errorf("false positive rate %.3f, estimated %.3f", measured, estimated)
	}
}
