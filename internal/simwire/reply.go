package simwire

import (
	"strconv"
	"strings"
	"time"

	"mulleinpier/policy"
)

// Reply builds the text of one reply. The zero Reply is empty and ready to use.
type Reply struct {
	buffer   []byte
	instance string // named by the last context line
}

// Reset empties the reply for the next batch.
func (r *Reply) Reset() { r.buffer, r.instance = r.buffer[:0], "" }

// Finish completes the reply to the batch with this sequence number. The returned text is valid until Reset.
func (r *Reply) Finish(sequence uint64) []byte {
	r.begin("next").unsigned(sequence).end()
	return r.buffer
}

// AddFailure reports that an instance failed. Control characters in the message become spaces.
func (r *Reply) AddFailure(instance, message string) {
	r.setInstance(instance)
	withoutControls := strings.Map(func(c rune) rune {
		if c < ' ' {
			return ' '
		}
		return c
	}, message)
	r.begin("die").text(withoutControls).end()
}

// AddActions appends the actions of an instance.
func (r *Reply) AddActions(instance string, actions []policy.Action) {
	if len(actions) == 0 {
		return
	}
	r.setInstance(instance)
	for i := range actions {
		r.addAction(&actions[i])
	}
}

func (r *Reply) addAction(a *policy.Action) {
	switch a.Kind {
	case policy.Send:
		r.begin("dispatch").unsigned(a.ID).text(a.Server).milliseconds(a.After).end()
	case policy.Cancel:
		r.begin("revoke").unsigned(a.ID).unsigned(uint64(a.Attempt)).end()
	case policy.Reject:
		r.begin("bounce").unsigned(a.ID).milliseconds(a.After).end()
	case policy.Fail:
		r.begin("error").unsigned(a.ID).end()
	case policy.SetTimer:
		r.begin("set_timer").unsigned(a.Token).milliseconds(a.After).end()
	case policy.Subscribe:
		r.begin("follow").unsigned(1).end()
	case policy.FetchEndpoints:
		r.begin("list_all").end()
	case policy.HealthCheck:
		r.begin("inspect").text(a.Server).end()
	case policy.CloseIdle:
		r.begin("free_links").text(a.Server).end()
	}
}

func (r *Reply) setInstance(instance string) {
	if instance != r.instance {
		r.instance = instance
		r.begin("context").text(instance).end()
	}
}

func (r *Reply) begin(name string) *Reply {
	r.buffer = append(r.buffer, name...)
	return r
}

func (r *Reply) text(value string) *Reply {
	r.buffer = append(append(r.buffer, '\t'), value...)
	return r
}

func (r *Reply) unsigned(value uint64) *Reply {
	r.buffer = strconv.AppendUint(append(r.buffer, '\t'), value, 10)
	return r
}

func (r *Reply) milliseconds(d time.Duration) *Reply {
	const decimals = 3
	ms := float64(d) / float64(time.Millisecond)
	r.buffer = strconv.AppendFloat(append(r.buffer, '\t'), ms, 'f', decimals, 64)
	return r
}

func (r *Reply) end() { r.buffer = append(r.buffer, '\n') }
