package wire

import (
	"encoding/json"
	"reflect"
	"testing"
)

// setNonZero sets every exported field of a message to a value other than zero.
func setNonZero(t *testing.T, v reflect.Value) {
	t.Helper()
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				setNonZero(t, v.Field(i))
			}
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		setNonZero(t, v.Index(0))
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		setNonZero(t, v.Elem())
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
		t.Fatalf("setNonZero does not support %s", v.Type())
	}
}

// Guards against a field that is lost in the encoding, for example because two fields
// have the same JSON name.
func TestMessagesRoundTrip(t *testing.T) {
	for _, m := range []any{&Start{}, &Exchange{}, &Answer{}, &Report{}, &Registration{}, &DeleteBatches{}, &BatchesDeleted{}} {
		setNonZero(t, reflect.ValueOf(m).Elem())
		encoded, err := json.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		decoded := reflect.New(reflect.TypeOf(m).Elem()).Interface()
		if err := json.Unmarshal(encoded, decoded); err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(m, decoded) {
			t.Errorf("%T: sent %+v, received %+v", m, m, decoded)
		}
	}
}
