package config

import (
	"errors"
	"fmt"
	"math"
	"os"
	"slices"
	"time"

	"github.com/BurntSushi/toml"

	"mulleinpier/internal/readlimit"
)

// maxFileBytes is the maximum size of a file. The daemon keeps serving while it reads a file, and an endless file must
// not exhaust its memory.
const maxFileBytes = 4 << 20

// errorList collects the errors of a file.
type errorList struct {
	file   string
	errors []error
}

// add adds an error that begins with the file and the key.
func (l *errorList) add(key, format string, args ...any) {
	l.errors = append(l.errors, fmt.Errorf("%s: %s %s", l.file, key, fmt.Sprintf(format, args...)))
}

// addError adds an error whose text already names the key.
func (l *errorList) addError(err error) {
	l.errors = append(l.errors, fmt.Errorf("%s: %w", l.file, err))
}

// addDuplicates adds an error for each name that occurs earlier in names, the list at key. Empty names are ignored.
func (l *errorList) addDuplicates(key string, names []string) {
	for i, name := range names {
		if name != "" && slices.Contains(names[:i], name) {
			l.add(key, "has %q twice: want each once", name)
		}
	}
}

func (l *errorList) count() int { return len(l.errors) }

// err joins all errors. It returns nil if there are none.
func (l *errorList) err() error { return errors.Join(l.errors...) }

// table is a table of the file whose keys are read one by one. A key that is never read is unknown. An invalid value is
// recorded as an error and replaced by the default, so that the remaining keys are still read.
type table struct {
	errors *errorList
	prefix string // prefix of the keys' complete names, with a dot at the end; "" for the top-level table
	value  map[string]any
	read   []string // names of the keys that have been read
}

// readFile returns the text of a file. An empty file is an error.
func readFile(path string) (string, error) {
	f, err := os.Open(path)
	if err != nil {
		return "", err // err already names the file
	}
	defer f.Close()
	text, err := readlimit.All(f, maxFileBytes)
	if err != nil {
		return "", fmt.Errorf("%s: %w", path, err)
	}
	if len(text) == 0 {
		return "", fmt.Errorf("%s: is empty", path) // a file can be empty while it is being written
	}
	return string(text), nil
}

// parse parses the text of a file into its top-level table. It returns an error only if the text is not valid TOML; all
// other errors are added to list as the keys are read.
func parse(text string, list *errorList) (*table, error) {
	value := make(map[string]any)
	if _, err := toml.Decode(text, &value); err != nil {
		return nil, fmt.Errorf("%s: %w", list.file, err)
	}
	return &table{errors: list, value: value}, nil
}

// key returns the complete name of a key, with the names of the enclosing tables.
func (t *table) key(name string) string { return t.prefix + name }

func (t *table) has(name string) bool {
	_, ok := t.value[name]
	return ok
}

func (t *table) add(name, format string, args ...any) { t.errors.add(t.key(name), format, args...) }

// get returns the value of a key, or false if the file does not have the key. In both cases the key counts as read.
func (t *table) get(name string) (any, bool) {
	t.read = append(t.read, name)
	v, ok := t.value[name]
	return v, ok
}

// reject adds an error for a value. want describes the values that are allowed.
func (t *table) reject(name string, value any, want string) {
	if text, ok := value.(string); ok {
		value = fmt.Sprintf("%q", text)
	}
	t.add(name, "cannot be %v: want %s", value, want)
}

// check validates a string. It returns "" if the string is valid, or else a description of the valid strings.
type check func(text string) (want string)

// text reads a string that passes check.
func (t *table) text(name, defaultValue string, check check) string {
	v, ok := t.get(name)
	if !ok {
		return defaultValue
	}
	text, ok := v.(string)
	if !ok {
		t.reject(name, v, "a string")
		return defaultValue
	}
	if want := check(text); want != "" {
		t.reject(name, v, want)
		return defaultValue
	}
	return text
}

// texts reads a list of strings that pass check. Invalid elements are left out.
func (t *table) texts(name string, defaultValue []string, check check) []string {
	v, ok := t.get(name)
	if !ok {
		return defaultValue
	}
	list, ok := v.([]any)
	if !ok {
		t.reject(name, v, "a list of strings")
		return defaultValue
	}
	var texts []string
	for i, x := range list {
		text, ok := x.(string)
		want := check(text)
		if !ok {
			want = "a string"
		}
		if want != "" {
			t.reject(fmt.Sprintf("%s[%d]", name, i), x, want)
			continue
		}
		texts = append(texts, text)
	}
	return texts
}

// duration reads a duration from lower to upper, written as a string such as "200ms".
func (t *table) duration(name string, defaultValue, lower, upper time.Duration) time.Duration {
	v, ok := t.get(name)
	if !ok {
		return defaultValue
	}
	text, _ := v.(string)
	d, err := time.ParseDuration(text)
	if err != nil || d < lower || d > upper {
		t.reject(name, v, fmt.Sprintf("a duration from %v to %v, such as \"%v\"", lower, upper, defaultValue))
		return defaultValue
	}
	return d
}

// integer reads an integer from lower to upper.
func (t *table) integer(name string, defaultValue, lower, upper int) int {
	v, ok := t.get(name)
	if !ok {
		return defaultValue
	}
	n, ok := v.(int64)
	if !ok || n < int64(lower) || n > int64(upper) {
		t.reject(name, v, fmt.Sprintf("a whole number from %d to %d", lower, upper))
		return defaultValue
	}
	return int(n)
}

// number reads an integer or a floating-point number from lower to upper.
func (t *table) number(name string, defaultValue, lower, upper float64) float64 {
	v, ok := t.get(name)
	if !ok {
		return defaultValue
	}
	x, ok := v.(float64)
	if n, isInteger := v.(int64); isInteger {
		x, ok = float64(n), true
	}
	if !ok || math.IsNaN(x) || x < lower || x > upper {
		t.reject(name, v, fmt.Sprintf("a number from %v to %v", lower, upper))
		return defaultValue
	}
	return x
}

func (t *table) boolean(name string, defaultValue bool) bool {
	v, ok := t.get(name)
	if !ok {
		return defaultValue
	}
	b, ok := v.(bool)
	if !ok {
		t.reject(name, v, "true or false")
		return defaultValue
	}
	return b
}

// table returns the table at a key. It is empty if the key is missing or, after an error, not a table.
func (t *table) table(name string) *table {
	inner := &table{errors: t.errors, prefix: t.key(name) + "."}
	if v, ok := t.get(name); ok {
		if inner.value, ok = v.(map[string]any); !ok {
			t.reject(name, v, "a table")
		}
	}
	return inner
}

// tables returns the array of tables [[name]] at a key.
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
