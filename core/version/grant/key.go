package grant

import "github.com/cespare/xxhash/v2"

// KeyOf is the number of a key that callers name by a text, from 0 to LastKey.
func HashKey(text string) int { return int(xxhash.Sum64String(text) % (LastKey + 1)) }
