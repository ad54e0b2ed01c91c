// Command report measures the decision packages in virtual time and writes
// docs/measurements-dispatch.md and the plots under docs/plots.
package main

import (
	"flag"
	"fmt"
	"os"

	"github.com/baobabshore/baobabshore/bench"
)

func main() {
	docs := flag.String("docs", "docs", "directory of the report")
	seed := flag.Int64("trace", -1, "print the steps of the fault run with this seed and stop")
	flag.Parse()
	if *seed >= 0 {
		trace(uint64(*seed))
		return
	}
	if err := bench.WriteReport(*docs); err != nil {
		fmt.Fprintln(os.Stderr, "report:", err)
		os.Exit(1)
	}
}

// trace prints one fault run.
func trace(seed uint64) {
	o := bench.FaultOptions(seed)
	o.Trace = os.Stdout
	fmt.Println(o.Faults)
	for _, v := range bench.Run(o).Violations {
		fmt.Println("violation:", v)
	}
}
