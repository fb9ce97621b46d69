package pace

const (
	// trust is the weight of the guess that a server is as fast as others, in answers.
	trust = 4.0
	// memory is how many answers a server's factor stands for: with the few answers a
	// second that a holder gives, those of the last minute. Its neighbours make it slow
	// for moments, after which its keys would only have to come back.
	memory = 200.0
)

// Finding is how slow a server was: its time over the usual one, as a mean over answers.
type Finding struct {
	Factor  float64
	Answers int
}

// With returns the mean of two findings.
func (f Finding) With(o Finding) Finding {
	n := f.Answers + o.Answers
	if n == 0 {
		return f
	}
	return Finding{Factor: (f.Factor*float64(f.Answers) + o.Factor*float64(o.Answers)) / float64(n), Answers: n}
}

// Book sums up findings by server. It is not safe for concurrent use.
type Book struct{ servers map[string]sum }

// sum is a mean in which older answers lose their weight.
type sum struct{ factor, answers float64 }

// New returns a Book that has heard nothing.
func New() *Book { return &Book{servers: map[string]sum{}} }

// Add takes in what a daemon found since its last report.
func (b *Book) Add(server string, f Finding) {
	if f.Answers <= 0 {
		return
	}
	s, n := b.servers[server], float64(f.Answers)
	older := min(s.answers, max(0, memory-n))
	b.servers[server] = sum{factor: (s.factor*older + f.Factor*n) / (older + n), answers: older + n}
}

// Factors returns the servers' times over the usual ones, nearer to 1 the fewer answers
// tell of it.
func (b *Book) Factors() map[string]float64 {
	out := make(map[string]float64, len(b.servers))
	for server, s := range b.servers {
		out[server] = (s.factor*s.answers + trust) / (s.answers + trust)
	}
	return out
}

// Keep forgets the servers that a function does not want.
func (b *Book) Keep(wanted func(server string) bool) {
	for server := range b.servers {
		if !wanted(server) {
			delete(b.servers, server)
		}
	}
}
