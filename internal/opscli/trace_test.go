package opscli

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// traceLogs are the logs of an entry and of a control VM. The second has a log collector's
// timestamp in front of each line, and one line that is not JSON.
var traceLogs = map[string]string{
	"e1.log": `{"time":"2026-12-04T10:00:01.5Z","level":"INFO","msg":"Attempt failed.","node":"e1","part":"gateway","request":"q7","upstream":"u1","unsent":true}
{"time":"2026-12-04T10:00:02Z","level":"INFO","msg":"Request answered.","node":"e1","part":"gateway","request":"q7","kind":"served","took":1250000000,"attempts":2}
{"time":"2026-12-04T10:00:02.1Z","level":"INFO","msg":"Request answered.","node":"e1","part":"gateway","request":"q8","kind":"served"}
`,
	"c1.log": `  1.20 c1 {"time":"2026-12-04T10:00:01Z","level":"INFO","msg":"Acting as coordinator.","node":"c1","part":"coordinator","token":4}
panic: no JSON
  9.90 c1 {"time":"2026-12-04T11:00:00Z","level":"INFO","msg":"Acting as coordinator ended.","node":"c1","part":"coordinator","token":4}
`,
}

func runTrace(t *testing.T, args ...string) (int, string, string) {
	t.Helper()
	dir := t.TempDir()
	all := append([]string{"trace"}, args...)
	for name, text := range traceLogs {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		all = append(all, path)
	}
	var out, errOut bytes.Buffer
	code := Run(context.Background(), all, &out, &errOut)
	return code, out.String(), errOut.String()
}

func TestTrace_RequestID(t *testing.T) {
	is := is.New(t)
	code, out, _ := runTrace(t, "q7")
	is.Equal(code, ExitOK)
	lines := strings.Split(strings.TrimSpace(out), "\n")
	is.Equal(len(lines), 2)
	is.True(strings.Contains(lines[0], "Attempt failed. request=q7 unsent=true upstream=u1"))
	is.True(strings.Contains(lines[1], "took=1.25s"))
}

func TestTrace_Around(t *testing.T) {
	is := is.New(t)
	_, out, _ := runTrace(t, "--around", "q7")
	is.True(strings.Contains(strings.Split(out, "\n")[0], "Acting as coordinator. token=4"))
	is.True(!strings.Contains(out, "Acting as coordinator ended"))
}

func TestTrace_UnknownSubject(t *testing.T) {
	is := is.New(t)
	code, _, errOut := runTrace(t, "nobody")
	is.Equal(code, ExitUsage)
	is.True(strings.Contains(errOut, "nobody"))
}
