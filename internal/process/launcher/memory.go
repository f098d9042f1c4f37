package launcher

import "math"

// softLimitPercent is the part of the memory of a process from which on its heap is collected as
// often as necessary to stay below, in percent. The rest is for what the heap does not hold.
const softLimitPercent = 75

const (
	// scarceMemoryMB is the memory in MB below which a node takes as little of it as it can:
	// the upstream beside it needs the rest.
	scarceMemoryMB = 256
	// usualCollectorPercent and scarceCollectorPercent are the sizes to which the heap grows
	// before it is collected, in percent of what is in use. The latter costs more processor time.
	usualCollectorPercent  = 100
	scarceCollectorPercent = 50
)

// collectorPercent returns the value for debug.SetGCPercent for a node that may use the given
// memory in MB, 0 if that is unknown.
func collectorPercent(memoryMB int) int {
	if memoryMB > 0 && memoryMB < scarceMemoryMB {
		return scarceCollectorPercent
	}
	return usualCollectorPercent
}

// softLimitBytes returns the value for debug.SetMemoryLimit for a process that may use the given
// memory in MB, 0 if that is unknown.
func softLimitBytes(memoryMB int) int64 {
	if memoryMB == 0 {
		return math.MaxInt64
	}
	return int64(memoryMB) << 20 / 100 * softLimitPercent
}
