package meta

import (
	"strconv"

	"mulleinpier/internal/request"
)

// maxValueHead is the longest first line of an answer with a value, without the id.
const maxValueHead = "VA " + maxValueDigits + " O" + lineEnd

// AnswerHeaderRoom returns the maximum number of bytes that FormatAnswer writes before a value, with this id.
func AnswerHeaderRoom(id string) int { return len(maxValueHead) + len(id) }

// FormatAnswer returns the answer to a client's request. An answer with a value is built in the value's buffer.
func FormatAnswer(a *request.Answer, id string) []byte {
	switch a.Kind {
	case request.Value:
		head := make([]byte, 0, len(maxValueHead)+MaxID)
		head = append(head, "VA "...)
		head = strconv.AppendInt(head, int64(a.ValueLen()), 10)
		head = append(head, " O"...)
		head = append(head, id...)
		head = append(head, lineEnd...)
		return a.Frame(head, []byte(lineEnd))
	case request.Stored:
		text := make([]byte, 0, len("HD O c"+lineEnd)+len(id)+len(a.Receipt))
		text = append(text, "HD O"...)
		text = append(text, id...)
		text = append(text, " c"...)
		text = append(text, a.Receipt...)
		return append(text, lineEnd...)
	case request.Busy:
		text := make([]byte, 0, len("SERVER_ERROR busy 1234567"+lineEnd))
		text = append(text, "SERVER_ERROR busy"...)
		if a.RetryAfter > 0 {
			text = append(text, ' ')
			text = strconv.AppendInt(text, max(a.RetryAfter.Milliseconds(), 1), 10)
		}
		return append(text, lineEnd...)
	case request.NotFound:
		return []byte("EN" + lineEnd)
	case request.Invalid:
		return []byte("CLIENT_ERROR " + a.Reason + lineEnd)
	}
	return []byte("SERVER_ERROR failed" + lineEnd)
}
