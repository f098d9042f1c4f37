package launcher

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
