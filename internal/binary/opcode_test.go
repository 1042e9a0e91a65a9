package binary

import "testing"

// TestEveryOpcodeHasAHandling checks that each of the 256 opcodes has the expected handling (invariant 2) and is quiet
// or not as expected, against an independent list.
func TestEveryOpcodeHasAHandling(t *testing.T) {
	wantHandling := map[Opcode]Handling{}
	for handling, opcodes := range map[Handling][]Opcode{
		Forwarded: {Get, GetQ, GetK, GetKQ, Set, SetQ},
		Local:     {Noop, Version, Quit, QuitQ, Stat, SASLList, SASLAuth, SASLStep},
		Unsupported: {Add, AddQ, Replace, ReplaceQ, Delete, DeleteQ, Increment, IncrementQ, Decrement, DecrementQ,
			Append, AppendQ, Prepend, PrependQ, Flush, FlushQ, Touch, GAT, GATQ},
	} {
		for _, opcode := range opcodes {
			wantHandling[opcode] = handling
		}
	}
	wantQuiet := map[Opcode]bool{}
	for _, opcode := range []Opcode{GetQ, GetKQ, SetQ, AddQ, ReplaceQ, DeleteQ, IncrementQ, DecrementQ, QuitQ,
		FlushQ, AppendQ, PrependQ, GATQ} {
		wantQuiet[opcode] = true
	}
	for i := range 256 {
		opcode := Opcode(i)
		if opcode.Handling() != wantHandling[opcode] || opcode.Quiet() != wantQuiet[opcode] {
			t.Errorf("opcode %#x: handling %d, quiet %v", i, opcode.Handling(), opcode.Quiet())
		}
	}
}
