package simwire

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	absent = "-" // stands for a missing value

	maxNumber = 1e12 // largest accepted magnitude of a number

	requestIDBits = 52
	indexBits     = 31
)

// fields parses the tab-separated values of one line in order. It keeps the first error in err; after it, all methods
// except remainder treat the values as absent.
type fields struct {
	line int
	name string // name of the message
	rest string // values not yet parsed
	more bool   // whether values are left
	err  error
}

func (f *fields) errorf(field, format string, args ...any) error {
	return &SyntaxError{f.line, f.name + " " + field, fmt.Sprintf(format, args...)}
}

// invalid records the error of an invalid value.
func (f *fields) invalid(field, value string) {
	if f.err == nil {
		f.err = f.errorf(field, "cannot be %q", value)
	}
}

// end records an error if values are left on the line.
func (f *fields) end() {
	if f.err == nil && f.more {
		f.err = f.errorf("line", "has too many values")
	}
}

// remainder returns the rest of the line, including tabs.
func (f *fields) remainder(field string) string {
	if f.err == nil && !f.more {
		f.err = f.errorf(field, "is missing")
	}
	f.more = false
	return f.rest
}

// text returns the next value, or "" if it is absent.
func (f *fields) text(field string) string {
	if f.err != nil {
		return ""
	}
	if !f.more {
		f.err = f.errorf(field, "is missing")
		return ""
	}
	var value string
	value, f.rest, f.more = strings.Cut(f.rest, "\t")
	if value == absent {
		return ""
	}
	return value
}

// number parses a number of at most maxNumber in magnitude; an absent value is 0.
func (f *fields) number(field string) float64 {
	value := f.text(field)
	if value == "" {
		return 0
	}
	x, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(x) || math.Abs(x) > maxNumber {
		f.invalid(field, value)
		return 0
	}
	return x
}

// duration parses a number of milliseconds.
func (f *fields) duration(field string) time.Duration { return milliseconds(f.number(field)) }

// milliseconds converts a number of at most maxNumber in magnitude. What the conversion of a larger one gives depends
// on the machine.
func milliseconds(ms float64) time.Duration {
	return time.Duration(math.Round(ms * float64(time.Millisecond)))
}

// wireMillis is a time in the settings, in milliseconds there, of at most maxNumber in magnitude.
type wireMillis time.Duration

// UnmarshalJSON implements json.Unmarshaler. Package json adds the name of the field to its error.
func (m *wireMillis) UnmarshalJSON(text []byte) error {
	var ms float64
	if err := json.Unmarshal(text, &ms); err != nil {
		return err
	}
	if math.Abs(ms) > maxNumber {
		return &json.UnmarshalTypeError{
			Value: fmt.Sprintf("number %s (the range is up to %g ms)", text, float64(maxNumber)),
			Type:  reflect.TypeFor[time.Duration](),
		}
	}
	*m = wireMillis(milliseconds(ms))
	return nil
}

// unsigned parses an unsigned integer that fits into bits; an absent value is 0.
func (f *fields) unsigned(field string, bits int) uint64 {
	value := f.text(field)
	if value == "" {
		return 0
	}
	x, err := strconv.ParseUint(value, 10, bits)
	if err != nil {
		f.invalid(field, value)
	}
	return x
}

func (f *fields) requestID() uint64 { return f.unsigned("Handle", requestIDBits) }

func (f *fields) index(field string) int { return int(f.unsigned(field, indexBits)) }

func (f *fields) flag(field string) bool { return f.unsigned(field, 1) == 1 }

// enum parses one of the known names and returns its index.
func (f *fields) enum(field string, known []string) int {
	value := f.text(field)
	i := slices.Index(known, value)
	if i < 0 {
		f.invalid(field, value)
		return 0
	}
	return i
}

func (f *fields) hexBytes(field string) []byte {
	value := f.text(field)
	data, err := hex.DecodeString(value)
	if err != nil {
		f.invalid(field, value)
	}
	return data
}
