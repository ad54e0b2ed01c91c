// Command report measures the decision packages in virtual time and writes
// docs/measurements-dispatch.md and the plots under docs/plots.
package main

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"path/filepath"

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
	if err := run(*docs); err != nil {
		fmt.Fprintln(os.Stderr, "report:", err)
		os.Exit(1)
	}
}

// run writes the report.
func run(docs string) error {
	plots := filepath.Join(docs, "plots")
	if err := os.MkdirAll(plots, 0o755); err != nil {
		return err
	}
	var page bytes.Buffer
	if err := bench.WriteReport(&page, plots); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(docs, "measurements-dispatch.md"), page.Bytes(), 0o644)
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
