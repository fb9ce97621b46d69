// Package object caches the objects of the platform's store that a daemon knows. Updates come
// from the store itself or from other daemons, so that one source is enough. For each
// kind of object the cache records the revision up to which it has every change; an older
// revision of an object never replaces a newer one.
//
// # Usage
//
//	changed := cache.Merge(delta)
//	delta := cache.Since(peerRevision) // for a daemon with an older cache
package object
