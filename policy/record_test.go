package policy

import (
	"fmt"
	"testing"
)

func TestRecordForgetsInTwoTurns(t *testing.T) {
	var c record
	p := places(hash("k"))
	c.add(&p)
	c.turn()
	if !c.has(&p) {
		t.Fatal("forgotten after one turn")
	}
	c.turn()
	if c.has(&p) || c.falseHit() != 0 {
		t.Fatal("kept after two turns")
	}
}

func TestFalseHitIsAboutWhatIsSeen(t *testing.T) {
	var c record
	for i := range 600 {
		p := places(hash(fmt.Sprint("in", i)))
		c.add(&p)
	}
	wrong := 0
	for i := range 4000 {
		p := places(hash(fmt.Sprint("out", i)))
		if c.has(&p) {
			wrong++
		}
	}
	if seen, said := float64(wrong)/4000, c.falseHit(); said < seen/2 || said > 2*seen+0.01 {
		t.Errorf("false hits %.3f, the record says %.3f", seen, said)
	}
}
