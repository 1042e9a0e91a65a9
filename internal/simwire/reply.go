package simwire

import (
	"strconv"
	"strings"
	"time"

	"mulleinpier/policy"
)

// Reply gathers the text of one reply.
type Reply struct {
	buf []byte
	who string
}

// Reset empties the reply for the next batch.
func (r *Reply) Reset() { r.buf, r.who = r.buf[:0], "" }

// Finish closes the reply to batch seq and returns its text.
func (r *Reply) Finish(seq uint64) []byte {
	r.line("next").whole(seq).stop()
	return r.buf
}

// AddFailure reports that an instance cannot go on.
func (r *Reply) AddFailure(instance, text string) {
	r.about(instance)
	text = strings.Map(func(c rune) rune {
		if c < ' ' {
			return ' '
		}
		return c
	}, text)
	r.line("die").text(text).stop()
}

// AddActions writes the actions of an instance.
func (r *Reply) AddActions(instance string, actions []policy.Action) {
	if len(actions) == 0 {
		return
	}
	r.about(instance)
	for _, a := range actions {
		switch a.Kind {
		case policy.Send:
			r.line("dispatch").whole(a.ID).text(a.Server).millis(a.After).stop()
		case policy.Cancel:
			r.line("revoke").whole(a.ID).whole(uint64(a.Attempt)).stop()
		case policy.Reject:
			r.line("bounce").whole(a.ID).millis(a.After).stop()
		case policy.Fail:
			r.line("error").whole(a.ID).stop()
		case policy.SetTimer:
			r.line("set_timer").whole(a.Token).millis(a.After).stop()
		case policy.Subscribe:
			r.line("follow").whole(1).stop()
		case policy.FetchEndpoints:
			r.line("list_all").stop()
		case policy.HealthCheck:
			r.line("inspect").text(a.Server).stop()
		case policy.CloseIdle:
			r.line("free_links").text(a.Server).stop()
		}
	}
}

func (r *Reply) about(instance string) {
	if instance != r.who {
		r.who = instance
		r.line("context").text(instance).stop()
	}
}

func (r *Reply) line(name string) *Reply {
	r.buf = append(r.buf, name...)
	return r
}

func (r *Reply) text(v string) *Reply {
	r.buf = append(append(r.buf, '\t'), v...)
	return r
}

func (r *Reply) whole(v uint64) *Reply {
	r.buf = strconv.AppendUint(append(r.buf, '\t'), v, 10)
	return r
}

func (r *Reply) millis(d time.Duration) *Reply {
	r.buf = strconv.AppendFloat(append(r.buf, '\t'), float64(d)/1e6, 'f', 3, 64)
	return r
}

func (r *Reply) stop() { r.buf = append(r.buf, '\n') }
