package router

import (
	"math"
	"time"

	"catkinstep/core/connection/wire"
	"catkinstep/core/process/quota"
)

func renewalToWire(renewal quota.Renewal) *wire.Renewal {
	m := &wire.Renewal{Daemon: renewal.Daemon, Incarnation: renewal.Incarnation, Seq: renewal.Seq, Acked: renewal.Acked, Pool: renewal.Pool, StampMicros: renewal.Stamp.Microseconds(),
		LoanMillis: millisOf(renewal.Loan), Recall: renewal.Recall, IsFresh: renewal.IsFresh, Half: uint32(renewal.Half)}
	for _, d := range renewal.Demands {
		m.Demands = append(m.Demands, &wire.Demand{Workspace: d.Workspace, PerSecond: float32(d.PerSecond)})
	}
	return m
}

func renewalFromWire(m *wire.Renewal) quota.Renewal {
	renewal := quota.Renewal{Daemon: m.Daemon, Incarnation: m.Incarnation, Seq: m.Seq, Acked: m.Acked, Pool: m.Pool, Stamp: time.Duration(m.StampMicros) * time.Microsecond,
		Loan: millis(m.LoanMillis), Recall: m.Recall, IsFresh: m.IsFresh, Half: int(m.Half)}
	for _, d := range m.Demands {
		if rate := float64(d.PerSecond); rate > 0 && !math.IsInf(rate, 0) {
			renewal.Demands = append(renewal.Demands, quota.Demand{Workspace: d.Workspace, PerSecond: rate})
		}
	}
	return renewal
}

// grantToWire rounds times so that the daemon takes nothing back early.
func grantToWire(g quota.Grant) *wire.Grant {
	m := &wire.Grant{Seq: g.Seq, Pool: g.Pool, StampMicros: g.Stamp.Microseconds(), HadLoan: g.HadLoan, AllFresh: g.AllFresh, LentForMillis: millisOf(g.LentFor + time.Millisecond), TtlMillis: millisOf(g.TTL)}
	for _, l := range g.Leases {
		m.Leases = append(m.Leases, &wire.Lease{Workspace: l.Workspace, PerSecond: float32(l.PerSecond), Burst: float32(l.Burst)})
	}
	return m
}

func grantFromWire(m *wire.Grant) quota.Grant {
	g := quota.Grant{Seq: m.Seq, Pool: m.Pool, Stamp: time.Duration(m.StampMicros) * time.Microsecond, HadLoan: m.HadLoan, AllFresh: m.AllFresh, LentFor: millis(m.LentForMillis), TTL: millis(m.TtlMillis)}
	for _, l := range m.Leases {
		g.Leases = append(g.Leases, quota.Lease{Workspace: l.Workspace, PerSecond: float64(l.PerSecond), Burst: float64(l.Burst)})
	}
	return g
}
