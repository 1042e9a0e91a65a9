package config

import (
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"slices"
	"time"

	"github.com/BurntSushi/toml"
)

// maxFileBytes bounds a file: the daemon serves while it reads one, and an endless file must not take its memory.
const maxFileBytes = 4 << 20

// errorList collects the errors of a file.
type errorList struct {
	file   string
	errors []error
}

// add adds an error of a key.
func (l *errorList) add(key, format string, args ...any) {
	l.errors = append(l.errors, fmt.Errorf("%s: %s %s", l.file, key, fmt.Sprintf(format, args...)))
}

// addError adds an error that names its key itself.
func (l *errorList) addError(err error) {
	l.errors = append(l.errors, fmt.Errorf("%s: %w", l.file, err))
}

// addDuplicates adds an error for each name that is in a list of a key before.
func (l *errorList) addDuplicates(key string, names []string) {
	for i, name := range names {
		if name != "" && slices.Contains(names[:i], name) {
			l.add(key, "has %q twice: want each once", name)
		}
	}
}

func (l *errorList) count() int { return len(l.errors) }

// err returns all errors joined, nil for none.
func (l *errorList) err() error { return errors.Join(l.errors...) }

// table is a table of the file whose keys are read one by one. A key that is never read is unknown. An invalid
// value is an error, and the default is used in its place, so that reading goes on to the next.
type table struct {
	errors *errorList
	prefix string // of its keys, with a dot at the end, or ""
	value  map[string]any
	read   []string // keys
}

// readFile returns the text of a file.
func readFile(path string) (string, error) {
	f, err := os.Open(path)
	if err != nil {
		return "", err // it names the file
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, maxFileBytes+1))
	if err != nil {
		return "", err
	}
	if len(text) > maxFileBytes {
		return "", fmt.Errorf("%s: more than %d bytes", path, maxFileBytes)
	}
	if len(text) == 0 {
		return "", fmt.Errorf("%s: is empty", path) // it is being written
	}
	return string(text), nil
}

// parse parses a text. Its error is one that leaves nothing to read.
func parse(text string, list *errorList) (*table, error) {
	value := make(map[string]any)
	if _, err := toml.Decode(text, &value); err != nil {
		return nil, fmt.Errorf("%s: %w", list.file, err)
	}
	return &table{errors: list, value: value}, nil
}

// key returns the complete name of a key.
func (t *table) key(name string) string { return t.prefix + name }

func (t *table) has(name string) bool {
	_, ok := t.value[name]
	return ok
}

// add adds an error of a key.
func (t *table) add(name, format string, args ...any) { t.errors.add(t.key(name), format, args...) }

// get returns the value of a key, or false where the default is used.
func (t *table) get(name string) (any, bool) {
	t.read = append(t.read, name)
	v, ok := t.value[name]
	return v, ok
}

// reject adds an error of a value, with what is allowed instead.
func (t *table) reject(name string, value any, want string) {
	if text, ok := value.(string); ok {
		value = fmt.Sprintf("%q", text)
	}
	t.add(name, "cannot be %v: want %s", value, want)
}

// check returns what is allowed in place of a text, "" if the text is.
type check func(text string) (want string)

// text reads a text.
func (t *table) text(name, byDefault string, check check) string {
	v, ok := t.get(name)
	if !ok {
		return byDefault
	}
	text, ok := v.(string)
	if !ok {
		t.reject(name, v, "a text")
		return byDefault
	}
	if want := check(text); want != "" {
		t.reject(name, v, want)
		return byDefault
	}
	return text
}

// texts reads a list of texts.
func (t *table) texts(name string, byDefault []string, check check) []string {
	v, ok := t.get(name)
	if !ok {
		return byDefault
	}
	list, ok := v.([]any)
	if !ok {
		t.reject(name, v, "a list of texts")
		return byDefault
	}
	var texts []string
	for i, x := range list {
		text, ok := x.(string)
		want := check(text)
		if !ok {
			want = "a text"
		}
		if want != "" {
			t.reject(fmt.Sprintf("%s[%d]", name, i), x, want)
			continue
		}
		texts = append(texts, text)
	}
	return texts
}

// duration reads a duration from lower to upper, a text such as "200ms".
func (t *table) duration(name string, byDefault, lower, upper time.Duration) time.Duration {
	v, ok := t.get(name)
	if !ok {
		return byDefault
	}
	text, _ := v.(string)
	d, err := time.ParseDuration(text)
	if err != nil || d < lower || d > upper {
		t.reject(name, v, fmt.Sprintf("a duration from %v to %v, such as \"%v\"", lower, upper, byDefault))
		return byDefault
	}
	return d
}

// integer reads a whole number from lower to upper.
func (t *table) integer(name string, byDefault, lower, upper int) int {
	v, ok := t.get(name)
	if !ok {
		return byDefault
	}
	n, ok := v.(int64)
	if !ok || n < int64(lower) || n > int64(upper) {
		t.reject(name, v, fmt.Sprintf("a whole number from %d to %d", lower, upper))
		return byDefault
	}
	return int(n)
}

// number reads a number from lower to upper, with a fraction or without.
func (t *table) number(name string, byDefault, lower, upper float64) float64 {
	v, ok := t.get(name)
	if !ok {
		return byDefault
	}
	x, ok := v.(float64)
	if n, isInteger := v.(int64); isInteger {
		x, ok = float64(n), true
	}
	if !ok || math.IsNaN(x) || x < lower || x > upper {
		t.reject(name, v, fmt.Sprintf("a number from %v to %v", lower, upper))
		return byDefault
	}
	return x
}

// boolean reads true or false.
func (t *table) boolean(name string, byDefault bool) bool {
	v, ok := t.get(name)
	if !ok {
		return byDefault
	}
	b, ok := v.(bool)
	if !ok {
		t.reject(name, v, "true or false")
		return byDefault
	}
	return b
}

// table returns the inner table of a key, empty if there is none.
func (t *table) table(name string) *table {
	inner := &table{errors: t.errors, prefix: t.key(name) + "."}
	if v, ok := t.get(name); ok {
		if inner.value, ok = v.(map[string]any); !ok {
			t.reject(name, v, "a table")
		}
	}
	return inner
}

// tables returns the inner tables [[name]] of a key.
func (t *table) tables(name string) (list []*table) {
	v, ok := t.get(name)
	if !ok {
		return nil
	}
	values, ok := v.([]map[string]any)
	if !ok {
		t.reject(name, v, "tables [["+name+"]]")
	}
	for i, value := range values {
		list = append(list, &table{errors: t.errors, prefix: fmt.Sprintf("%s[%d].", t.key(name), i), value: value})
	}
	return list
}

// rejectUnknown adds an error for each key that was never read.
func (t *table) rejectUnknown() {
	var unknown []string
	for name := range t.value {
		if !slices.Contains(t.read, name) {
			unknown = append(unknown, name)
		}
	}
	slices.Sort(unknown)
	for _, name := range unknown {
		t.add(name, "is unknown: want one of %q", t.read)
	}
}
