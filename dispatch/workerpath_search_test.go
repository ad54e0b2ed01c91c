package dispatch_test

import (
	"flag"
	"strings"
	"sync"
	"testing"
)

// A search is started by hand, for example with
//
//	go test ./dispatch -run TestWorkerPathSearch -path-search slowProcesses+lostAnswers -path-first-seed 50000 -path-seeds 1000 -cpu 2 -v
var pathSearch = flag.String("path-search", "", "disruptions, joined by '+', whose `set` TestWorkerPathSearch plays")

var pathLarge = flag.Bool("path-large", false, "play TestWorkerPathSearch at the size of largeFigures")

// namedDisruptions are the disruptions that a search can name.
var namedDisruptions = map[string]disruptionSet{
	"all": allDisruptions, "mixOfAll": mixOfAll, "stress": stressDisruptions, "members": memberDisruptions,
	"killedEntries": killedEntries, "frozenEntries": frozenEntries, "cutEntries": cutEntries,
	"frozenAgents": frozenAgents, "killedAgents": killedAgents, "cutAgents": cutAgents,
	"crashedWorkers": crashedWorkers, "rebornWorkers": rebornWorkers, "lateCalls": lateCalls, "lateGrants": lateGrants,
	"lostCalls": lostCalls, "failingStops": failingStops, "slowWorkers": slowWorkers, "resetCallers": resetCallers,
	"callsOfFrozenEntries": callsOfFrozenEntries, "lostAnswers": lostAnswers,
	"agentsFrozenAtStarts": agentsFrozenAtStarts, "agentsFrozenAfterCuts": agentsFrozenAfterCuts,
	"agentsFrozenAtRequests": agentsFrozenAtRequests, "agentsFrozenAfterStarts": agentsFrozenAfterStarts,
	"slowProcesses": slowProcesses, "slowLinks": slowLinks, "resetLinks": resetLinks,
	"differingClocks": differingClocks, "plannedStops": plannedStops,
	"restartsUnnoticed": restartsUnnoticed, "lapsedRegistrations": lapsedRegistrations, "configChanges": configChanges, "repeatedRefusals": repeatedRefusals,
}

// TestWorkerPathSearch plays many seeds of a set of disruptions and reports each overlap.
// It guards nothing in CI, where no set is named.
func TestWorkerPathSearch(t *testing.T) {
	if *pathSearch == "" {
		t.Skip("a search by hand, see -path-search")
	}
	var set disruptionSet
	for name := range strings.SplitSeq(*pathSearch, "+") {
		if namedDisruptions[name] == 0 {
			t.Fatalf("unknown disruption %q", name)
		}
		set |= namedDisruptions[name]
	}
	runs, done, found := searchPath(t, set, *pathFirstSeed, *pathSeeds)
	t.Logf("%s: %d overlaps in seeds %d to %d, %d runs, %d batches done",
		*pathSearch, found, *pathFirstSeed, *pathFirstSeed+*pathSeeds-1, runs, done)
}

// searchPath plays seeds on two goroutines. As in checkPath, every other seed has tasks
// that hang.
func searchPath(t *testing.T, set disruptionSet, first, count uint64) (runs, done, found int) {
	figures := defaultFigures()
	if *pathLarge {
		figures = largeFigures()
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for part := range uint64(2) {
		wg.Go(func() {
			for seed := first + part; seed < first+count; seed += 2 {
				d := set
				if seed%2 == 1 {
					d |= hangingTasks
				}
				p := playPath(seed, figures, d)
				mu.Lock()
				runs += p.runCount
				done += p.resultCounts["done"] + p.resultCounts["late"]
				if len(p.overlaps) > 0 {
					found++
					t.Errorf("seed %d: %s", seed, p.report(p.overlaps[0]))
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return runs, done, found
}
