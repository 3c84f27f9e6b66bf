package peer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"log"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// authority is a certificate authority in memory.
type authority struct {
	t           testing.TB
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	serial      int64
}

func newAuthority(t testing.TB, name string) *authority {
	t.Helper()
	a := &authority{t: t, key: newKey(t), serial: 1}
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(a.serial),
		Subject:               pkix.Name{CommonName: name},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, template, a.key.Public(), a.key)
	check(t, err)
	a.certificate, err = x509.ParseCertificate(raw)
	check(t, err)
	return a
}

// leaf is what a test asks of a node's certificate.
type leaf struct {
	name     string
	lifetime time.Duration
}

var nodeLeaf = leaf{name: NodeName, lifetime: time.Hour}

// write signs a leaf and writes the three files into dir; trusted authorities
// come into the third.
func (a *authority) write(dir string, want leaf, trusted ...*authority) KeyFiles {
	a.t.Helper()
	a.serial++
	key := newKey(a.t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(a.serial),
		Subject:      pkix.Name{CommonName: want.name},
		DNSNames:     []string{want.name},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(want.lifetime),
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, a.certificate, key.Public(), a.key)
	check(a.t, err)
	rawKey, err := x509.MarshalPKCS8PrivateKey(key)
	check(a.t, err)
	files := KeyFiles{
		Certificate: filepath.Join(dir, "node.crt"),
		Key:         filepath.Join(dir, "node.key"),
		Authorities: filepath.Join(dir, "authorities.crt"),
	}
	writePEM(a.t, files.Certificate, "CERTIFICATE", raw)
	writePEM(a.t, files.Key, "PRIVATE KEY", rawKey)
	var bundle [][]byte
	for _, one := range trusted {
		bundle = append(bundle, one.certificate.Raw)
	}
	writePEM(a.t, files.Authorities, "CERTIFICATE", bundle...)
	return files
}

func newKey(t testing.TB) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	check(t, err)
	return key
}

func writePEM(t testing.TB, name, kind string, blocks ...[]byte) {
	t.Helper()
	var out []byte
	for _, block := range blocks {
		out = append(out, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: block})...)
	}
	check(t, os.WriteFile(name, out, 0o600))
}

func check(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// quietLog drops the listener's lines on refused handshakes.
func quietLog() *log.Logger { return log.New(io.Discard, "", 0) }
