package dispatch_test

import "time"

// scheduleDisruptions draws times for the disruptions that are switched on. Half of them
// come in groups, a few hundred milliseconds apart.
func (p *pathSimulation) scheduleDisruptions(from, until time.Duration, count int) {
	if p.disruptions.has(hangingTasks) {
		p.hangShare = 0.2
	}
	kinds := p.disruptions.events()
	if len(kinds) == 0 {
		return
	}
	at := from
	for range count {
		if p.rng.IntN(2) == 0 {
			at = p.drawBetween(from, until)
		} else {
			at += p.drawUpTo(700 * millis)
		}
		kind := kinds[p.rng.IntN(len(kinds))]
		p.at(at, func() { p.disrupt(kind) })
	}
}

// events returns the disruptions that happen at a moment, one for each kind.
func (d disruptionSet) events() []disruptionSet {
	var kinds []disruptionSet
	for kind := killedEntries; kind < callsOfFrozenEntries; kind <<= 1 {
		if d.has(kind) && kind != hangingTasks {
			kinds = append(kinds, kind)
		}
	}
	for kind := lostAnswers; kind < endOfDisruptions; kind <<= 1 {
		if d.has(kind) && kind != differingClocks && kind != repeatedRefusals {
			kinds = append(kinds, kind)
		}
	}
	return kinds
}
