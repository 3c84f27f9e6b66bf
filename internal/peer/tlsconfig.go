package peer

import (
	"crypto/tls"
	"crypto/x509"
)

// protocolHTTP2 is the ALPN name of HTTP/2.
const protocolHTTP2 = "h2"

// serverTLS returns the listener's configuration. Each handshake uses the keys
// as last read. The chain is checked here and not by the library's own client
// authentication, so that each refusal is counted by its reason.
func (k *Keys) serverTLS(refused func(error)) *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		NextProtos:             []string{protocolHTTP2},
		ClientAuth:             tls.RequestClientCert,
		SessionTicketsDisabled: true,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &k.current.Load().certificate, nil
		},
		VerifyConnection: func(state tls.ConnectionState) error {
			err := k.current.Load().verify(state.PeerCertificates, x509.ExtKeyUsageClientAuth)
			if err != nil {
				refused(err)
			}
			return err
		},
	}
}

// clientTLS returns the configuration of outgoing connections. The library's
// own check reads the authorities once; it is replaced by VerifyConnection,
// which checks the chain and the name against the keys as last read.
func (k *Keys) clientTLS() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		NextProtos:         []string{protocolHTTP2},
		ServerName:         NodeName,
		InsecureSkipVerify: true,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &k.current.Load().certificate, nil
		},
		VerifyConnection: func(state tls.ConnectionState) error {
			return k.current.Load().verify(state.PeerCertificates, x509.ExtKeyUsageServerAuth)
		},
	}
}
