package spec

import (
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// place names a value of the file: the n-th element of an array of tables (0-based),
// the m-th of an array of tables inside it, and a key there.
type place struct {
	table string // dotted, e.g. "models" or "models.warm"; empty for the root
	n     int
	m     int
	key   string
}

// locator finds the lines of places. It reads the file once more, which happens for
// files with faults only.
type locator struct {
	lines map[place]unstable.Position
}

func newLocator(data []byte) *locator {
	l := &locator{lines: map[place]unstable.Position{}}
	var p unstable.Parser
	p.Reset(data)
	counts := map[string]int{}
	at := place{}
	for p.NextExpression() {
		e := p.Expression()
		names, first := keyNames(&p, e)
		if len(names) == 0 {
			continue
		}
		switch e.Kind {
		case unstable.Table:
			at = place{table: strings.Join(names, ".")}
			l.lines[at] = first
		case unstable.ArrayTable:
			at = enter(counts, strings.Join(names, "."))
			l.lines[at] = first
		case unstable.KeyValue:
			l.lines[keyPlace(at, names)] = first
		}
	}
	return l
}

// enter counts one more element of an array of tables and returns its place.
func enter(counts map[string]int, table string) place {
	counts[table]++
	n := counts[table] - 1
	if table != "models.warm" {
		// The windows are counted anew for each model.
		counts["models.warm"] = 0
		return place{table: table, n: n}
	}
	return place{table: table, n: counts["models"] - 1, m: n}
}

// keyPlace resolves a dotted key such as limits.queue_per_model in the current table.
func keyPlace(at place, names []string) place {
	last := len(names) - 1
	at.key = names[last]
	if last > 0 && at.table == "" {
		at.table = strings.Join(names[:last], ".")
	}
	return at
}

func keyNames(p *unstable.Parser, e *unstable.Node) ([]string, unstable.Position) {
	if e.Kind != unstable.Table && e.Kind != unstable.ArrayTable && e.Kind != unstable.KeyValue {
		return nil, unstable.Position{}
	}
	var names []string
	var first unstable.Position
	for it := e.Key(); it.Next(); {
		n := it.Node()
		if len(names) == 0 {
			first = p.Shape(n.Raw).Start
		}
		names = append(names, string(n.Data))
	}
	return names, first
}

// find returns the place's position, else that of its table, else zero.
func (l *locator) find(at place) unstable.Position {
	if pos, ok := l.lines[at]; ok {
		return pos
	}
	at.key = ""
	return l.lines[at]
}
