package settings

import (
	"math"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// field describes one setting. It is read from the tags of a struct field.
type field struct {
	index    []int
	key      string
	format   string
	unit     string
	required bool
	min      string // inclusive, empty for none
	max      string
}

// fieldCache holds the results of fieldsOf. A configuration is parsed value by
// value, and each value looks up the fields of its struct.
var fieldCache sync.Map // reflect.Type to []field

// fieldsOf returns the settings of a struct in declaration order. The settings of
// an inlined struct take its place. The caller must not modify the shared slice.
func fieldsOf(t reflect.Type) []field {
	if cached, ok := fieldCache.Load(t); ok {
		return cached.([]field)
	}
	out := parseFields(t)
	fieldCache.Store(t, out)
	return out
}

func parseFields(t reflect.Type) []field {
	var out []field
	for i := range t.NumField() {
		sf := t.Field(i)
		tag := sf.Tag.Get("yaml")
		if tag == ",inline" {
			for _, f := range fieldsOf(sf.Type) {
				f.index = slices.Insert(slices.Clone(f.index), 0, i)
				out = append(out, f)
			}
			continue
		}
		out = append(out, newField(sf, i, tag))
	}
	return out
}

func newField(sf reflect.StructField, i int, key string) field {
	f := field{index: []int{i}, key: key, format: sf.Tag.Get("form"), unit: sf.Tag.Get("unit")}
	f.required = sf.Tag.Get("need") == "true"
	f.min, f.max, _ = strings.Cut(sf.Tag.Get("range"), "..")
	return f
}

func fieldByKey(t reflect.Type, key string) (field, bool) {
	for _, f := range fieldsOf(t) {
		if f.key == key {
			return f, true
		}
	}
	return field{}, false
}

var durationType = reflect.TypeFor[Duration]()

// typeName describes the type of a setting in error messages.
func typeName(t reflect.Type) string {
	switch {
	case t == durationType:
		return `a duration such as "30s"`
	case t.Kind() == reflect.Int:
		return "an integer"
	case t.Kind() == reflect.Float64:
		return "a number"
	case t.Kind() == reflect.Bool:
		return "true or false"
	case t.Kind() == reflect.Slice:
		return "a list"
	case t.Kind() == reflect.Struct, t.Kind() == reflect.Map:
		return "a mapping"
	}
	return "a string"
}

// parseScalar parses text into v. It leaves v unchanged if text is malformed.
func parseScalar(v reflect.Value, text string) error {
	switch {
	case v.Type() == durationType:
		d, err := time.ParseDuration(text)
		if err != nil {
			return errors.New("not a duration")
		}
		v.SetInt(int64(d))
	case v.Kind() == reflect.Int:
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return errors.New("not an integer")
		}
		v.SetInt(n)
	case v.Kind() == reflect.Float64:
		x, err := strconv.ParseFloat(text, 64)
		if err != nil || math.IsNaN(x) || math.IsInf(x, 0) {
			return errors.New("not a number")
		}
		v.SetFloat(x + 0) // normalizes -0 to 0
	case v.Kind() == reflect.Bool:
		if text != "true" && text != "false" {
			return errors.New("neither true nor false")
		}
		v.SetBool(text == "true")
	default:
		v.SetString(text)
	}
	return nil
}

// formatScalar formats v so that parseScalar returns the same value.
func formatScalar(v reflect.Value) string {
	switch {
	case v.Type() == durationType:
		return shortDuration(time.Duration(v.Int()))
	case v.Kind() == reflect.Int:
		return strconv.FormatInt(v.Int(), 10)
	case v.Kind() == reflect.Float64:
		return strconv.FormatFloat(v.Float(), 'f', -1, 64)
	case v.Kind() == reflect.Bool:
		return strconv.FormatBool(v.Bool())
	}
	return v.String()
}

// shortDuration formats d without trailing zero units: 1h instead of 1h0m0s.
func shortDuration(d time.Duration) string {
	s := d.String()
	if strings.HasSuffix(s, "m0s") {
		s = strings.TrimSuffix(s, "0s")
	}
	if strings.HasSuffix(s, "h0m") {
		s = strings.TrimSuffix(s, "0m")
	}
	return s
}

// newDefaultElem returns an addressable map element of type t that holds the defaults.
func newDefaultElem(t reflect.Type) reflect.Value {
	v := reflect.New(t).Elem()
	switch t {
	case reflect.TypeFor[Service]():
		v.Set(reflect.ValueOf(DefaultService()))
	case reflect.TypeFor[Team]():
		v.Set(reflect.ValueOf(DefaultTeam()))
	case reflect.TypeFor[Queue]():
		v.Set(reflect.ValueOf(DefaultQueue()))
	}
	return v
}
