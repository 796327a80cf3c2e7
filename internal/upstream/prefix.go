package upstream

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// prefixBytes is the length of a prompt's prefix that caches tell apart.
const prefixBytes = 64

// PrefixKey names the cached prefix of a prompt, as cache events carry it. The prompt
// of a chat is a line "role: content" for each message.
func PrefixKey(model, prompt string) string {
	sum := xxhash.Sum64String(model + "\x00" + prompt[:min(len(prompt), prefixBytes)])
	return strconv.FormatUint(sum, 16)
}
