package memory

const (
	// requestPercent and connectionPercent are the parts of the memory that requests with their responses, and
	// connections, may take. The rest is for the daemon itself: its state, the runtime, and memory that is
	// free but not collected.
	requestPercent    = 54
	connectionPercent = 16
	// responsePart is the part of the requests' memory for large responses that are being read.
	responsePart = 3
	// connectionBytes is what a connection takes: its buffers, its goroutines, and its descriptor.
	connectionBytes = 24 << 10
	// heapPercent is the part of the memory at which the runtime collects garbage without regard to its
	// cost. programBytes of the program itself are not on the heap.
	heapPercent  = 85
	programBytes = 14 << 20
	// Parts of the descriptors. Connections to servers, to the store and to other daemons, which this daemon
	// opens, have what is left, files included.
	callerDescriptors = 50
	peerDescriptors   = 15
	// otherConns is how many connections each other address accepts: health checks, metrics, operators.
	otherConns = 128
	// minConns is how many connections an address accepts at least.
	minConns = 16
	percent  = 100

	defaultMachineBytes = 512 << 20
	defaultDescriptors  = 1024
)

// Machine is the size of the machine that a daemon runs on. Zero means that a size is not known.
type Machine struct {
	Bytes       int64
	Descriptors int
}

// Plan says what may take how much of a machine.
type Plan struct {
	// HeapBytes is the size of the heap at which garbage is collected more often.
	HeapBytes int64
	// RequestBytes is the limit of the Budget.
	RequestBytes int64
	// LargeBodyBytes limits the large request bodies among them.
	LargeBodyBytes int64
	// ResponseBytes limits the large responses that are being read.
	ResponseBytes int64
	// CallerConns, PeerConns and OtherConns are how many accepted connections are kept: of callers, of other
	// daemons, and at each other address.
	CallerConns, PeerConns, OtherConns int
}

// NewPlan returns the plan for a machine on which requests have bodies of up to maxBody bytes. If one such body
// does not fit, the plan has the room that there is.
func NewPlan(m Machine, maxBody int64) Plan {
	if m.Bytes <= 0 {
		m.Bytes = defaultMachineBytes
	}
	if m.Descriptors <= 0 {
		m.Descriptors = defaultDescriptors
	}
	requests := m.Bytes * requestPercent / percent
	return Plan{
		HeapBytes:      max(m.Bytes*heapPercent/percent-programBytes, m.Bytes/2),
		RequestBytes:   requests,
		LargeBodyBytes: min(requests-headroom(requests, LargeBodies), max(maxBody+chunkSlack, requests/2)),
		ResponseBytes:  requests / responsePart,
		CallerConns:    max(minConns, min(m.Descriptors*callerDescriptors/percent, int(m.Bytes*connectionPercent/percent/connectionBytes))),
		PeerConns:      max(minConns, m.Descriptors*peerDescriptors/percent),
		OtherConns:     max(minConns, min(otherConns, m.Descriptors/minConns)),
	}
}

// chunkSlack is by how much the memory of a body may exceed its size.
const chunkSlack = 512 << 10
