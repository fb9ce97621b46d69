package grant

import "github.com/cespare/xxhash/v2"

// HashKey returns the key number for a key that callers send as text: a hash from 0 to LastKey.
func HashKey(text string) int { return int(xxhash.Sum64String(text) % (LastKey + 1)) }
