package settings

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml/ast"
)

// decoder fills settings from a YAML tree and reports all errors in the tree. It
// checks keys and types only; ranges and contradictions are checked afterwards.
type decoder struct {
	*report
}

func (d decoder) decode(n ast.Node, v reflect.Value, key string) {
	switch v.Kind() {
	case reflect.Struct, reflect.Map:
		d.decodeGroup(n, v, key)
	case reflect.Slice:
		d.decodeList(n, v, key)
	default:
		d.positions[key] = nodePosition(n)
		d.decodeScalar(n, v, key)
	}
}

func (d decoder) decodeGroup(n ast.Node, v reflect.Value, key string) {
	switch n := n.(type) {
	case *ast.NullNode: // a mapping whose keys are all commented out
	case *ast.MappingNode:
		d.decodePairs(n.Values, v, key)
	case *ast.MappingValueNode:
		d.decodePairs([]*ast.MappingValueNode{n}, v, key)
	default:
		d.addWrongType(n, v.Type(), key)
	}
}

func (d decoder) decodePairs(pairs []*ast.MappingValueNode, v reflect.Value, key string) {
	seen := map[string]position{}
	for _, pair := range pairs {
		pos := nodePosition(pair.Key)
		name, ok := keyName(pair.Key)
		if !ok {
			d.addAt(pos, key, "this kind of key is not supported", "write a plain key, and write merged values in full")
			continue
		}
		path := joinKey(key, name)
		if first, dup := seen[name]; dup {
			d.addAt(pos, path, fmt.Sprintf("the key is also on line %d", first.line), "keep one of the two")
			continue
		}
		seen[name] = pos
		d.positions[path] = pos
		if v.Kind() == reflect.Map {
			d.decodeElem(pair, v, name, path)
			continue
		}
		f, ok := fieldByKey(v.Type(), name)
		if !ok {
			d.addAt(pos, path, "unknown key", unknownKeyFix(v.Type(), name))
			continue
		}
		d.decode(pair.Value, v.FieldByIndex(f.index), path)
	}
}

func (d decoder) decodeElem(pair *ast.MappingValueNode, v reflect.Value, name, path string) {
	elem := newDefaultElem(v.Type().Elem())
	d.decode(pair.Value, elem, path)
	v.SetMapIndex(reflect.ValueOf(name).Convert(v.Type().Key()), elem)
}

func keyName(k ast.MapKeyNode) (string, bool) {
	switch k := k.(type) {
	case *ast.StringNode:
		return k.Value, true
	case *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode, *ast.NullNode:
		return k.GetToken().Value, true
	}
	return "", false
}

func (d decoder) decodeList(n ast.Node, v reflect.Value, key string) {
	seq, ok := n.(*ast.SequenceNode)
	if !ok {
		d.addWrongType(n, v.Type(), key)
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(seq.Values), len(seq.Values)))
	for i, item := range seq.Values {
		path := joinKey(key, strconv.Itoa(i))
		d.positions[path] = nodePosition(item)
		d.decode(item, v.Index(i), path)
	}
}

func (d decoder) decodeScalar(n ast.Node, v reflect.Value, key string) {
	text, ok := scalarText(n, v)
	if !ok {
		d.addWrongType(n, v.Type(), key)
		return
	}
	if err := parseScalar(v, text); err != nil {
		d.add(key, fmt.Sprintf("%q is %v", text, err), "write "+typeName(v.Type()))
		return
	}
	if v.Kind() == reflect.Int && formatScalar(v) != text {
		d.add(key, fmt.Sprintf("%q is ambiguous", text), "write "+formatScalar(v))
	}
}

// scalarText returns the text of n if its YAML type fits v.
func scalarText(n ast.Node, v reflect.Value) (string, bool) {
	switch n := n.(type) {
	case *ast.StringNode:
		return n.Value, v.Kind() == reflect.String || v.Type() == durationType
	case *ast.IntegerNode:
		return n.GetToken().Value, v.Type() != durationType && (v.Kind() == reflect.Int || v.Kind() == reflect.Float64)
	case *ast.FloatNode:
		return n.GetToken().Value, v.Kind() == reflect.Float64
	case *ast.BoolNode:
		return n.GetToken().Value, v.Kind() == reflect.Bool
	}
	return "", false
}

func (d decoder) addWrongType(n ast.Node, expected reflect.Type, key string) {
	fix := "write " + typeName(expected)
	if expected.Kind() == reflect.String {
		fix += " in quotes"
	}
	d.add(key, "wrong type ("+describeNode(n)+")", fix)
}

func describeNode(n ast.Node) string {
	switch n.(type) {
	case *ast.MappingNode, *ast.MappingValueNode:
		return "a mapping"
	case *ast.SequenceNode:
		return "a list"
	case *ast.NullNode:
		return "no value"
	case *ast.AliasNode, *ast.AnchorNode, *ast.TagNode:
		return "an alias, anchor or tag"
	case *ast.IntegerNode, *ast.FloatNode:
		return "the number " + n.GetToken().Value
	case *ast.InfinityNode, *ast.NanNode:
		return "infinity or NaN"
	case *ast.StringNode:
		return "the string " + strconv.Quote(n.GetToken().Value)
	case *ast.BoolNode:
		return "true or false"
	}
	return "a string"
}

func unknownKeyFix(t reflect.Type, name string) string {
	var keys []string
	for _, f := range fieldsOf(t) {
		if similar(f.key, name) {
			return "write " + f.key
		}
		keys = append(keys, f.key)
	}
	return "remove it; the known keys are " + strings.Join(keys, ", ")
}

// similar reports whether a and b differ by at most one insertion, deletion,
// substitution or transposition of adjacent bytes. It ignores the case of b and
// treats its dashes as underscores.
func similar(a, b string) bool {
	b = strings.ReplaceAll(strings.ToLower(b), "-", "_")
	for len(a) > 0 && len(b) > 0 && a[0] == b[0] {
		a, b = a[1:], b[1:]
	}
	for len(a) > 0 && len(b) > 0 && a[len(a)-1] == b[len(b)-1] {
		a, b = a[:len(a)-1], b[:len(b)-1]
	}
	transposed := len(a) == 2 && len(b) == 2 && a[0] == b[1] && a[1] == b[0]
	return len(a) <= 1 && len(b) <= 1 || transposed
}
