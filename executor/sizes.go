package executor

import (
	"math"

	"github.com/baobabshore/baobabshore/wire"
)

const (
	// meanSizeWindow is the inverse weight of a task in the moving average of sizes.
	meanSizeWindow = 16
	// leastSizeWindow is the number of tasks after which a least size is forgotten, at the
	// latest after twice as many.
	leastSizeWindow = 64
)

// recentSizes holds the average and the least size of the tasks that a worker has accepted
// lately. Each of them fits the worker, so one task changes the average by no more than
// its window's share of the capacity.
type recentSizes struct {
	known            bool
	cpu, memory, gpu float64 // moving averages; whole numbers would stop short of the sizes
	least            wire.Resources
	nextLeast        wire.Resources // least of the current window
	inWindow         int            // tasks in the current window
}

// learn adds the size of a task.
func (s *recentSizes) learn(size wire.Resources) {
	if !s.known {
		*s = recentSizes{
			known: true, cpu: float64(size.CPU), memory: float64(size.Memory), gpu: float64(size.GPU),
			least: size, nextLeast: size, inWindow: 1,
		}
		return
	}
	s.cpu += (float64(size.CPU) - s.cpu) / meanSizeWindow
	s.memory += (float64(size.Memory) - s.memory) / meanSizeWindow
	s.gpu += (float64(size.GPU) - s.gpu) / meanSizeWindow
	s.least = s.least.AtMost(size)
	if s.inWindow == 0 {
		s.nextLeast = size
	}
	s.nextLeast = s.nextLeast.AtMost(size)
	if s.inWindow++; s.inWindow == leastSizeWindow {
		s.least, s.inWindow = s.nextLeast, 0
	}
}

// typical returns the average size, without the resources that some recent task didn't
// need: how much of them is left doesn't limit how many tasks can run.
func (s *recentSizes) typical() wire.Resources {
	var size wire.Resources
	if s.least.CPU > 0 {
		size.CPU = int(math.Round(s.cpu))
	}
	if s.least.Memory > 0 {
		size.Memory = int(math.Round(s.memory))
	}
	if s.least.GPU > 0 {
		size.GPU = int(math.Round(s.gpu))
	}
	return size
}
