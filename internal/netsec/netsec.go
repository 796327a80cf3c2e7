// Package netsec provides the credentials of connections: mutual TLS between nodes, and a
// bearer token over TLS on the operators' listener.
package netsec

import (
	"context"
	"crypto/subtle"
	"crypto/tls"
	"crypto/x509"
	"os"
	"strings"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"gentiankeel/internal/settings"
)

const tokenHeader = "authorization"

// minTokenLength is the minimum length of an operators' token, in bytes.
const minTokenLength = 16

// NodeCredentials returns the server and client credentials of connections between nodes:
// mutual TLS if the files are set, plain TCP otherwise.
func NodeCredentials(t settings.TLS) (server, client credentials.TransportCredentials, err error) {
	if !t.Enabled() {
		return insecure.NewCredentials(), insecure.NewCredentials(), nil
	}
	cert, err := tls.LoadX509KeyPair(t.Cert, t.Key)
	if err != nil {
		return nil, nil, errors.Wrap(err, "loading the certificate")
	}
	pool, err := loadPool(t.CA)
	if err != nil {
		return nil, nil, err
	}
	server = credentials.NewTLS(&tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{cert},
		ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: pool})
	client = credentials.NewTLS(&tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{cert}, RootCAs: pool})
	return server, client, nil
}

// OperatorCredentials returns the server credentials of the operators' listener: TLS
// without client certificates if the files are set, plain TCP otherwise.
func OperatorCredentials(t settings.TLS) (credentials.TransportCredentials, error) {
	if !t.Enabled() {
		return insecure.NewCredentials(), nil
	}
	cert, err := tls.LoadX509KeyPair(t.Cert, t.Key)
	if err != nil {
		return nil, errors.Wrap(err, "loading the certificate")
	}
	return credentials.NewTLS(&tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{cert}}), nil
}

// OperatorDialOption returns the dial option for connections to the operators' listener: TLS
// verified against the certificate authority in the file ca, plain TCP if ca is empty.
func OperatorDialOption(ca string) (grpc.DialOption, error) {
	if ca == "" {
		return grpc.WithTransportCredentials(insecure.NewCredentials()), nil
	}
	pool, err := loadPool(ca)
	if err != nil {
		return nil, err
	}
	creds := credentials.NewTLS(&tls.Config{MinVersion: tls.VersionTLS13, RootCAs: pool})
	return grpc.WithTransportCredentials(creds), nil
}

func loadPool(path string) (*x509.CertPool, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "reading the certificate authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, errors.Errorf("%s contains no certificate", path)
	}
	return pool, nil
}

// ReadToken reads an operators' token from a file, without surrounding white space. It
// fails if the token is shorter than minTokenLength.
func ReadToken(path string) (string, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return "", errors.Wrap(err, "reading the token")
	}
	token := strings.TrimSpace(string(data))
	if len(token) < minTokenLength {
		return "", errors.Errorf("%s: the token must have at least %d bytes", path, minTokenLength)
	}
	return token, nil
}

type bearerToken string

// GetRequestMetadata implements credentials.PerRPCCredentials.
func (b bearerToken) GetRequestMetadata(context.Context, ...string) (map[string]string, error) {
	return map[string]string{tokenHeader: "Bearer " + string(b)}, nil
}

// RequireTransportSecurity implements credentials.PerRPCCredentials. TLS is optional, since
// a listener on loopback does not need it.
func (bearerToken) RequireTransportSecurity() bool { return false }

// WithToken returns a dial option that sends the token with each call.
func WithToken(token string) grpc.DialOption { return grpc.WithPerRPCCredentials(bearerToken(token)) }

// RequireToken returns interceptors that refuse calls without the token as Unauthenticated.
func RequireToken(token string) []grpc.ServerOption {
	check := func(ctx context.Context) error {
		md, _ := metadata.FromIncomingContext(ctx)
		for _, v := range md.Get(tokenHeader) {
			if subtle.ConstantTimeCompare([]byte(v), []byte("Bearer "+token)) == 1 {
				return nil
			}
		}
		return status.Error(codes.Unauthenticated, "the operators' token is missing or wrong")
	}
	return []grpc.ServerOption{
		grpc.ChainUnaryInterceptor(func(ctx context.Context, req any, _ *grpc.UnaryServerInfo, h grpc.UnaryHandler) (any, error) {
			if err := check(ctx); err != nil {
				return nil, err
			}
			return h(ctx, req)
		}),
		grpc.ChainStreamInterceptor(func(srv any, ss grpc.ServerStream, _ *grpc.StreamServerInfo, h grpc.StreamHandler) error {
			if err := check(ss.Context()); err != nil {
				return err
			}
			return h(srv, ss)
		}),
	}
}
