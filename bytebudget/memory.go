package bytebudget

import "golang.org/x/sys/unix"

const (
	bytesPerMiB = 1 << 20
	// defaultMemoryBytes is taken for the memory of a VM that does not tell it.
	defaultMemoryBytes = 256 * bytesPerMiB
)

// AvailableMemory returns the bytes of memory that the process may use: limitMiB, or all that the VM has if that is 0.
func AvailableMemory(limitMiB int) int64 {
	if limitMiB > 0 {
		return int64(limitMiB) * bytesPerMiB
	}
	var info unix.Sysinfo_t
	if unix.Sysinfo(&info) != nil {
		return defaultMemoryBytes
	}
	return int64(info.Totalram * uint64(info.Unit))
}
