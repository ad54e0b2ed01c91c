package wire

import (
	"encoding/json"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

// Guards against a list or text that changes in its compressed encoding.
func TestPackedValuesRoundTrip(t *testing.T) {
	type message struct {
		Pairs Pairs
		Keys  Keys
		Text  Text
	}
	rapid.Check(t, func(t *rapid.T) {
		var sent message
		for range rapid.SampledFrom([]int{0, 1, packFrom - 1, packFrom, 3 * packFrom}).Draw(t, "elements") {
			s := rapid.String()
			sent.Pairs = append(sent.Pairs, Pair{Key: s.Draw(t, "key"), Value: s.Draw(t, "value")})
			sent.Keys = append(sent.Keys, s.Draw(t, "name"))
			sent.Text = append(sent.Text, s.Draw(t, "text")...)
		}
		encoded, err := json.Marshal(sent)
		if err != nil {
			t.Fatal(err)
		}
		var received message
		if err := json.Unmarshal(encoded, &received); err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(sent, received) {
			t.Fatalf("sent %+v, received %+v", sent, received)
		}
	})
}

// Guards against changes that differ after packing.
func TestPackedChangesRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := rapid.String()
		sent := PatchChanges{Set: []Pair{}, Source: []byte(s.Draw(t, "text"))}
		for range rapid.IntRange(0, 3).Draw(t, "set") {
			sent.Set = append(sent.Set, Pair{Key: s.Draw(t, "key"), Value: s.Draw(t, "value")})
		}
		for range rapid.IntRange(0, 3).Draw(t, "removed") {
			sent.Removed = append(sent.Removed, s.Draw(t, "name"))
		}
		received, err := UnpackChanges(sent.Pack())
		if err != nil || !reflect.DeepEqual(sent, received) {
			t.Fatalf("sent %+v, received %+v, %v", sent, received, err)
		}
	})
}

// Guards against malformed changes that crash their reader or exhaust its memory.
func FuzzUnpackChanges(f *testing.F) {
	f.Add(PatchChanges{Set: []Pair{{Key: "k", Value: "v"}}, Removed: []string{"r"}, Source: []byte("s")}.Pack())
	f.Add(deflate([]byte{0xff, 0xff, 0xff, 0xff, 0x0f}))
	f.Fuzz(func(_ *testing.T, data []byte) { _, _ = UnpackChanges(data) })
}

// Guards against a malformed packed value that crashes its reader.
func FuzzPackedPairs(f *testing.F) {
	valid, err := json.Marshal(make(Pairs, packFrom))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid)
	f.Add([]byte(`"AAAA"`))
	f.Add([]byte(`"`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		var p Pairs
		_ = p.UnmarshalJSON(data)
		var k Keys
		_ = k.UnmarshalJSON(data)
		var t Text
		_ = t.UnmarshalJSON(data)
	})
}
