package checker

// The TOML library's strict mode reports all unknown keys, but stops at the first value of a wrong type. A Table reads
// the decoded file field by field instead: a key that was never requested is unknown, an invalid value adds a fault,
// and reading continues after either.
//
// Example: t, err := Parse(data); n := t.Table("node"); name := n.Name("name"); err = t.Finish()

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Table is one table of a file that is being read.
type Table struct {
	path      string
	values    map[string]any
	requested map[string]bool
	children  []*Table
	faults    *Faults
}

// Parse decodes a file; its error is a TOML syntax fault, with line and column.
func Parse(data []byte) (*Table, error) {
	values := map[string]any{}
	if err := toml.Unmarshal(data, &values); err != nil {
		return nil, syntaxFault(err)
	}
	return newTable("", values, &Faults{}), nil
}

func syntaxFault(err error) error {
	var d *toml.DecodeError
	if !errors.As(err, &d) {
		return Faults{{Field: "file", Problem: err.Error()}}
	}
	line, column := d.Position()
	return Faults{{
		Field:   fmt.Sprintf("line %d, column %d", line, column),
		Problem: strings.TrimPrefix(d.Error(), "toml: "),
	}}
}

func newTable(path string, values map[string]any, faults *Faults) *Table {
	return &Table{path: path, values: values, requested: map[string]bool{}, faults: faults}
}

// Finish adds the unknown keys and returns all faults of the file, or nil.
func (t *Table) Finish() error {
	t.addUnknown()
	return t.faults.Err()
}

func (t *Table) addUnknown() {
	for _, key := range slices.Sorted(maps.Keys(t.values)) {
		if !t.requested[key] {
			t.Fault(key, "unknown key")
		}
	}
	for _, i := range t.children {
		i.addUnknown()
	}
}

// Has reports whether the table contains the key.
func (t *Table) Has(key string) bool {
	_, ok := t.values[key]
	return ok
}

// Fault adds a fault for a field of this table.
func (t *Table) Fault(key, problem string) {
	*t.faults = append(*t.faults, Fault{
		Field:   t.field(key),
		Value:   literal(t.values[key]),
		Problem: problem,
	})
}

// Faultf adds a fault with a formatted message for a field of this table.
func (t *Table) Faultf(key, format string, args ...any) {
	t.Fault(key, fmt.Sprintf(format, args...))
}

// Table returns the table under the key; a missing table is returned empty, so that its required fields are reported.
func (t *Table) Table(key string) *Table {
	v, given := t.lookUp(key)
	values, ok := v.(map[string]any)
	if given && !ok {
		t.Fault(key, "want a table")
	}
	child := newTable(t.field(key), values, t.faults)
	t.children = append(t.children, child)
	return child
}

// Keys returns the sorted keys of this table; a key that the caller does not read counts as unknown.
func (t *Table) Keys() []string {
	return slices.Sorted(maps.Keys(t.values))
}

// Tables returns the tables of an array such as [[team]].
func (t *Table) Tables(key string) []*Table {
	v, given := t.lookUp(key)
	if !given {
		return nil
	}
	list, ok := v.([]any)
	if !ok {
		t.Faultf(key, "want tables, each headed [[%s]]", key)
		return nil
	}
	tables := make([]*Table, 0, len(list))
	for i, element := range list {
		values, ok := element.(map[string]any)
		if !ok {
			t.Faultf(key, "want tables, each headed [[%s]]", key)
			continue
		}
		child := newTable(fmt.Sprintf("%s[%d]", t.field(key), i+1), values, t.faults)
		tables = append(tables, child)
	}
	t.children = append(t.children, tables...)
	return tables
}

func (t *Table) lookUp(key string) (any, bool) {
	t.requested[key] = true
	v, ok := t.values[key]
	return v, ok
}

func (t *Table) field(key string) string {
	if t.path == "" {
		return key
	}
	return t.path + "." + key
}

// maxLiteralRunes keeps the message short when a long value was pasted into the wrong field.
const maxLiteralRunes = 60

func literal(v any) string {
	var text string
	switch v := v.(type) {
	case nil:
		return ""
	case string:
		text = strconv.Quote(v)
	case map[string]any:
		return "a table"
	case []any:
		text = list(v)
	default:
		text = fmt.Sprint(v)
	}
	if r := []rune(text); len(r) > maxLiteralRunes {
		return string(r[:maxLiteralRunes]) + "…"
	}
	return text
}

func list(elements []any) string {
	texts := make([]string, 0, len(elements))
	for _, e := range elements {
		texts = append(texts, literal(e))
	}
	return "[" + strings.Join(texts, ", ") + "]"
}
