package settings

// Parts of a VM's memory and descriptors.
const (
	// requestMemoryDivisor is the part of the memory for the heads and bodies of requests. The collector lets the heap grow
	// to twice of what is in use, and the tables, connections and responses take the rest.
	requestMemoryDivisor = 4
	// heapLimitFraction is the part of the memory from which on the collector runs more often, less programBytes, but at least
	// half of the memory.
	heapLimitFraction = 0.75
	// programBytes is the memory of the program's own pages, which the runtime does not count.
	programBytes = 8 << 20
	// callerConnectionsFraction is the part of the descriptors for connections of callers. The others are for targets,
	// peers, the platform and files.
	callerConnectionsFraction = 0.75
	// connectionMemoryDivisor is the part of the memory for connections that have a request each, and connectionBytes what
	// such a connection takes besides its head and body: stacks and buffers.
	connectionMemoryDivisor = 2
	connectionBytes         = 48 << 10
	// smallestMemoryMB is the memory of the operators' smallest VMs. The limits fit them if the memory of the VM is unknown.
	smallestMemoryMB = 136
)

// RequestBytes returns the memory for the heads and bodies of requests.
func (v VM) RequestBytes() int64 { return v.leastMemoryBytes() / requestMemoryDivisor }

// HeapLimit returns the soft limit for the runtime's memory, 0 if the memory of the VM is unknown.
func (v VM) HeapLimit() int64 {
	return max(v.memoryBytes()/2, int64(float64(v.memoryBytes())*heapLimitFraction)-programBytes)
}

// CallerConnections returns how many connections callers may have open.
func (v VM) CallerConnections() int {
	connections := int(v.leastMemoryBytes() / connectionMemoryDivisor / connectionBytes)
	if v.MaxDescriptors == 0 {
		return connections
	}
	return min(connections, int(v.MaxDescriptors*callerConnectionsFraction))
}

func (v VM) memoryBytes() int64 { return int64(v.MemoryMB * (1 << 20)) }

// leastMemoryBytes returns the memory of the VM, that of the smallest VMs if it is unknown.
func (v VM) leastMemoryBytes() int64 {
	if v.MemoryMB == 0 {
		v.MemoryMB = smallestMemoryMB
	}
	return v.memoryBytes()
}
