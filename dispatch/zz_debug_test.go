package dispatch_test

import (
	"fmt"
	"github.com/baobabshore/baobabshore/wire"
	"testing"
	"time"
)

func TestZZ(t *testing.T) {
	for _, l := range []float64{0.66, 0.9, 1.0, 1.3} {
		tot := map[string]int{}
		for seed := range uint64(4) {
			b := newBatchWorld(seed+10, 7, 11)
			busy, n := 0.0, 0
			var sample func()
			sample = func() {
				for _, a := range b.agents {
					busy += float64(a.sized.used.CPU) / 16000
					n++
				}
				b.after(10*time.Millisecond, sample)
			}
			b.at(2*time.Second, sample)
			b.load(time.Second, 10*time.Second, l)
			b.run(10 * time.Second)
			_ = n
			_ = busy
			for k, v := range b.byClass {
				tot[k] += v
			}
			for k, v := range b.results {
				tot[k] += v
			}
			tot["sent"] += b.sent
		}
		w := 0.29*float64(tot["8 done"]) + 1.6*float64(tot["4 done"]) + 0.1*float64(tot["2 done"])
		o := 0.25*0.29 + 0.05*1.6 + 0.7*0.1
		fmt.Printf("%.2f worth %.3f done %.3f late %.3f failed %.3f refused %.3f | A %.2f C %.2f B %.2f\n", l, w/o/float64(tot["sent"]), float64(tot["done"])/float64(tot["sent"]), float64(tot["late"])/float64(tot["sent"]), float64(tot["may-have-run"])/float64(tot["sent"]), float64(tot["not-run"])/float64(tot["sent"]), float64(tot["8 done"])/float64(tot["sent"])/.25, float64(tot["4 done"])/float64(tot["sent"])/.05, float64(tot["2 done"])/float64(tot["sent"])/.7)
		_ = wire.Resources{}
	}
}
