package wire

import (
	"encoding/json"
	"reflect"
	"testing"
)

// fill sets every field of a message to a value other than zero.
func fill(t *testing.T, v reflect.Value) {
	t.Helper()
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				fill(t, v.Field(i))
			}
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(t, v.Index(0))
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(t, v.Elem())
	case reflect.String:
		v.SetString("x")
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int32, reflect.Int64:
		v.SetInt(7)
	case reflect.Uint8, reflect.Uint32, reflect.Uint64:
		v.SetUint(1)
	case reflect.Float64:
		v.SetFloat(0.5)
	default:
		t.Fatalf("%s is not handled", v.Type())
	}
}

// Guards against a field that is lost on its way, as when two fields share a name
// in the encoding.
func TestMessagesKeepTheirFields(t *testing.T) {
	for _, m := range []any{&Start{}, &Exchange{}, &Answer{}, &Report{}, &Registration{}} {
		fill(t, reflect.ValueOf(m).Elem())
		data, err := json.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		got := reflect.New(reflect.TypeOf(m).Elem()).Interface()
		if err := json.Unmarshal(data, got); err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(m, got) {
			t.Errorf("%T: sent %+v, received %+v", m, m, got)
		}
	}
}
