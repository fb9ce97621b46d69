package memory

// Use is what memory is used for.
type Use int

// Uses of memory.
const (
	// Requests are the heads of requests as they are parsed, with what each request needs while it runs.
	Requests Use = iota
	// Ahead are the same of requests that were sent behind others of their connection.
	Ahead
	// SmallBodies are the beginnings of request bodies, up to SmallBody bytes of each.
	SmallBodies
	// LargeBodies are the rest of larger bodies.
	LargeBodies
	// Responses are large responses, from when they are read until they have been sent to callers.
	Responses
	// Carried are the messages of and to other daemons with callers' requests.
	Carried
	uses
)

// SmallBody is the size in bytes up to which a body is small.
const SmallBody = 64 << 10

// carriedFactor/carriedDivisor is the part of a budget that messages of other daemons may take.
const carriedFactor, carriedDivisor = 2, 3

// names are the names of the uses in metrics.
var names = [uses]string{"requests", "ahead", "smallBodies", "largeBodies", "responses", "carried"}

// String implements fmt.Stringer.
func (u Use) String() string { return names[u] }

// Uses returns all uses.
func Uses() []Use { return []Use{Requests, Ahead, SmallBodies, LargeBodies, Responses, Carried} }

// headroom returns how much of a limit a use leaves to the others. Small requests have all of it, so that they
// are still served while large ones take the rest.
func headroom(limit int64, u Use) int64 {
	switch u {
	case LargeBodies, Carried:
		return limit / 12
	case Responses:
		return limit / 16
	case SmallBodies:
		return limit / 20
	case Ahead:
		return limit / 24
	default:
		return 0
	}
}

// Budget says who may use memory. It is not safe for concurrent use.
type Budget struct {
	limit int64
	caps  [uses]int64
	used  [uses]int64
	total int64
	// highest is the most that was used at a time.
	highest int64
}

// NewBudget returns a Budget of which nothing is used.
func NewBudget(p Plan) *Budget {
	b := &Budget{limit: p.RequestBytes}
	for u := range b.caps {
		b.caps[u] = p.RequestBytes
	}
	b.caps[LargeBodies] = p.LargeBodyBytes
	b.caps[Carried] = p.RequestBytes / carriedDivisor * carriedFactor
	return b
}

// Reserve takes n bytes for a use, and reports whether there was room.
func (b *Budget) Reserve(u Use, n int64) bool {
	if b.used[u]+n > b.caps[u] || b.total+n > b.limit-headroom(b.limit, u) {
		return false
	}
	b.Force(u, n)
	return true
}

// Force takes n bytes that are in use already, whether or not there is room.
func (b *Budget) Force(u Use, n int64) {
	b.used[u] += n
	b.total += n
	b.highest = max(b.highest, b.total)
}

// Release gives n bytes back.
func (b *Budget) Release(u Use, n int64) {
	b.used[u] -= n
	b.total -= n
}

// Fits reports whether n bytes could be reserved for a use if nothing else were in use.
func (b *Budget) Fits(u Use, n int64) bool {
	return n <= b.caps[u] && n <= b.limit-headroom(b.limit, u)
}

// Used returns the bytes that a use takes.
func (b *Budget) Used(u Use) int64 { return b.used[u] }

// Total returns the bytes that are used, and the most that ever were.
func (b *Budget) Total() (used, highest int64) { return b.total, b.highest }
