package settings

import (
	"reflect"
	"slices"
	"strings"

	"github.com/go-faster/errors"

	"github.com/baobabshore/baobabshore/wire"
)

// Flatten returns all values of c sorted by key. It includes the defaults, so that
// processes of different software versions agree on the values.
func Flatten(c Cluster) []wire.Pair {
	var out []wire.Pair
	flatten(reflect.ValueOf(c), "", &out)
	slices.SortFunc(out, func(a, b wire.Pair) int { return strings.Compare(a.Key, b.Key) })
	return out
}

func flatten(v reflect.Value, key string, out *[]wire.Pair) {
	switch v.Kind() {
	case reflect.Struct:
		for _, f := range fieldsOf(v.Type()) {
			flatten(v.FieldByIndex(f.index), joinKey(key, f.key), out)
		}
	case reflect.Map:
		for _, k := range v.MapKeys() {
			flatten(v.MapIndex(k), joinKey(key, k.String()), out)
		}
	default:
		*out = append(*out, wire.Pair{Key: key, Value: formatScalar(v)})
	}
}

// FromPairs parses and validates the flat form. Absent keys have their defaults. An
// empty list, the state before the first apply, returns DefaultCluster without validation.
// An error is a Problems with all errors.
func FromPairs(pairs []wire.Pair) (Cluster, error) {
	r := &report{}
	c := parsePairs(pairs, r)
	if len(pairs) > 0 {
		checkCluster(c, r)
	}
	return c, r.err()
}

// FromCheckedPairs parses a part of a configuration that has already been validated as a
// whole. An error is a Problems with the keys that can't be parsed.
func FromCheckedPairs(pairs []wire.Pair) (Cluster, error) {
	r := &report{}
	c := parsePairs(pairs, r)
	return c, r.err()
}

// IsQueueKey reports whether a key of the flat form is a setting of a queue.
func IsQueueKey(key string) bool { return strings.HasPrefix(key, "queues.") }

func parsePairs(pairs []wire.Pair, r *report) Cluster {
	c := DefaultCluster()
	seen := make(map[string]bool, len(pairs))
	for _, p := range pairs {
		if seen[p.Key] {
			r.add(p.Key, "the key appears twice", "keep one of them")
			continue
		}
		seen[p.Key] = true
		if err := assign(reflect.ValueOf(&c).Elem(), strings.Split(p.Key, "."), p.Value); err != nil {
			r.add(p.Key, err.Error(), "see baobabctl get --yaml for the keys and their values")
		}
	}
	return c
}

// assign sets the value that keys select below v, and adds missing map elements.
func assign(v reflect.Value, keys []string, text string) error {
	switch v.Kind() {
	case reflect.Struct:
		if len(keys) == 0 {
			return errors.New("the key names a mapping, not a value")
		}
		f, ok := fieldByKey(v.Type(), keys[0])
		if !ok {
			return errors.New("unknown key")
		}
		return assign(v.FieldByIndex(f.index), keys[1:], text)
	case reflect.Map:
		return assignElem(v, keys, text)
	}
	if len(keys) != 0 {
		return errors.New("unknown key")
	}
	return parseScalar(v, text)
}

func assignElem(v reflect.Value, keys []string, text string) error {
	if len(keys) < 2 {
		return errors.New("the key names a mapping, not a value")
	}
	key := reflect.ValueOf(keys[0]).Convert(v.Type().Key())
	var elem reflect.Value
	if existing := v.MapIndex(key); existing.IsValid() {
		elem = reflect.New(existing.Type()).Elem()
		elem.Set(existing)
	} else {
		elem = newDefaultElem(v.Type().Elem())
	}
	if err := assign(elem, keys[1:], text); err != nil {
		return err
	}
	v.SetMapIndex(key, elem)
	return nil
}

func joinKey(prefix, key string) string {
	if prefix == "" {
		return key
	}
	return prefix + "." + key
}
