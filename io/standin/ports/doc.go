// Package ports finds addresses that tests can listen on.
//
// # Usage
//
//	address := ports.Free(t)
package ports
