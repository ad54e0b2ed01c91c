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

// field describes one setting, from the tags of its struct field.
type field struct {
	index []int
	key   string
	form  string
	unit  string
	need  bool
	min   string // inclusive, empty for none
	max   string
}

// knownFields keeps what fieldsOf has found: a configuration is read value by value,
// and each value needs the fields of its struct.
var knownFields sync.Map // reflect.Type to []field

// fieldsOf lists the settings of a struct in order, inlined ones in place. The caller
// must not change the list.
func fieldsOf(t reflect.Type) []field {
	if known, ok := knownFields.Load(t); ok {
		return known.([]field)
	}
	out := readFields(t)
	knownFields.Store(t, out)
	return out
}

func readFields(t reflect.Type) []field {
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
		out = append(out, fieldOf(sf, i, tag))
	}
	return out
}

func fieldOf(sf reflect.StructField, i int, key string) field {
	f := field{index: []int{i}, key: key, form: sf.Tag.Get("form"), unit: sf.Tag.Get("unit")}
	f.need = sf.Tag.Get("need") == "true"
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

// typeName is what a person calls the type of a setting.
func typeName(t reflect.Type) string {
	switch {
	case t == durationType:
		return `a time span such as "30s"`
	case t.Kind() == reflect.Int:
		return "a whole number"
	case t.Kind() == reflect.Float64:
		return "a number"
	case t.Kind() == reflect.Bool:
		return "true or false"
	case t.Kind() == reflect.Slice:
		return "a list"
	case t.Kind() == reflect.Struct, t.Kind() == reflect.Map:
		return "a group of keys"
	}
	return "a text"
}

// parseScalar reads text into v. v keeps its value when the text is malformed.
func parseScalar(v reflect.Value, text string) error {
	switch {
	case v.Type() == durationType:
		d, err := time.ParseDuration(text)
		if err != nil {
			return errors.New("not a time span")
		}
		v.SetInt(int64(d))
	case v.Kind() == reflect.Int:
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return errors.New("not a whole number")
		}
		v.SetInt(n)
	case v.Kind() == reflect.Float64:
		x, err := strconv.ParseFloat(text, 64)
		if err != nil || math.IsNaN(x) || math.IsInf(x, 0) {
			return errors.New("not a number")
		}
		v.SetFloat(x + 0) // -0 becomes 0
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

// formatScalar writes v so that parseScalar reads the same value.
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

// shortDuration writes 1h0m0s as 1h.
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

// newElem returns an addressable element of a map of settings with its defaults.
func newElem(t reflect.Type) reflect.Value {
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
