// Package news keeps what a daemon knows of the platform's objects, from the
// platform itself or from other daemons, so that either can stand in for the
// other. Per kind it remembers through which revision it knows every change;
// an older revision never replaces a newer one.
//
// # Usage
//
//	changed := cache.Merge(delta)
//	delta := cache.Since(peerRevision) // for a daemon that knows less
package news
