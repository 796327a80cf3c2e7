package upstream

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// maxPrefixBytes is the length of the prompt prefix that identifies a cache entry.
const maxPrefixBytes = 64

// PrefixKey returns the key of a prompt's cached prefix as it appears in cache events: the
// hexadecimal hash of the model and the first 64 bytes of the prompt. The prompt of a chat
// is one line "role: content" for each message.
func PrefixKey(model, prompt string) string {
	sum := xxhash.Sum64String(model + "\x00" + prompt[:min(len(prompt), maxPrefixBytes)])
	return strconv.FormatUint(sum, 16)
}
