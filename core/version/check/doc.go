// Package check decodes YAML files that operators write and reports all problems of a
// file at once, each with its file, line and field: unknown and duplicate fields, wrong
// types, durations without a unit, and violations of rules that the caller adds.
//
// # Usage
//
//	var p Prefs
//	c, err := check.Decode("host.yaml", data, &p) // unknown fields, types, units
//	if err == nil {
//		c.Address("callers", p.Callers)
//		err = c.Err()
//	}
//
// Every error is of type FileErrors.
package check
