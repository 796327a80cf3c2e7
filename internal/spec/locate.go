package spec

import (
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// location identifies a value in a file by its table and key.
type location struct {
	table    string // dotted, e.g. "models" or "models.warm"; empty for the root
	index    int    // 0-based, in an array of tables
	subIndex int    // 0-based, in an array of tables nested in that one
	key      string // empty for the table itself
}

// locator finds the positions of locations in a file. It parses the file a second time,
// so it is created for invalid files only.
type locator struct {
	positions map[location]unstable.Position
}

func newLocator(data []byte) *locator {
	l := &locator{positions: map[location]unstable.Position{}}
	var p unstable.Parser
	p.Reset(data)
	counts := map[string]int{}
	loc := location{}
	for p.NextExpression() {
		e := p.Expression()
		names, first := keyNames(&p, e)
		if len(names) == 0 {
			continue
		}
		switch e.Kind {
		case unstable.Table:
			loc = location{table: strings.Join(names, ".")}
			l.positions[loc] = first
		case unstable.ArrayTable:
			loc = enterArrayTable(counts, strings.Join(names, "."))
			l.positions[loc] = first
		case unstable.KeyValue:
			l.positions[keyLocation(loc, names)] = first
		}
	}
	return l
}

// enterArrayTable counts another element of an array of tables and returns its location.
func enterArrayTable(counts map[string]int, table string) location {
	counts[table]++
	n := counts[table] - 1
	if table != "models.warm" {
		// The warm windows of each model are counted from 0.
		counts["models.warm"] = 0
		return location{table: table, index: n}
	}
	return location{table: table, index: counts["models"] - 1, subIndex: n}
}

// keyLocation returns the location of a key in the table at loc. At the root, it resolves
// a dotted key such as limits.queue_per_model.
func keyLocation(loc location, names []string) location {
	last := len(names) - 1
	loc.key = names[last]
	if last > 0 && loc.table == "" {
		loc.table = strings.Join(names[:last], ".")
	}
	return loc
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

// find returns the position of a location. It falls back to the position of its table, and
// to the zero position.
func (l *locator) find(loc location) unstable.Position {
	if pos, ok := l.positions[loc]; ok {
		return pos
	}
	loc.key = ""
	return l.positions[loc]
}
