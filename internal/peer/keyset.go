package peer

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"os"

	"galenatrestle/internal/errs"
)

// The steps of reading keys, as named in errors.
const (
	stepReadKeys  = "read peer keys"
	stepParseKeys = "parse peer keys"
)

var errNoAuthority = errors.New("no certificate of an authority in the file")

// keySet is one reading of the key files.
type keySet struct {
	generation  int64
	certificate tls.Certificate
	authorities *x509.CertPool
	// raw is the files' content, to see changes.
	raw [3][]byte
}

// same reports whether the files' content is that of the other reading.
func (k *keySet) same(other *keySet) bool {
	for i := range k.raw {
		if !bytes.Equal(k.raw[i], other.raw[i]) {
			return false
		}
	}
	return true
}

// readKeySet reads and checks the files. The error names the file.
func readKeySet(files KeyFiles) (*keySet, error) {
	set := &keySet{authorities: x509.NewCertPool()}
	for i, name := range []string{files.Certificate, files.Key, files.Authorities} {
		raw, err := os.ReadFile(name)
		if err != nil {
			return nil, errs.Wrap(errs.Settings, err, stepReadKeys, name)
		}
		set.raw[i] = raw
	}
	certificate, err := tls.X509KeyPair(set.raw[0], set.raw[1])
	if err != nil {
		return nil, errs.Wrap(errs.Settings, err, stepParseKeys, files.Certificate)
	}
	set.certificate = certificate
	if !set.authorities.AppendCertsFromPEM(set.raw[2]) {
		return nil, errs.Wrap(errs.Settings, errNoAuthority, stepParseKeys, files.Authorities)
	}
	return set, nil
}
