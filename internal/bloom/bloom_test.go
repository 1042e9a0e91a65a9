package bloom

import (
	"fmt"
	"testing"
)

func TestRecordForgetsInTwoTurns(t *testing.T) {
	var c Filter
	p := PositionsOf(Hash("k"))
	c.Add(&p)
	c.Rotate()
	if !c.Contains(&p) {
		t.Fatal("forgotten after one turn")
	}
	c.Rotate()
	if c.Contains(&p) || c.FalsePositiveRate() != 0 {
		t.Fatal("kept after two turns")
	}
}

func TestFalseHitIsAboutWhatIsSeen(t *testing.T) {
	var c Filter
	for i := range 600 {
		p := PositionsOf(Hash(fmt.Sprint("in", i)))
		c.Add(&p)
	}
	wrong := 0
	for i := range 4000 {
		p := PositionsOf(Hash(fmt.Sprint("out", i)))
		if c.Contains(&p) {
			wrong++
		}
	}
	if seen, said := float64(wrong)/4000, c.FalsePositiveRate(); said < seen/2 || said > 2*seen+0.01 {
		t.Errorf("false hits %.3f, the record says %.3f", seen, said)
	}
}
