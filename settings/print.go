package settings

import (
	"bytes"
	"fmt"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// plainScalar matches strings that YAML reads back unchanged without quotes.
var plainScalar = regexp.MustCompile(`^[A-Za-z./_][A-Za-z0-9./_-]*$`)

// reservedWords are plain scalars that some YAML version reads as a boolean, null or a float.
var reservedWords = []string{"true", "false", "yes", "no", "on", "off", "y", "n", "null", ".inf", ".nan"}

// Print returns v as YAML. A value equal to its default is written as a comment.
// The Load function of the type returns v again from the output for a valid v.
// Equal values of v give the same bytes.
func Print[T Checkable](v T) []byte {
	var b bytes.Buffer
	p := printer{out: &b}
	p.group(reflect.ValueOf(v), defaultsOf(v), 0)
	return b.Bytes()
}

func defaultsOf(v any) reflect.Value {
	switch v.(type) {
	case Control:
		return reflect.ValueOf(DefaultControl())
	case Entry:
		return reflect.ValueOf(DefaultEntry())
	case Agent:
		return reflect.ValueOf(DefaultAgent())
	}
	return reflect.ValueOf(DefaultCluster())
}

type printer struct {
	out *bytes.Buffer
}

func (p printer) line(indent int, format string, args ...any) {
	p.out.WriteString(strings.Repeat("  ", indent))
	fmt.Fprintf(p.out, format, args...)
	p.out.WriteByte('\n')
}

func (p printer) group(v, def reflect.Value, indent int) {
	for _, f := range fieldsOf(v.Type()) {
		p.field(f, v.FieldByIndex(f.index), def.FieldByIndex(f.index), indent)
	}
}

func (p printer) field(f field, v, def reflect.Value, indent int) {
	switch v.Kind() {
	case reflect.Struct:
		p.line(indent, "%s:", f.key)
		p.group(v, def, indent+1)
	case reflect.Map:
		p.mapping(f, v, indent)
	case reflect.Slice:
		p.list(f, v, indent)
	default:
		p.scalar(f, v, def, indent)
	}
}

func (p printer) mapping(f field, v reflect.Value, indent int) {
	if v.Len() == 0 {
		p.line(indent, "%s: {}", f.key)
		return
	}
	p.line(indent, "%s:", f.key)
	keys := v.MapKeys()
	slices.SortFunc(keys, func(a, b reflect.Value) int { return strings.Compare(a.String(), b.String()) })
	for _, k := range keys {
		p.line(indent+1, "%s:", quoteIfNeeded(k.String()))
		p.group(v.MapIndex(k), newDefaultElem(v.Type().Elem()), indent+2)
	}
}

func (p printer) list(f field, v reflect.Value, indent int) {
	if v.Len() == 0 {
		p.line(indent, "%s: []  # %s", f.key, f.unit)
		return
	}
	p.line(indent, "%s:  # %s", f.key, f.unit)
	for i := range v.Len() {
		p.item(v.Index(i), indent+1)
	}
}

func (p printer) item(v reflect.Value, indent int) {
	if v.Kind() != reflect.Struct {
		p.line(indent, "- %s", formatYAMLScalar(v))
		return
	}
	prefix := "- "
	for _, f := range fieldsOf(v.Type()) {
		p.line(indent, "%s%s: %s", prefix, f.key, formatYAMLScalar(v.FieldByIndex(f.index)))
		prefix = "  "
	}
}

func (p printer) scalar(f field, v, def reflect.Value, indent int) {
	text := formatYAMLScalar(v)
	if v.Equal(def) && !f.required {
		p.line(indent, "# %s: %s  # default; %s", f.key, text, f.unit)
		return
	}
	p.line(indent, "%s: %s  # %s", f.key, text, f.unit)
}

func formatYAMLScalar(v reflect.Value) string {
	text := formatScalar(v)
	if v.Kind() == reflect.String {
		return quoteIfNeeded(text)
	}
	return text
}

func quoteIfNeeded(s string) string {
	if plainScalar.MatchString(s) && !slices.Contains(reservedWords, strings.ToLower(s)) {
		return s
	}
	return strconv.Quote(s)
}
