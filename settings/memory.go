package settings

// Parts of a VM's memory and descriptors.
const (
	// requestMemoryDivisor is the part of the memory for the heads and bodies of requests. The collector lets the heap grow
	// to twice of what is in use, and the tables, connections and responses take the rest.
	requestMemoryDivisor = 4
	// heapLimitFraction is the part of the memory from which on the collector runs more often.
	heapLimitFraction = 0.75
	// callerConnectionsFraction is the part of the descriptors for connections of callers. The others are for targets,
	// peers, the platform and files.
	callerConnectionsFraction = 0.75
	// unknownRequestBytes is the memory for requests if that of the VM is unknown.
	unknownRequestBytes = 256 << 20
)

// RequestBytes returns the memory for the heads and bodies of requests.
func (v VM) RequestBytes() int64 {
	if v.MemoryMB == 0 {
		return unknownRequestBytes
	}
	return v.memoryBytes() / requestMemoryDivisor
}

// HeapLimit returns the limit for the runtime's memory, 0 if the memory of the VM is unknown.
func (v VM) HeapLimit() int64 { return int64(float64(v.memoryBytes()) * heapLimitFraction) }

// CallerConnections returns how many connections callers may have open, 0 if there is no limit.
func (v VM) CallerConnections() int { return int(v.MaxDescriptors * callerConnectionsFraction) }

func (v VM) memoryBytes() int64 { return int64(v.MemoryMB * (1 << 20)) }
