// Package ports finds addresses that tests may listen on.
//
// Usage:
//
//	address := ports.Free(t)
package ports
