package simwire

import (
	"testing"
	"time"

	"mulleinpier/policy"
)

func TestReply(t *testing.T) {
	var r Reply
	r.Reset()
	r.AddActions("proxy/3", []policy.Action{
		{Kind: policy.Send, ID: 7, Server: "a:1", After: 80 * time.Millisecond},
		{Kind: policy.SetTimer, Token: 77, After: 500 * time.Millisecond},
		{Kind: policy.Subscribe},
	})
	r.AddActions("proxy/4", nil)
	r.AddFailure("proxy/5", "bad\nsetting")
	want := "context\tproxy/3\ndispatch\t7\ta:1\t80.000\nset_timer\t77\t500.000\nfollow\t1\n" +
		"context\tproxy/5\ndie\tbad setting\nnext\t12\n"
	if got := string(r.Finish(12)); got != want {
		t.Errorf("have %q, want %q", got, want)
	}
}
