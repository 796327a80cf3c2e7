package opscli

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// traceCmd shows the log lines of several nodes about one request, upstream or other
// subject.
type traceCmd struct {
	Subject string   `arg:"" help:"Request id, upstream id, model or any other value that log lines carry."`
	Logs    []string `arg:"" type:"existingfile" help:"Log files of nodes, one JSON object a line."`
	Around  bool     `help:"Also show what the nodes that served it noted of the control group meanwhile."`
}

// logLine is one line of a node's log.
type logLine struct {
	at   time.Time
	node string
	text string // as printed: component, message and fields
	msg  string
	raw  string // the JSON object
}

// contextPrefixes are the beginnings of log messages about the control group and the
// entries, which may explain what happened to a request without naming it.
var contextPrefixes = []string{"Coordinator ", "Configuration is in force", "Entry drains", "Leadership", "Acting ", "Settings reloaded"}

// contextMargin extends the time span of the subject's lines at both ends. --around shows
// context lines within the extended span.
const contextMargin = 2 * time.Second

// Run prints the lines that contain the subject, in order of time.
func (t *traceCmd) Run(e *env) error {
	var all []logLine
	for _, path := range t.Logs {
		lines, err := readLog(path)
		if err != nil {
			return err
		}
		all = append(all, lines...)
	}
	found := t.selectLines(all)
	if len(found) == 0 {
		return errors.Errorf("no log line contains %q", t.Subject)
	}
	for _, l := range found {
		fmt.Fprintf(e.out, "%s %-18s %s\n", l.at.Format("15:04:05.000"), l.node, l.text)
	}
	return nil
}

// selectLines returns the lines to show, sorted by time.
func (t *traceCmd) selectLines(all []logLine) []logLine {
	var out []logLine
	var from, to time.Time
	for _, l := range all {
		if !strings.Contains(l.raw, t.Subject) {
			continue
		}
		out = append(out, l)
		if from.IsZero() || l.at.Before(from) {
			from = l.at
		}
		if l.at.After(to) {
			to = l.at
		}
	}
	if t.Around && len(out) > 0 {
		out = append(out, contextLines(all, from.Add(-contextMargin), to.Add(contextMargin))...)
	}
	slices.SortStableFunc(out, func(a, b logLine) int { return cmp.Or(a.at.Compare(b.at), strings.Compare(a.node, b.node)) })
	return out
}

// contextLines returns the lines between the two times whose message begins with one of
// contextPrefixes.
func contextLines(all []logLine, from, to time.Time) []logLine {
	var out []logLine
	for _, l := range all {
		matches := slices.ContainsFunc(contextPrefixes, func(p string) bool { return strings.HasPrefix(l.msg, p) })
		if matches && l.at.After(from) && l.at.Before(to) {
			out = append(out, l)
		}
	}
	return out
}

// maxLogLine is the longest line accepted, in bytes.
const maxLogLine = 1 << 20

// readLog reads a log file of JSON lines. Text in front of the JSON object, such as a log
// collector's timestamp, is ignored, and so are lines without an object.
func readLog(path string) ([]logLine, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "log file")
	}
	defer f.Close()
	return parseLog(f, filepath.Base(path))
}

func parseLog(r io.Reader, name string) ([]logLine, error) {
	var out []logLine
	scan := bufio.NewScanner(r)
	scan.Buffer(nil, maxLogLine)
	for scan.Scan() {
		_, object, ok := strings.Cut(scan.Text(), "{")
		if !ok {
			continue
		}
		if l, ok := parseLine("{"+object, name); ok {
			out = append(out, l)
		}
	}
	return out, errors.Wrapf(scan.Err(), "reading %s", name)
}

// omittedFields are not printed as key=value: they are in the prefix of the printed line or
// not shown at all.
var omittedFields = []string{"time", "level", "msg", "node", "part"}

// parseLine parses one JSON line; it returns false if the line is malformed or has no valid
// time. name stands for the node in lines without a node field.
func parseLine(raw, name string) (logLine, bool) {
	var fields map[string]any
	if json.Unmarshal([]byte(raw), &fields) != nil {
		return logLine{}, false
	}
	at, err := time.Parse(time.RFC3339Nano, fmt.Sprint(fields["time"]))
	if err != nil {
		return logLine{}, false
	}
	l := logLine{at: at, node: name, raw: raw, msg: fmt.Sprint(fields["msg"])}
	if node, ok := fields["node"].(string); ok {
		l.node = node
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%v: %v", fields["part"], fields["msg"])
	for _, k := range sortedKeys(fields) {
		if !slices.Contains(omittedFields, k) {
			fmt.Fprintf(&b, " %s=%s", k, fieldText(k, fields[k]))
		}
	}
	l.text = b.String()
	return l, true
}

func sortedKeys(m map[string]any) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// durationFields are the numeric log fields in nanoseconds.
var durationFields = []string{"took", "waited", "left", "first_byte", "max_gap", "coordinator_age", "in_force_for", "announce", "limit"}

// fieldText formats the value of a field; numbers are printed without an exponent.
func fieldText(key string, v any) string {
	if ns, ok := v.(float64); ok {
		if slices.Contains(durationFields, key) {
			return time.Duration(ns).Round(time.Microsecond).String()
		}
		return fmt.Sprintf("%.0f", ns)
	}
	return fmt.Sprintf("%v", v)
}
