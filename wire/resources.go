package wire

// Resources is the capacity of a worker or the demand of a sized task. The zero value
// means that a task takes one slot of its upstream and no resources are counted.
type Resources struct {
	CPU    int `json:"c,omitempty"` // thousandths of a core
	Memory int `json:"m,omitempty"` // MB
	GPU    int `json:"g,omitempty"` // devices
}

// MaxAmount bounds each resource of a task and of a worker. It is above what any machine
// has, and sums over the tasks of all workers stay far below an overflow.
const MaxAmount = 1 << 40

// IsZero reports whether no resources are counted.
func (r Resources) IsZero() bool { return r == Resources{} }

// HasNegative reports whether an amount is below zero.
func (r Resources) HasNegative() bool { return min(r.CPU, r.Memory, r.GPU) < 0 }

// ExceedsMax reports whether an amount is above MaxAmount.
func (r Resources) ExceedsMax() bool { return max(r.CPU, r.Memory, r.GPU) > MaxAmount }

// Add returns the sum of two amounts.
func (r Resources) Add(o Resources) Resources {
	return Resources{CPU: r.CPU + o.CPU, Memory: r.Memory + o.Memory, GPU: r.GPU + o.GPU}
}

// Sub returns r minus o. The result may be negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{CPU: r.CPU - o.CPU, Memory: r.Memory - o.Memory, GPU: r.GPU - o.GPU}
}

// Contains reports whether o fits into r.
func (r Resources) Contains(o Resources) bool {
	return o.CPU <= r.CPU && o.Memory <= r.Memory && o.GPU <= r.GPU
}

// Times returns n times r.
func (r Resources) Times(n int) Resources {
	return Resources{CPU: r.CPU * n, Memory: r.Memory * n, GPU: r.GPU * n}
}

// Negated returns r with each amount negated.
func (r Resources) Negated() Resources { return Resources{}.Sub(r) }

// AtMost returns the lesser of each two amounts.
func (r Resources) AtMost(o Resources) Resources {
	return Resources{CPU: min(r.CPU, o.CPU), Memory: min(r.Memory, o.Memory), GPU: min(r.GPU, o.GPU)}
}

// AtLeast returns the greater of each two amounts.
func (r Resources) AtLeast(o Resources) Resources {
	return Resources{CPU: max(r.CPU, o.CPU), Memory: max(r.Memory, o.Memory), GPU: max(r.GPU, o.GPU)}
}

// AtLeastZero returns r with zero in place of negative amounts.
func (r Resources) AtLeastZero() Resources {
	return r.AtLeast(Resources{})
}

// CountCovering returns how many times o is needed to cover the positive amounts of r, at
// least 1 if there is one.
func (r Resources) CountCovering(o Resources) int {
	n := 0
	for _, amounts := range [...][2]int{{r.CPU, o.CPU}, {r.Memory, o.Memory}, {r.GPU, o.GPU}} {
		if amounts[0] > 0 {
			size := max(amounts[1], 1)
			n = max(n, (amounts[0]+size-1)/size)
		}
	}
	return n
}

// CountFitting returns how many times o fits into r, at most limit.
func (r Resources) CountFitting(o Resources, limit int) int {
	n := limit
	for _, amounts := range [...][2]int{{r.CPU, o.CPU}, {r.Memory, o.Memory}, {r.GPU, o.GPU}} {
		if amounts[1] > 0 {
			n = min(n, max(amounts[0], 0)/amounts[1])
		}
	}
	return n
}
