// Package proof says what callers are promised about requests that did not run.
//
// # Usage
//
//	if proof.Promises(resp.Status) { ... }
package proof
