package keeper

import (
	"time"

	"catkinstep/core/process/queue"
	"catkinstep/core/version/fleet"
	"catkinstep/core/version/grant"
)

// unevenModel is a loadModel of servers of different speeds with a latency target of its own.
type unevenModel struct {
	*loadModel
	*harness
	servers       []fleet.Server
	latencyTarget time.Duration
	daemons       int
	reportAt      time.Time
	// releaseTime is how long a release takes: until the requests that run on the range have ended.
	releaseTime time.Duration
	releases    []pendingRelease
}

type pendingRelease struct {
	at  time.Time
	cmd ReleaseCmd
}

// newUnevenModel returns a service whose server i has speed speeds[i%len(speeds)], under an even
// load of requestsPerSecond that the leader has balanced for ten seconds.
func newUnevenModel(servers, slots int, speeds []float64, requestsPerSecond float64, latencyTarget time.Duration) *unevenModel {
	l, list := newLoadModel(servers, requestsPerSecond, 0.05, 0)
	l.slots = float64(slots)
	for i := range list {
		list[i].Slots = slots
		l.slowdowns[list[i].ID] = 1 / speeds[i%len(speeds)]
	}
	m := &unevenModel{loadModel: l, harness: newHarness(grant.Range{}, WithGrantTTL(3500*time.Millisecond)), servers: list, latencyTarget: latencyTarget, daemons: 8, releaseTime: 300 * time.Millisecond}
	m.keeper.services = nil
	m.setServers(list)
	m.update(EarlierLeaderStoppedMsg{Epoch: 1, At: m.now.Add(-maxGrantDelay)})
	m.advance(10 * time.Second)
	return m
}

func (m *unevenModel) setServers(servers []fleet.Server) {
	m.update(FleetMsg{Fleet: fleet.New(servers), KeyedServices: []string{testService}, DaemonCount: m.daemons})
}

// advance simulates requests, and the leader's reaction to the load that it counts.
func (m *unevenModel) advance(d time.Duration) {
	for end := m.now.Add(d); m.now.Before(end); {
		m.step()
	}
}

// step simulates 50 ms, and reports the load every half second. Releases take releaseTime.
func (m *unevenModel) step() {
	if !m.now.Before(m.reportAt) {
		load := m.report(m.now, time.Second/2)
		load.LatencyTarget, m.reportAt = m.latencyTarget, m.now.Add(time.Second/2)
		m.update(load)
	}
	m.now = m.now.Add(50 * time.Millisecond)
	for len(m.releases) > 0 && !m.now.Before(m.releases[0].at) {
		c := m.releases[0].cmd
		m.releases = m.releases[1:]
		m.update(ReleaseResultMsg{Cmd: c, Result: grant.Done, Handover: "handover"})
	}
	from := len(m.cmds)
	m.update(TickMsg{})
	for i := from; i < len(m.cmds); i++ {
		switch c := m.cmds[i].(type) {
		case GrantCmd:
			m.update(GrantResultMsg{Cmd: c, EndedAt: m.now, Result: grant.Done})
		case ReleaseCmd:
			m.releases = append(m.releases, pendingRelease{m.now.Add(m.releaseTime), c})
		case SaveCmd:
			m.update(StoredTableMsg{Table: c.Table, Revision: c.Revision + 1, RequestedAt: m.now})
		case ReadCmd:
			m.update(StoredTableMsg{Table: m.keeper.table(true), Revision: m.keeper.revision, RequestedAt: m.now})
		}
	}
}

// advanceUntilRoomIsMade advances until a move to make room has started, or for ten seconds.
func (m *unevenModel) advanceUntilRoomIsMade() {
	for range 200 {
		if m.countMoves(reasonMakeRoom) > 0 {
			return
		}
		m.step()
	}
}

// holderOfBucket returns the range that contains a bucket.
func (m *unevenModel) holderOfBucket(b int) grant.Range {
	r, _ := m.keeper.Table().RangeOf(testService, b*keysPerBucket)
	return r
}

// bucketOf returns a bucket in the middle of a server's first range.
func (m *unevenModel) bucketOf(server string) int {
	for _, r := range m.keeper.Table().Services[0].Ranges {
		if r.Holder.Server == server {
			return (Bucket(r.From) + Bucket(r.To)) / 2
		}
	}
	return -1
}

// heat gives some buckets a rate of their own and scales the other rates so that they sum to rest.
func (m *unevenModel) heat(rest, hotRate float64, hot ...int) {
	sum := 0.0
	for _, r := range m.requestRates {
		sum += r
	}
	for _, b := range hot {
		sum -= m.requestRates[b]
	}
	for b := range m.requestRates {
		m.requestRates[b] *= rest / sum
	}
	for _, b := range hot {
		m.requestRates[b] = hotRate
	}
}

// servedShares returns the shares of the requests for a bucket, and of those for all others, that
// their servers answer in time at the true rates.
func (m *unevenModel) servedShares(hot int) (ofHot, ofOthers float64) {
	rates := map[string]float64{}
	for b, rate := range m.requestRates {
		rates[m.holderOfBucket(b).Holder.Server] += rate
	}
	served, others := 0.0, 0.0
	holder := m.holderOfBucket(hot).Holder.Server
	for id, rate := range rates {
		q := queue.New(int(m.slots), m.serviceTimeSeconds*m.slowdowns[id], m.latencyTarget.Seconds(), 0)
		share := 1 - q.LostRate(rate)/rate
		if id == holder {
			ofHot, rate = share, rate-m.requestRates[hot]
		}
		served, others = served+share*rate, others+rate
	}
	return ofHot, served / others
}

// countMoves returns how many moves with a reason were started; any reason if it is empty.
func (m *unevenModel) countMoves(reason string) (n int) {
	for _, c := range m.cmds {
		if entry, ok := c.(LogCmd); ok && entry.Text == "range is to move" && (reason == "" || entry.Reason == reason) {
			n++
		}
	}
	return n
}

var thirdFast = []float64{0.7, 0.7, 1.6}

// setRanges gives the buckets from each start to the next one to a server.
func (m *unevenModel) setRanges(starts, servers []int) {
	s := m.keeper.services[0]
	s.exchange, s.ranges, m.releases, s.nextExchangeAt = nil, nil, nil, time.Time{}
	for i, from := range starts {
		to := Buckets
		if i+1 < len(starts) {
			to = starts[i+1]
		}
		s.ranges = append(s.ranges, &rangeState{nextCallAt: m.now, Range: grant.Range{
			From: from * keysPerBucket, To: to*keysPerBucket - 1, Holder: holderOf(m.servers[servers[i]]), Fence: m.keeper.nextFence()}})
	}
}

// fullFastServer returns three uneven servers with the hot bucket alone on a slow one, which it
// overloads, while the fast one holds so much that the move of the hot bucket alone does not pay.
func fullFastServer() (m *unevenModel, hot int) {
	m, hot = newUnevenModel(3, 4, thirdFast, 180, 800*time.Millisecond), 40
	m.setRanges([]int{0, hot, hot + 1, 1641}, []int{2, 0, 2, 1})
	m.heat(108, 72, hot)
	m.cmds = nil
	return m, hot
}
