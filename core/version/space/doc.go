// Package space holds workspaces: the customers on whose behalf callers send requests. A caller
// shows which workspace it belongs to by one of the workspace's API keys. Only hashes of the keys
// are kept, so that neither memory nor the store, a log or a gossip message discloses a key.
//
// # Usage
//
//	d := space.NewDirectory(workspaces)
//	w, ok := d.Find(space.HashKey(key))
//
// Values are immutable.
package space
