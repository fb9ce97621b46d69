// Package check reads YAML that a person wrote and names every mistake at once,
// each with its file, line and field: unknown and doubled fields, wrong types,
// times without a unit, and whatever rules its user adds.
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
