package peer

import (
	"crypto/x509"
	"errors"
)

// The reasons for which a peer is refused, as counted.
const (
	refusedNoCertificate = "no_certificate"
	refusedAuthority     = "unknown_authority"
	refusedName          = "wrong_name"
	refusedExpired       = "expired"
	refusedInvalid       = "invalid_certificate"
)

var errNoCertificate = errors.New("the peer showed no certificate")

// verify checks a peer's chain, leaf first, against the authorities and the
// name that every node carries.
func (k *keySet) verify(chain []*x509.Certificate, usage x509.ExtKeyUsage) error {
	if len(chain) == 0 {
		return errNoCertificate
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range chain[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := chain[0].Verify(x509.VerifyOptions{
		DNSName:       NodeName,
		Roots:         k.authorities,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{usage},
	})
	return err
}

// refusedReason returns the counter's label for an error of verify.
func refusedReason(err error) string {
	var (
		authority x509.UnknownAuthorityError
		name      x509.HostnameError
		invalid   x509.CertificateInvalidError
	)
	switch {
	case errors.Is(err, errNoCertificate):
		return refusedNoCertificate
	case errors.As(err, &authority):
		return refusedAuthority
	case errors.As(err, &name):
		return refusedName
	case errors.As(err, &invalid) && invalid.Reason == x509.Expired:
		return refusedExpired
	default:
		return refusedInvalid
	}
}
