package netsec

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"gentiankeel/internal/settings"
	"gentiankeel/internal/wire"
)

// writeTestCerts writes a self-signed certificate, which serves as its own authority, and
// its key.
func writeTestCerts(t *testing.T) settings.TLS {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "node"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	cert, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	keyBytes, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	write := func(name, kind string, data []byte) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data}), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	certPath := write("cert.pem", "CERTIFICATE", cert)
	return settings.TLS{Cert: certPath, Key: write("key.pem", "EC PRIVATE KEY", keyBytes), CA: certPath}
}

// serve starts an operators' server without implemented methods and returns its address.
func serve(t *testing.T, creds credentials.TransportCredentials, opts ...grpc.ServerOption) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := grpc.NewServer(append(opts, grpc.Creds(creds))...)
	wire.RegisterOperatorServer(g, wire.UnimplementedOperatorServer{})
	go func() { _ = g.Serve(ln) }()
	t.Cleanup(g.Stop)
	return ln.Addr().String()
}

// call returns the status code of a call; Unimplemented means that the server accepted it.
func call(t *testing.T, addr string, opts ...grpc.DialOption) codes.Code {
	t.Helper()
	conn, err := grpc.NewClient(addr, opts...)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_, err = wire.NewOperatorClient(conn).Status(context.Background(), &wire.StatusRequest{})
	return status.Code(err)
}

func TestNodeCredentials_UntrustedPeers(t *testing.T) {
	is := is.New(t)
	files := writeTestCerts(t)
	server, client, err := NodeCredentials(files)
	is.NoErr(err)
	addr := serve(t, server)
	is.Equal(call(t, addr, grpc.WithTransportCredentials(client)), codes.Unimplemented)
	noCert, err := OperatorDialOption(files.CA)
	is.NoErr(err)
	is.Equal(call(t, addr, noCert), codes.Unavailable)
	is.Equal(call(t, addr, grpc.WithTransportCredentials(insecure.NewCredentials())), codes.Unavailable)
	_, untrusted, err := NodeCredentials(writeTestCerts(t))
	is.NoErr(err)
	is.Equal(call(t, addr, grpc.WithTransportCredentials(untrusted)), codes.Unavailable)
}

func TestOperatorCredentials_TokensOverTLS(t *testing.T) {
	is := is.New(t)
	files := writeTestCerts(t)
	creds, err := OperatorCredentials(files)
	is.NoErr(err)
	addr := serve(t, creds, RequireToken("a-token-for-operators")...)
	dialOpt, err := OperatorDialOption(files.CA)
	is.NoErr(err)
	is.Equal(call(t, addr, dialOpt, WithToken("a-token-for-operators")), codes.Unimplemented)
	is.Equal(call(t, addr, dialOpt, WithToken("another-token-of-mine")), codes.Unauthenticated)
	is.Equal(call(t, addr, dialOpt), codes.Unauthenticated)
}

func TestReadToken_TooShort(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "token")
	is.NoErr(os.WriteFile(path, []byte("short\n"), 0o600))
	_, err := ReadToken(path)
	is.True(err != nil)
}
