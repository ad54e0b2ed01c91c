package wire

import (
	"encoding/json"
	"math/rand/v2"
	"reflect"
	"testing"

	"github.com/baobabshore/baobabshore/ids"
)

// Guards against an encoding that loses renewals or assigns them to another member,
// version or age, which would end leases that were renewed.
func TestRenewalsRoundTrip(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for n := range 50 {
		want := make([]Renewal, n)
		inc := ids.Incarnation(1_000_000)
		for i := range want {
			inc += ids.Incarnation(1 + rng.IntN(50))
			want[i] = Renewal{inc, ids.Version(2_000_000 + rng.IntN(100)), int64(rng.IntN(1000)), rng.IntN(4) == 0}
		}
		shuffled := append([]Renewal(nil), want...)
		rng.Shuffle(n, func(i, k int) { shuffled[i], shuffled[k] = shuffled[k], shuffled[i] })
		encoded, err := json.Marshal(PackRenewals(shuffled))
		if err != nil {
			t.Fatal(err)
		}
		var r Renewals
		if err := json.Unmarshal(encoded, &r); err != nil {
			t.Fatal(err)
		}
		got, err := r.Unpack()
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Fatalf("%d renewals: %v\n%+v\n%+v", n, err, got, want)
		}
	}
	for _, bad := range []Renewals{{IncarnationDeltas: []ids.Incarnation{1}}, {Draining: []int{0}}} {
		if _, err := bad.Unpack(); err == nil {
			t.Fatalf("%+v was accepted", bad)
		}
	}
}
