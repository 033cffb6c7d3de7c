package budget

// The limits of a machine whose settings have none.
const (
	// DefaultMemoryMegabytes is the memory that a process may use, in MiB.
	DefaultMemoryMegabytes = 184
	// DefaultMaxDescriptors is the number of descriptors that a process may open if the
	// system does not say either.
	DefaultMaxDescriptors = 4300
)

const (
	// memoryDivisor is the part of the memory that is the budget. Each counted byte
	// may exist up to three times while it is copied from one socket to another, and
	// the garbage collector needs as much again as is in use.
	memoryDivisor = 8
	// heapPercent is the soft memory limit of the Go runtime, as a percentage of the
	// memory that the process may use. Above it, the garbage collector runs more often.
	// The rest is for the program itself and for what a burst of messages allocates while
	// a collection runs.
	heapPercent = 60
	// minHeldBytes leaves room for one message of 1 MiB with its copies on a machine
	// with little memory.
	minHeldBytes = 16 << 20
)

// HeldBytes returns the budget in bytes of a process that may use the given memory, in
// MiB. A value of 0 or less stands for DefaultMemoryMegabytes.
func HeldBytes(memoryMegabytes int64) int64 {
	return max(orDefault(memoryMegabytes)<<20/memoryDivisor, minHeldBytes)
}

// HeapLimit returns the soft memory limit of the Go runtime, in bytes, for a process
// that may use the given memory, in MiB. A value of 0 or less stands for
// DefaultMemoryMegabytes.
func HeapLimit(memoryMegabytes int64) int64 {
	return orDefault(memoryMegabytes) << 20 * heapPercent / 100
}

func orDefault(memoryMegabytes int64) int64 {
	if memoryMegabytes <= 0 {
		return DefaultMemoryMegabytes
	}
	return memoryMegabytes
}
