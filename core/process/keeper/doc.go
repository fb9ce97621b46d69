// Package keeper decides who holds which keys. The daemon that leads runs one
// Keeper: it divides the keys, grants ranges to backend servers, renews the
// grants, and moves ranges away from servers that leave or carry too much.
//
// A range moves in four steps, and a key never has two holders because each
// waits for the one before:
//
//  1. The intent (holder and next holder) is saved in the stored table by a
//     conditional update. A leader that was replaced fails here.
//  2. The holder is asked to release. Its answer says that its running work has
//     ended. A holder that does not answer keeps the range until its last grant
//     has surely run out, or until its life is proven over.
//  3. The next holder is granted the range with a higher fence.
//  4. The table is published once the next holder has confirmed.
//
// A new leader first writes the table under its own epoch, then grants every
// range anew to its present holder with a fence of that epoch. From then on
// servers refuse what the old leader still sends.
//
// # Usage
//
//	k := keeper.New(now, table, revision, keeper.WithHold(6*time.Second))
//	cmds := k.Update(now, keeper.TickMsg{})
//
// Times come from a clock that also counts while the host is suspended.
package keeper
