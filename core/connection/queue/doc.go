// Package queue is the dispatcher of one backend server: the only way by which
// orders reach it. It knows what runs there, so that the limits, the ledger of
// ids, and the end of the work are local facts. It is a state machine: every
// event comes as a message to Update, which returns commands.
//
// # Usage
//
//	q := queue.New("127.0.0.9:9000", "intake")
//	cmds := q.Update(now, queue.RouteMsg{Route: r, Site: s})
//	cmds = q.Update(now, queue.SubmitMsg{Seq: 1, Order: order, Deadline: d})
//	// carry out: SendCmd, AnswerCmd, CopyCmd, GrantCmd, PullCmd, QuietCmd, LostCmd
//
// Send a TickMsg every 50 ms. Each SubmitMsg is answered by exactly one
// AnswerCmd. A Queue is changed in place and used under one lock; Update never
// fails.
package queue
