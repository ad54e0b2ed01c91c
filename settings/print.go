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

// plainText matches texts that YAML reads as the same text without quotes.
var plainText = regexp.MustCompile(`^[A-Za-z./_][A-Za-z0-9./_-]*$`)

// reservedWords are plain texts that YAML versions read as other types.
var reservedWords = []string{"true", "false", "yes", "no", "on", "off", "y", "n", "null", ".inf", ".nan"}

// Print writes v as YAML. A value equal to its default is a comment. The Load
// function of the type accepts the text of a valid v and returns v, and the
// same v always gives the same bytes.
func Print[T Checked](v T) []byte {
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
	return reflect.ValueOf(Defaults())
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
		p.elems(f, v, indent)
	case reflect.Slice:
		p.list(f, v, indent)
	default:
		p.scalar(f, v, def, indent)
	}
}

func (p printer) elems(f field, v reflect.Value, indent int) {
	if v.Len() == 0 {
		p.line(indent, "%s: {}", f.key)
		return
	}
	p.line(indent, "%s:", f.key)
	keys := v.MapKeys()
	slices.SortFunc(keys, func(a, b reflect.Value) int { return strings.Compare(a.String(), b.String()) })
	for _, k := range keys {
		p.line(indent+1, "%s:", quote(k.String()))
		p.group(v.MapIndex(k), newElem(v.Type().Elem()), indent+2)
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
		p.line(indent, "- %s", scalarYAML(v))
		return
	}
	mark := "- "
	for _, f := range fieldsOf(v.Type()) {
		p.line(indent, "%s%s: %s", mark, f.key, scalarYAML(v.FieldByIndex(f.index)))
		mark = "  "
	}
}

func (p printer) scalar(f field, v, def reflect.Value, indent int) {
	text := scalarYAML(v)
	if v.Equal(def) && !f.need {
		p.line(indent, "# %s: %s  # default; %s", f.key, text, f.unit)
		return
	}
	p.line(indent, "%s: %s  # %s", f.key, text, f.unit)
}

func scalarYAML(v reflect.Value) string {
	text := formatScalar(v)
	if v.Kind() == reflect.String {
		return quote(text)
	}
	return text
}

func quote(s string) string {
	if plainText.MatchString(s) && !slices.Contains(reservedWords, strings.ToLower(s)) {
		return s
	}
	return strconv.Quote(s)
}
