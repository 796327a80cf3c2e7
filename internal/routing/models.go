package routing

import (
	"strconv"
	"strings"
)

// HasModel reports whether the engine can serve a model, with an adapter unless that is
// empty. An engine without a list of models serves any.
func (e *Engine) HasModel(name, adapter string) bool {
	for i := range e.Models {
		if e.Models[i].Name == name {
			return adapter == "" || e.Models[i].hasAdapter(adapter)
		}
	}
	return len(e.Models) == 0
}

func (m *Model) hasAdapter(name string) bool {
	number, ok := strings.CutPrefix(name, m.AdapterPrefix)
	n, err := strconv.Atoi(number)
	return ok && err == nil && n >= 1 && n <= m.AdapterCount && strconv.Itoa(n) == number
}
