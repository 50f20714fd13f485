package table

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"unicode/utf8"
	"unique"

	"github.com/tailscale/hujson"
)

// decoder turns a syntax tree into rows. It collects all problems instead of stopping at the first, so
// that an operator can fix a table in one pass.
type decoder struct {
	*source
	problems Problems
	// path leads from the root to the current value, for JSON pointers.
	path []pathElement
}

// pathElement is a field name, or an index if the name is empty.
type pathElement struct {
	name  string
	index int
}

// field is one field of a row of type T.
type field[T any] struct {
	name     string
	required bool
	// set decodes v into the row.
	set func(d *decoder, v *hujson.Value, row *T)
	// get returns the field's value, for Diff; nil if Diff compares the rows inside the field.
	get func(row *T) any
}

func (d *decoder) pointer() string {
	var b strings.Builder
	for _, s := range d.path {
		b.WriteByte('/')
		if s.name != "" {
			b.WriteString(s.name)
		} else {
			b.WriteString(strconv.Itoa(s.index))
		}
	}
	return b.String()
}

func (d *decoder) addProblem(offset int, format string, args ...any) {
	if len(d.problems) > maxProblems {
		return
	}
	d.problems = append(d.problems, d.problem(offset, d.pointer(), fmt.Sprintf(format, args...)))
}

func (d *decoder) push(s pathElement) { d.path = append(d.path, s) }
func (d *decoder) pop()               { d.path = d.path[:len(d.path)-1] }

// decodeObject decodes v into row. It reports unknown, repeated and missing fields.
func decodeObject[T any](d *decoder, v *hujson.Value, fields []field[T], row *T) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.addKindProblem(v, "an object")
		return
	}
	var seen uint64 // One bit per field; no row has more than 64 fields.
	for i := range object.Members {
		m := &object.Members[i]
		name := d.memberName(&m.Name)
		k := fieldIndex(fields, name)
		if k < 0 {
			d.addProblem(m.Name.StartOffset, "unknown field %q", name)
			continue
		}
		d.push(pathElement{name: name})
		if seen&(1<<k) != 0 {
			d.addProblem(m.Name.StartOffset, "field %q appears twice", name)
		} else {
			fields[k].set(d, &m.Value, row)
		}
		d.pop()
		seen |= 1 << k
	}
	for k, f := range fields {
		if f.required && seen&(1<<k) == 0 {
			d.addProblem(v.StartOffset, "field %q is missing", f.name)
		}
	}
}

func fieldIndex[T any](fields []field[T], name string) int {
	for k := range fields {
		if fields[k].name == name {
			return k
		}
	}
	return -1
}

// decodeRows decodes the array v with one call of decode per element.
func decodeRows[T any](d *decoder, v *hujson.Value, decode func(*decoder, *hujson.Value, *T)) []T {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		d.addKindProblem(v, "an array")
		return nil
	}
	rows := make([]T, len(array.Elements))
	for i := range array.Elements {
		d.push(pathElement{index: i})
		decode(d, &array.Elements[i], &rows[i])
		d.pop()
	}
	return rows
}

// decodeString decodes a string and copies it. Names become keys of long-lived maps, where a substring
// of the source's text would keep the raw values of an older pair in memory.
func decodeString[S ~string](d *decoder, v *hujson.Value, to *S) {
	*to = S(strings.Clone(d.stringValue(v)))
}

// decodeInterned decodes a string that many rows have in common. Equal strings share their memory.
func decodeInterned[S ~string](d *decoder, v *hujson.Value, to *S) {
	*to = S(unique.Make(d.stringValue(v)).Value())
}

// decodeSubstring decodes a string that is not used longer than its pair. It remains a substring of the
// text.
func decodeSubstring[S ~string](d *decoder, v *hujson.Value, to *S) {
	*to = S(d.stringValue(v))
}

// stringValue returns a string as a substring of the text if it has no escapes.
func (d *decoder) stringValue(v *hujson.Value) string {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		d.addKindProblem(v, "a string")
		return ""
	}
	return d.unquote(v, literal)
}

// memberName returns the name of an object's member. The parser guarantees that it is a string.
func (d *decoder) memberName(v *hujson.Value) string {
	return d.unquote(v, v.Value.(hujson.Literal))
}

func (d *decoder) unquote(v *hujson.Value, literal hujson.Literal) string {
	text := d.text[v.StartOffset+1 : v.EndOffset-1]
	if !strings.ContainsRune(text, '\\') && utf8.ValidString(text) {
		return text
	}
	return literal.String()
}

// decodeInt decodes an integer in decimal notation without fraction or exponent.
func decodeInt[I ~int | ~int64](d *decoder, v *hujson.Value, to *I) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != '0' {
		d.addKindProblem(v, "an integer")
		return
	}
	n, err := strconv.ParseInt(string(literal), 10, 64)
	if err != nil {
		d.addProblem(v.StartOffset, "%s is not an integer of 64 bits", literal)
		return
	}
	*to = I(n)
}

// decodeFloat decodes a finite number.
func decodeFloat(d *decoder, v *hujson.Value, to *float64) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != '0' {
		d.addKindProblem(v, "a number")
		return
	}
	n, err := strconv.ParseFloat(string(literal), 64)
	if err != nil || math.IsInf(n, 0) {
		d.addProblem(v.StartOffset, "%s is out of range", literal)
		return
	}
	*to = n
}

func decodeBool(d *decoder, v *hujson.Value, to *bool) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || (literal.Kind() != 't' && literal.Kind() != 'f') {
		d.addKindProblem(v, "true or false")
		return
	}
	*to = literal.Bool()
}

// kindNames are the names of the kinds of JSON values in problems.
var kindNames = map[hujson.Kind]string{
	'n': "null", 'f': "false", 't': "true", '"': "a string", '0': "a number", '{': "an object", '[': "an array",
}

func (d *decoder) addKindProblem(v *hujson.Value, expected string) {
	d.addProblem(v.StartOffset, "expected %s, found %s", expected, kindNames[v.Value.Kind()])
}
