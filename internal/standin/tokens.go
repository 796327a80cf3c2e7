package standin

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

var words = strings.Fields(`patience brings small warm rivers home before winter
	good letters find open doors while quiet friends keep bright lamps burning near
	every patient garden grows under kind rain and soft early light`)

// Token returns the token at a 0-based position of the answer to a prompt. It depends
// on the arguments only, so a resumed answer continues the interrupted one.
func Token(model, adapter, prompt string, position int) string {
	key := strings.Join([]string{model, adapter, prompt, strconv.Itoa(position)}, "\x00")
	word := words[xxhash.Sum64String(key)%uint64(len(words))]
	if position == 0 {
		return word
	}
	return " " + word
}

// Text returns the complete answer of n tokens to a prompt.
func Text(model, adapter, prompt string, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(Token(model, adapter, prompt, i))
	}
	return b.String()
}
