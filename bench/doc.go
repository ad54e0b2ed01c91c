// Package bench measures the decision packages dispatch and executor in
// virtual time. It connects the real cores through small fakes of links,
// upstreams, callers and the control group, checks every promise of the design
// while they run, and compares them with other ways to place tasks.
//
// A run begins in cluster.go. Its processes (process.go) drive the cores, callers
// (caller.go) send the drawn submissions (workload.go), and the fake control group
// (control.go) keeps registry, leases and job records. Faults (faults.go) change
// the state of these fakes. The checker (check.go) collects broken promises and
// the accounts (accounts.go) tell useful from wasted messages. Baselines
// (baseline.go) place the same submissions without the cores. measure.go pools
// runs over seeds, targets.go holds the bounds, report.go prints the page.
package bench
