package intake

import (
	"math"
	"syscall"
)

// DescriptorLimit returns the operating system's limit on the descriptors of the process, or 0 if there is none.
func DescriptorLimit() int {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil || limit.Cur > math.MaxInt32 {
		return 0
	}
	return int(limit.Cur)
}
