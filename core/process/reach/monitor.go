package reach

import (
	"maps"
	"math/rand/v2"
	"time"
)

const (
	// suspiciousFailures is to how many servers attempts to connect must have failed, or open
	// connections broken, for probes to begin.
	suspiciousFailures = 2
	// cutOffFailures is to how many servers they must have failed, all probes among them, for the host
	// to be cut off; to all, if there are fewer.
	cutOffFailures = 8
	// probesAtOnce is how many servers are probed together, half of them in the own data centre as far
	// as there are any: a data centre may only be cut off from the others.
	probesAtOnce = 6
	// probeInterval is the time between two rounds of probes. An attempt to connect to a host that does
	// not answer takes a little longer.
	probeInterval = 250 * time.Millisecond
	// recheckInterval is the time until the next probes after a server was reached. While some servers are
	// lost, suspicion comes again and again.
	recheckInterval = time.Second
	// failureTTL is how long a failed attempt counts. The server may have ended alone.
	failureTTL = 2 * time.Second
	// detectionTime is how long before the first failed attempt the host may have been cut off: open
	// connections break at once, and only then new ones are needed.
	detectionTime = time.Second
)

// Monitor decides whether a host reaches backend servers. It is not safe for concurrent use.
type Monitor struct {
	random  *rand.Rand
	servers []Server
	// failedAt holds when an attempt to connect to a server failed, since the last that succeeded.
	failedAt map[string]time.Time
	// lostAt holds when an open connection to a server last broke.
	lostAt map[string]time.Time
	// firstFailure is when the first of them failed, and lastOK when a connection was last opened.
	firstFailure time.Time
	lastOK       time.Time
	// nextProbeAt is the earliest time of the next probes.
	nextProbeAt time.Time
	probing     bool
	cutOff      bool
	cmds        []Cmd
}

// New returns a Monitor that knows no servers.
func New(seed uint64) *Monitor {
	return &Monitor{random: rand.New(rand.NewPCG(seed, 43)), failedAt: map[string]time.Time{}, lostAt: map[string]time.Time{}}
}

// LastOK returns when a connection to a server was last opened.
func (m *Monitor) LastOK() time.Time { return m.lastOK }

// CutOff reports whether no server can be reached.
func (m *Monitor) CutOff() bool { return m.cutOff }

// Update handles a message and returns the commands that it leads to.
func (m *Monitor) Update(now time.Time, msg Msg) []Cmd {
	m.cmds = nil
	switch msg := msg.(type) {
	case ServersMsg:
		m.servers = msg.Servers
	case ConnectedMsg:
		if msg.At.After(m.lastOK) {
			m.recordOK(msg.At)
		}
	case DialFailedMsg:
		m.recordFailures(now, msg.Address)
		m.probeIfSuspicious(now)
	case LostMsg:
		m.lostAt[msg.Address] = now
		m.probeIfSuspicious(now)
	case ProbedMsg:
		m.handleProbes(now, msg)
	case TickMsg:
		m.dropExpired(now)
		if m.cutOff || msg.Silent || m.isSuspicious() {
			m.probe(now)
		}
	}
	return m.cmds
}

func (m *Monitor) probeIfSuspicious(now time.Time) {
	if !m.cutOff && m.isSuspicious() {
		m.probe(now)
	}
}

func (m *Monitor) handleProbes(now time.Time, msg ProbedMsg) {
	m.probing = false
	if msg.AnyOK {
		m.nextProbeAt = now.Add(recheckInterval)
		m.recordOK(now)
		return
	}
	m.recordFailures(now, msg.Failed...)
	if !m.cutOff && len(msg.Failed) > 0 && len(m.failedAt) >= min(cutOffFailures, len(m.servers)) {
		m.cutOff = true
		m.cmds = append(m.cmds, ChangedCmd{CutOff: true, Since: m.cutSince(), Failed: len(m.failedAt)})
	}
}

func (m *Monitor) recordFailures(now time.Time, addresses ...string) {
	if len(m.failedAt) == 0 {
		m.firstFailure = now
	}
	for _, address := range addresses {
		m.failedAt[address] = now
	}
}

// cutSince returns the earliest time at which the host may have been cut off.
func (m *Monitor) cutSince() time.Time {
	if since := m.firstFailure.Add(-detectionTime); since.After(m.lastOK) {
		return since
	}
	return m.lastOK
}

// recordOK records that a connection was opened at a time. Failures since then still count.
func (m *Monitor) recordOK(at time.Time) {
	m.lastOK = at
	for _, times := range []map[string]time.Time{m.failedAt, m.lostAt} {
		maps.DeleteFunc(times, func(_ string, failedAt time.Time) bool { return !failedAt.After(at) })
	}
	if m.cutOff && len(m.failedAt) == 0 {
		m.cutOff = false
		m.cmds = append(m.cmds, ChangedCmd{})
	}
}

func (m *Monitor) isSuspicious() bool {
	distinct := len(m.failedAt)
	for address := range m.lostAt {
		if _, counted := m.failedAt[address]; !counted {
			distinct++
		}
	}
	return distinct >= min(suspiciousFailures, max(1, len(m.servers)))
}

func (m *Monitor) dropExpired(now time.Time) {
	for _, times := range []map[string]time.Time{m.failedAt, m.lostAt} {
		maps.DeleteFunc(times, func(_ string, at time.Time) bool { return now.Sub(at) > failureTTL })
	}
}

// probe probes servers to which no attempt failed just now, or any while the host is cut off.
func (m *Monitor) probe(now time.Time) {
	if m.probing || now.Before(m.nextProbeAt) {
		return
	}
	chosen := m.chooseProbes()
	if len(chosen) == 0 {
		return
	}
	m.probing, m.nextProbeAt = true, now.Add(probeInterval)
	m.cmds = append(m.cmds, ProbeCmd{Addresses: chosen})
}

func (m *Monitor) chooseProbes() []string {
	var local, remote []string
	for _, i := range m.random.Perm(len(m.servers)) {
		s := m.servers[i]
		if _, failed := m.failedAt[s.Address]; failed && !m.cutOff && len(m.failedAt) < len(m.servers) {
			continue
		}
		if s.Local {
			local = append(local, s.Address)
			continue
		}
		remote = append(remote, s.Address)
	}
	fromLocal := min(len(local), max(probesAtOnce/2, probesAtOnce-len(remote)))
	return append(local[:fromLocal:fromLocal], remote[:min(len(remote), probesAtOnce-fromLocal)]...)
}
