package grant

import "github.com/cespare/xxhash/v2"

// HashKey returns the number, from 0 to LastKey, of a key that callers name by a text.
func HashKey(text string) int { return int(xxhash.Sum64String(text) % (LastKey + 1)) }
