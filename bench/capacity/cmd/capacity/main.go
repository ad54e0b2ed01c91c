// Command capacity measures what each role costs and prints Markdown tables.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/baobabshore/baobabshore/bench/capacity"
)

func main() {
	role := flag.String("role", "", "used by the command for the processes that it starts")
	only := flag.String("only", "", "print this part only")
	flag.Parse()
	if *role != "" {
		if err := capacity.RunRole(*role); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	start := time.Now()
	if err := capacity.Run(os.Stdout, *only); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	fmt.Printf("\nMeasured in %v.\n", time.Since(start).Round(time.Second))
}
