package settings

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const validSettings = `
[node]
id = "a1"
zone = "tay-a"
address = "127.0.0.1:7001"
data_dir = "data"
roles = ["control", "entry"]

[control]
cluster = "kestrel"
peers = [{id = "a1", address = "127.0.0.1:7001", zone = "tay-a"}]

[entry]
listen = "127.0.0.1:8001"
cell = "tay"
`

func TestParse_Defaults(t *testing.T) {
	is := is.New(t)
	s, err := Parse([]byte(validSettings))
	is.NoErr(err)
	is.Equal(s.Control.LeaseTTL, Default().Control.LeaseTTL)
	is.True(s.HasRole(RoleEntry))
	is.True(!s.HasRole(RoleScheduler))
}

func TestParse_InvalidFile(t *testing.T) {
	tests := []struct{ name, from, to, want string }{
		{"unknown field", `zone = "tay-a"` + "\naddress", "zoen = \"x\"\naddress", "line 4: unknown field node.zoen"},
		{"unknown role", `"entry"]`, `"relay"]`, "node.roles"},
		{"address without port", `"127.0.0.1:8001"`, `"127.0.0.1"`, "entry.listen"},
		{"empty data folder", `data_dir = "data"`, "", "node.data_dir"},
		{"header timeout of 0", `[entry]`, "[http]\nheader_timeout = \"0s\"\n[entry]", "http.header_timeout"},
		{"no pipelined requests", `[entry]`, "[http]\nmax_pipelined = 0\n[entry]", "http.max_pipelined"},
		{"too few unsent bytes", `[entry]`, "[http]\nmax_unsent_bytes = 1\n[entry]", "http.max_unsent_bytes"},
		{"callers' memory above the node's", `[control]`, "memory_mb = 100\n[http]\nmemory_mb = 101\n[control]", "http.memory_mb"},
		{"connections above the descriptors", `[control]`, "max_files = 100\n[http]\nmax_connections = 101\n[control]", "http.max_connections"},
		{"wrong type", `id = "a1"` + "\nzone", "id = 5\nzone", "line 3"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			_, err := Parse([]byte(strings.Replace(validSettings, tt.from, tt.to, 1)))
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), tt.want)) // the error names the field or line
		})
	}
}

func TestParse_RevokeAfter(t *testing.T) {
	is := is.New(t)
	text := strings.Replace(validSettings, `roles = ["control", "entry"]`, `roles = ["control", "gateway"]`, 1) +
		"[gateway]\nlisten = \"127.0.0.1:8002\"\nready = \"127.0.0.1:8003\"\n"
	s, err := Parse([]byte(text + "fail_closed = true\nrevoke_after = \"700ms\"\n"))
	is.NoErr(err)
	is.True(s.Gateway.FailClosed)
	is.Equal(time.Duration(s.Gateway.RevokeAfter), 700*time.Millisecond)
	for _, invalid := range []string{"-1ms", "25h"} {
		_, err = Parse([]byte(text + "revoke_after = \"" + invalid + "\"\n"))
		is.True(err != nil)
		is.True(strings.Contains(err.Error(), "gateway.revoke_after"))
	}
}

func TestParse_OperatorListenerWithoutToken(t *testing.T) {
	is := is.New(t)
	_, err := Parse([]byte(validSettings + "\n[operator]\nlisten = \"127.0.0.1:9001\"\n"))
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "operator.token_file"))
}
