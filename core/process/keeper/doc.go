// Package keeper assigns key ranges to backend servers. The daemon that leads runs
// one Keeper, which divides the keys of each service into ranges, grants every range
// to one server at a time as a lease, renews the grants, and moves ranges away from
// servers that are draining, have ended or are overloaded.
//
// The server that holds a range is its holder. A Holder value names one instance of a
// server, that is, one run of its process. A restart makes a new instance. A request is
// lost if it is refused or answered after its latency target; the loads of the holders are
// balanced so that few requests are.
//
// A range moves in four steps. Each waits for the one before, so a key never has
// two holders:
//
//  1. The intent, which names the holder and the next holder, is saved in the stored
//     table by a conditional update. The update of a leader that was replaced fails.
//  2. The holder is asked to release the range. Its answer confirms that the requests
//     it was running on the range have ended. A holder that does not answer keeps the
//     range until its last grant has certainly expired, or until its instance is known
//     to have ended.
//  3. The range is granted to the next holder with a higher fencing token (fence).
//  4. The table is published once the next holder has confirmed the grant.
//
// Tables that are published from step 2 until step 4 show the range as closed to callers:
// daemons send no requests for its keys.
//
// A new leader first writes the table under its own epoch, then grants every range
// again to its present holder with a fence of that epoch. From then on servers refuse
// the grants that the previous leader still sends.
//
// # Usage
//
//	k := keeper.New(now, table, revision, keeper.WithGrantTTL(6*time.Second))
//	cmds := k.Update(now, keeper.TickMsg{})
//
// Times come from a clock that also counts while the host is suspended.
package keeper
