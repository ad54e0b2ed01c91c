package intake

import "bytes"

// elementBytes is the memory of an element of a decoded list or of a field, with what a
// growing slice leaves behind for the garbage collector.
const elementBytes = 64

// DecodedBytes returns an upper estimate of the memory that a JSON text takes once it is
// decoded, without the text itself. objectBytes is the memory of one decoded object. A text
// of a few bytes for each object or element takes many times its length.
func DecodedBytes(text []byte, objectBytes int64) int64 {
	objects := int64(bytes.Count(text, []byte("{")))
	elements := int64(bytes.Count(text, []byte(",")))
	return objects*objectBytes + elements*elementBytes + int64(len(text))
}
