package settings

import (
	"reflect"
	"slices"
	"strings"

	"github.com/go-faster/errors"

	"github.com/baobabshore/baobabshore/wire"
)

// Flatten returns all values of c, defaults included, sorted by key. It holds
// the defaults so that processes of different versions agree on the values.
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
			flatten(v.FieldByIndex(f.index), join(key, f.key), out)
		}
	case reflect.Map:
		for _, k := range v.MapKeys() {
			flatten(v.MapIndex(k), join(key, k.String()), out)
		}
	default:
		*out = append(*out, wire.Pair{Key: key, Value: formatScalar(v)})
	}
}

// FromPairs reads the flat form. Keys that are absent have their defaults. No
// pairs at all give Defaults, as before the first apply; anything else is
// checked whole, and an error is a Problems with all faults.
func FromPairs(pairs []wire.Pair) (Cluster, error) {
	r := &report{}
	c := readPairs(pairs, r)
	if len(pairs) > 0 {
		checkCluster(c, r)
	}
	return c, r.err()
}

// ReadPairs reads a part of a configuration that has been checked as a whole. An error
// is a Problems with the keys that can't be read.
func ReadPairs(pairs []wire.Pair) (Cluster, error) {
	r := &report{}
	c := readPairs(pairs, r)
	return c, r.err()
}

// IsQueueKey reports whether a key of the flat form belongs to a queue.
func IsQueueKey(key string) bool { return strings.HasPrefix(key, "queues.") }

func readPairs(pairs []wire.Pair, r *report) Cluster {
	c := Defaults()
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

// assign sets the value at path below v, and makes map elements on the way.
func assign(v reflect.Value, path []string, text string) error {
	switch v.Kind() {
	case reflect.Struct:
		if len(path) == 0 {
			return errors.New("the key names a group, not a value")
		}
		f, ok := fieldByKey(v.Type(), path[0])
		if !ok {
			return errors.New("unknown key")
		}
		return assign(v.FieldByIndex(f.index), path[1:], text)
	case reflect.Map:
		return assignElem(v, path, text)
	}
	if len(path) != 0 {
		return errors.New("unknown key")
	}
	return parseScalar(v, text)
}

func assignElem(v reflect.Value, path []string, text string) error {
	if len(path) < 2 {
		return errors.New("the key names a group, not a value")
	}
	key := reflect.ValueOf(path[0]).Convert(v.Type().Key())
	var elem reflect.Value
	if old := v.MapIndex(key); old.IsValid() {
		elem = reflect.New(old.Type()).Elem()
		elem.Set(old)
	} else {
		elem = newElem(v.Type().Elem())
	}
	if err := assign(elem, path[1:], text); err != nil {
		return err
	}
	v.SetMapIndex(key, elem)
	return nil
}

func join(prefix, key string) string {
	if prefix == "" {
		return key
	}
	return prefix + "." + key
}
