package capacity

import (
	"fmt"
	"log/slog"
	"net"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"gentiankeel/internal/control"
	"gentiankeel/internal/replica"
	"gentiankeel/internal/replica/replicatest"
	"gentiankeel/internal/spec"
	"gentiankeel/internal/wire"
)

// fileSize is the number of models and adapters in an applied file.
type fileSize struct{ models, adapters int }

var (
	sizeCurrent = fileSize{50, 60}
	sizeMedium  = fileSize{200, 6000}
	sizeTarget  = fileSize{750, 39000}
)

func (s fileSize) String() string { return fmt.Sprintf("models=%d/adapters=%d", s.models, s.adapters) }

// render returns an applied file of the size. The replicas of its first model depend on the
// version, so that consecutive versions differ in one model.
func (s fileSize) render(version int) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "name = \"fleet\"\nversion = %d\n", version)
	for i := range s.models {
		replicas := 4
		if i == 0 {
			replicas = 1 + version%4
		}
		fmt.Fprintf(&b, "[[models]]\nname = \"model-%04d\"\nversion = \"1\"\nreplicas = %d\nmemory_mib = 6000\n", i, replicas)
	}
	for i := range s.adapters {
		fmt.Fprintf(&b, "[[adapters]]\nname = \"adapter-%05d\"\nmodel = \"model-%04d\"\nversion = \"1\"\nmemory_mib = 64\n", i, i%s.models)
	}
	return []byte(b.String())
}

// startControl serves a control server with an in-memory log and returns it with its
// address.
func startControl(b *testing.B) (*control.Server, string) {
	b.Helper()
	s, err := control.New(control.Options{
		NodeID: "c1", LeaseTTL: time.Minute,
		Logger: slog.New(slog.DiscardHandler), Registerer: prometheus.NewRegistry(),
		OpenReplica: func(sm replica.StateMachine) (control.Replica, error) { return replicatest.New(sm), nil },
	})
	if err != nil {
		b.Fatal(err)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	g := grpc.NewServer()
	s.Register(g)
	go func() { _ = g.Serve(ln) }()
	b.Cleanup(func() {
		g.Stop()
		_ = s.Close()
	})
	return s, ln.Addr().String()
}

func applyFile(b *testing.B, s *control.Server, sz fileSize, version int) {
	b.Helper()
	f := sz.render(version)
	rec, err := s.Operator().Apply(b.Context(), &wire.ApplyRequest{
		File: f, Version: uint64(version), Digest: spec.Digest(f), Who: "bench"})
	if err != nil || rec.Outcome != wire.ApplyOutcome_APPLY_ACCEPTED {
		b.Fatalf("apply %d: %v, %v", version, rec, err)
	}
}

func connect(b *testing.B, addr string) *grpc.ClientConn {
	b.Helper()
	conn, err := grpc.NewClient(addr, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { conn.Close() })
	return conn
}

// cpuTime returns the user and system CPU time of this process.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// liveHeap collects garbage and returns the size of the live heap in bytes.
func liveHeap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
