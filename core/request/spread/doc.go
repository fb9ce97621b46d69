// Package spread chooses the backend server for a request, and refuses the
// request at once when none can be expected to answer it in time.
//
// Each daemon judges by what it measured itself, what servers report with their
// answers, and what the other daemons of its data centre say they have under
// way. The expected time at a server is its usual time for the kind of request,
// and a share of it for each request ahead when all slots are taken.
//
// # Usage
//
//	choice := s.Choose(now, need, servers)
//	if choice.Refused() { answer 503 with choice.RetryAfter }
//	s.Begin(now, choice.Server, need)
//	s.End(now, choice.Server, need, began, outcome)
package spread
