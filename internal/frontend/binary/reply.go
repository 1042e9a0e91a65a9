package binary

import (
	"encoding/binary"
	"hash/fnv"
	"math/rand/v2"
	"strconv"
	"time"

	codec "mulleinpier/internal/binary"
	"mulleinpier/internal/frontend"
	"mulleinpier/internal/request"
	"mulleinpier/internal/ticket"
)

// reply receives the answer to a request, and formats it for the client.
type reply struct {
	frontend.Slot
	host    *frontend.Host
	header  codec.Header // of the command
	key     string       // the key to return in the answer, "" for none
	bodyLen int          // bytes of the body budget held by the request
}

// Release implements core.Reply.
func (r *reply) Release() { r.host.BodyBudget.Release(r.bodyLen) }

// Finish implements core.Reply.
func (r *reply) Finish(answer *request.Answer) {
	quiet := r.header.Opcode.Quiet()
	switch answer.Kind {
	case request.Value:
		r.finishValue(answer)
	case request.Stored:
		if quiet {
			r.FinishSilently()
			return
		}
		head := codec.Header{Opcode: r.header.Opcode, Opaque: r.header.Opaque, CAS: receiptCAS(answer.Receipt)}
		r.Slot.Finish(head.Append(nil, codec.ResponseMagic))
	case request.NotFound:
		if quiet {
			r.FinishSilently()
			return
		}
		r.finishNotFound()
	case request.Busy:
		r.finishStatus(codec.Busy, answer.RetryAfter)
	case request.Invalid:
		r.finishStatus(codec.InvalidArguments, 0)
	default:
		r.finishStatus(codec.InternalError, 0)
	}
}

// finishValue answers a get with its value, and with a new ticket as the CAS.
func (r *reply) finishValue(answer *request.Answer) {
	var buffer [codec.HeaderLen + codec.FlagsLen + codec.MaxKey]byte
	header := codec.Header{
		Opcode:    r.header.Opcode,
		KeyLen:    len(r.key),
		ExtrasLen: codec.FlagsLen,
		BodyLen:   codec.FlagsLen + len(r.key) + answer.ValueLen(),
		Opaque:    r.header.Opaque,
		CAS:       ticket.New(time.Now(), rand.Uint64()),
	}
	head := header.Append(buffer[:0], codec.ResponseMagic)
	head = binary.BigEndian.AppendUint32(head, answer.Flags)
	head = append(head, r.key...)
	r.Slot.FinishValue(answer.Frame(head, nil), func() []byte {
		return codec.AppendStatus(nil, &r.header, codec.OutOfMemory, 0)
	})
}

// finishNotFound answers a get that missed.
func (r *reply) finishNotFound() {
	if r.key == "" {
		r.finishStatus(codec.NotFound, 0)
		return
	}
	head := codec.Header{
		Opcode:  r.header.Opcode,
		KeyLen:  len(r.key),
		Status:  codec.NotFound,
		BodyLen: len(r.key),
		Opaque:  r.header.Opaque,
	}
	r.Slot.Finish(append(head.Append(nil, codec.ResponseMagic), r.key...))
}

func (r *reply) finishStatus(status codec.Status, retryAfter time.Duration) {
	r.Slot.Finish(codec.AppendStatus(nil, &r.header, status, retryAfterMillis(retryAfter)))
}

// retryAfterMillis converts a retry delay to whole milliseconds: at least 1 for a positive delay, and 0 for none.
func retryAfterMillis(retryAfter time.Duration) int64 {
	if retryAfter <= 0 {
		return 0
	}
	return max(retryAfter.Milliseconds(), 1)
}

// receiptCAS converts a receipt to a CAS: its value if it is a decimal number, else a hash of it.
func receiptCAS(receipt string) uint64 {
	if number, err := strconv.ParseUint(receipt, 10, 64); err == nil {
		return number
	}
	hash := fnv.New64a()
	hash.Write([]byte(receipt))
	return hash.Sum64()
}
