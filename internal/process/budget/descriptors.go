package budget

import "syscall"

// maxCountedDescriptors bounds the limit of descriptors that is taken from the system,
// which may be unlimited.
const maxCountedDescriptors = 1 << 20

// processDescriptors returns the number of descriptors that the system allows the
// process, DefaultMaxDescriptors if that is not known.
func processDescriptors() int64 {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return DefaultMaxDescriptors
	}
	return int64(min(limit.Cur, maxCountedDescriptors))
}
