package control

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"
	"google.golang.org/grpc/test/bufconn"

	"gentiankeel/internal/replica"
	"gentiankeel/internal/replica/replicatest"
	"gentiankeel/internal/spec"
	"gentiankeel/internal/state"
	"gentiankeel/internal/wire"
)

const testTTL = 3 * time.Second

func newServer(t *testing.T) (*Server, *replicatest.Log) {
	t.Helper()
	var log *replicatest.Log
	s, err := New(Options{
		NodeID: "c1", LeaseTTL: testTTL,
		Logger: slog.New(slog.DiscardHandler), Registerer: prometheus.NewRegistry(),
		OpenReplica: func(sm replica.StateMachine) (Replica, error) {
			log = replicatest.New(sm)
			return log, nil
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	return s, log
}

func testFile(version, replicas int) []byte {
	return fmt.Appendf(nil, `
name = "t"
version = %d
[[models]]
name = "m"
version = "1"
replicas = %d
memory_mib = 100
`, version, replicas)
}

func applyFile(t *testing.T, s *Server, version, replicas int) *wire.FileRecord {
	t.Helper()
	f := testFile(version, replicas)
	rec, err := s.Operator().Apply(t.Context(), &wire.ApplyRequest{
		File: f, Version: uint64(version), Digest: spec.Digest(f), Who: "op"})
	if err != nil {
		t.Fatal(err)
	}
	return rec
}

func grantLease(t *testing.T, s *Server, name, holder string) *wire.Result {
	t.Helper()
	res, err := s.Propose(t.Context(), &wire.Command{Op: &wire.Command_GrantLease{GrantLease: &wire.GrantLease{
		Name: name, Holder: holder, Address: "127.0.0.1:1", TtlMs: uint32(testTTL / time.Millisecond)}}})
	if err != nil {
		t.Fatal(err)
	}
	return res
}

func TestApply_SameFileResent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, _ := newServer(t)
		defer s.Close()
		first := applyFile(t, s, 1, 1)
		is.Equal(first.Outcome, wire.ApplyOutcome_APPLY_ACCEPTED)
		again := applyFile(t, s, 1, 1)
		is.Equal(again.Outcome, wire.ApplyOutcome_APPLY_SAME)
		is.Equal(again.Index, first.Index)
		other := applyFile(t, s, 1, 2)
		is.Equal(other.Outcome, wire.ApplyOutcome_APPLY_REFUSED_CONFLICT)
		is.Equal(other.AcceptedDigest, first.Digest)
	})
}

func TestPropose_FileOnNodeListener(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, _ := newServer(t)
		defer s.Close()
		plain := &wire.Command{Op: &wire.Command_ApplyFile{ApplyFile: &wire.ApplyFile{}}}
		batch := &wire.Command{Op: &wire.Command_Batch{Batch: &wire.Batch{Commands: []*wire.Command{plain}}}}
		compressed := &wire.Command{Op: &wire.Command_Gzip{Gzip: []byte("anything")}}
		for _, cmd := range []*wire.Command{plain, batch, compressed} {
			_, err := s.Propose(t.Context(), cmd)
			is.Equal(status.Code(err), codes.PermissionDenied)
		}
	})
}

func TestLease_RenewedAndExpired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, _ := newServer(t)
		defer s.Close()
		time.Sleep(time.Second) // until the lease loop has detected the leadership
		kept := grantLease(t, s, SchedulerLeaseName("tay"), "a")
		grantLease(t, s, SessionLeaseName("e1"), "e1")
		for range 8 {
			time.Sleep(testTTL / 2)
			_, err := s.KeepAlive(t.Context(), &wire.KeepAliveRequest{Leases: []*wire.Lease{kept.Lease}})
			is.NoErr(err)
		}
		is.True(s.state.Lease(SchedulerLeaseName("tay")) != nil)
		is.Equal(s.state.Lease(SessionLeaseName("e1")), nil)
		is.Equal(grantLease(t, s, SchedulerLeaseName("tay"), "b").Code, wire.ResultCode_RESULT_HELD)
	})
}

func TestLease_EntrySessionExpiresDuringCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, _ := newServer(t)
		defer s.Close()
		time.Sleep(time.Second)
		grantLease(t, s, SessionLeaseName("e1"), "e1")
		begin := func(attempt, entry string) *wire.Result {
			res, err := s.Propose(t.Context(), &wire.Command{Op: &wire.Command_LedgerBegin{LedgerBegin: &wire.LedgerBegin{
				Caller: "c", Key: "k", Digest: strings.Repeat("d", 64), Attempt: attempt, Entry: entry, DeadlineMs: 600_000}}})
			is.NoErr(err)
			return res
		}
		is.Equal(begin("a1", "e1").Ledger, wire.LedgerStatus_LEDGER_NEW)
		is.Equal(begin("a2", "e2").Ledger, wire.LedgerStatus_LEDGER_IN_PROGRESS)
		time.Sleep(2 * testTTL)
		is.Equal(begin("a3", "e2").Ledger, wire.LedgerStatus_LEDGER_UNKNOWN)
	})
}

func TestKeepAlive_FormerLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, log := newServer(t)
		defer s.Close()
		time.Sleep(time.Second)
		l := grantLease(t, s, SchedulerLeaseName("tay"), "a")
		log.SetLeader(false)
		_, err := s.KeepAlive(t.Context(), &wire.KeepAliveRequest{Leases: []*wire.Lease{l.Lease}})
		is.Equal(status.Code(err), codes.FailedPrecondition)
	})
}

// openWatch opens a watch over an in-memory connection, starting after the given index.
func openWatch(t *testing.T, s *Server, after uint64) grpc.ServerStreamingClient[wire.Delta] {
	t.Helper()
	ln := bufconn.Listen(1 << 20)
	g := grpc.NewServer()
	s.Register(g)
	go func() { _ = g.Serve(ln) }()
	t.Cleanup(g.Stop)
	conn, err := grpc.NewClient("passthrough:x", grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(func(ctx context.Context, _ string) (net.Conn, error) { return ln.DialContext(ctx) }))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	w, err := wire.NewControlClient(conn).Watch(t.Context(), &wire.WatchRequest{Node: "n", AfterIndex: after})
	if err != nil {
		t.Fatal(err)
	}
	return w
}

func TestWatch_WatcherFarBehind(t *testing.T) {
	is := is.New(t)
	s, _ := newServer(t)
	defer s.Close()
	first := applyFile(t, s, 1, 1)
	var last *wire.FileRecord
	for v := 2; v <= 300; v++ {
		last = applyFile(t, s, v, v%5)
	}
	d, err := openWatch(t, s, first.Index).Recv()
	is.NoErr(err)
	is.Equal(d.Index, last.Index)
	is.Equal(d.Spec.Version, uint64(300)) // 299 changes in one delta
	is.Equal(len(d.Spec.PutModels), 1)
}

func TestWatch_EntrySessionsOmitted(t *testing.T) {
	is := is.New(t)
	s, _ := newServer(t)
	defer s.Close()
	applyFile(t, s, 1, 1)
	grantLease(t, s, SessionLeaseName("e1"), "e1")
	grantLease(t, s, SchedulerLeaseName("tay"), "a")
	d, err := openWatch(t, s, 0).Recv()
	is.NoErr(err)
	is.Equal(len(d.PutLeases), 1)
	is.Equal(d.PutLeases[0].Name, SchedulerLeaseName("tay"))
}

func TestApply_FileTooLarge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, _ := newServer(t)
		defer s.Close()
		before := s.state.Index()
		_, err := s.Operator().Apply(t.Context(), &wire.ApplyRequest{File: make([]byte, spec.MaxFileBytes+1), Version: 1})
		is.Equal(status.Code(err), codes.InvalidArgument)
		is.Equal(s.state.Index(), before) // nothing was proposed
	})
}

// Guards against a record of the software that counts as complete, though a build that keeps none has led since.
func TestStateMachine_EarlierBuildLeads(t *testing.T) {
	is := is.New(t)
	st := state.New(state.Options{})
	m := newStateMachine(st)
	data, err := EncodeCommand(&wire.Command{Op: &wire.Command_RecordSoftware{RecordSoftware: &wire.RecordSoftware{
		Record: &wire.SoftwareRecord{Token: 1, Complete: true, Versions: []*wire.ServiceSoftware{{Service: "s", Version: "v1"}}}}}})
	is.NoErr(err)
	m.Apply(1, data)
	m.StartTerm(2, m.TermData())
	is.Equal(len(st.Software().GetVersions()), 1)
	m.StartTerm(1, nil) // applied before
	is.Equal(len(st.Software().GetVersions()), 1)
	m.StartTerm(3, nil)
	is.Equal(st.Software(), (*wire.SoftwareRecord)(nil))
}
