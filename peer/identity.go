package peer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"os"
	"slices"

	"github.com/quic-go/quic-go"

	"github.com/bilberrywood/bilberrywood/fleet"
)

// alpnProtocol is the ALPN name. It changes when messages become incompatible.
const alpnProtocol = "bilberrywood/1"

// identity is the certificate that an entry presents to its peers, and what it checks of theirs.
type identity struct {
	certificate tls.Certificate
	roots       *x509.CertPool
	// anyIssuer accepts certificates of any issuer. Only their names are checked.
	anyIssuer bool
	// resetKeySeed, if not nil, replaces the private key as the input of resetKey.
	resetKeySeed []byte
}

// newIdentity reads the PEM files. If none are named, it creates a certificate for this process.
func newIdentity(files TLSFiles, id fleet.EntryID) (*identity, error) {
	if files == (TLSFiles{}) {
		return ephemeralIdentity(id)
	}
	return loadIdentity(files, id)
}

// ephemeralIdentity creates a key and a self-signed certificate. Connections are encrypted, but any process
// that can reach the entry can present any name.
func ephemeralIdentity(id fleet.EntryID) (*identity, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errorClass.Wrap(err)
	}
	leaf := certificateTemplate(string(id))
	leaf.KeyUsage = x509.KeyUsageDigitalSignature
	leaf.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, leaf, leaf, &key.PublicKey, key)
	if err != nil {
		return nil, errorClass.Wrap(err)
	}
	certificate := tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}
	return &identity{certificate: certificate, anyIssuer: true, resetKeySeed: []byte(id)}, nil
}

// loadIdentity reads the PEM files and checks that the certificate names the entry.
func loadIdentity(files TLSFiles, id fleet.EntryID) (*identity, error) {
	certificate, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	if err != nil {
		return nil, errorClass.Wrap(err)
	}
	pem, err := os.ReadFile(files.CA)
	if err != nil {
		return nil, errorClass.Wrap(err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, errorClass.New("%s holds no certificate", files.CA)
	}
	if certificate.Leaf == nil || !certificateNames(certificate.Leaf, id) {
		return nil, errorClass.New("certificate %s does not name entry %q", files.Certificate, id)
	}
	return &identity{certificate: certificate, roots: roots}, nil
}

// certificateID returns the entry that a certificate names: its common name, or its first DNS name if that is
// empty.
func certificateID(c *x509.Certificate) fleet.EntryID {
	if c.Subject.CommonName != "" || len(c.DNSNames) == 0 {
		return fleet.EntryID(c.Subject.CommonName)
	}
	return fleet.EntryID(c.DNSNames[0])
}

// certificateNames reports whether a certificate names the entry.
func certificateNames(c *x509.Certificate, id fleet.EntryID) bool {
	return id != "" && (c.Subject.CommonName == string(id) || slices.Contains(c.DNSNames, string(id)))
}

// verify checks the certificate chain and the name of a peer. An empty want accepts every name. crypto/tls
// can't check servers this way, because it ignores common names.
func (n *identity) verify(state tls.ConnectionState, usage x509.ExtKeyUsage, want fleet.EntryID) error {
	if len(state.PeerCertificates) == 0 {
		return errorClass.New("peer sent no certificate")
	}
	leaf := state.PeerCertificates[0]
	intermediates := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	options := x509.VerifyOptions{
		Roots:         n.roots,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{usage},
	}
	if _, err := leaf.Verify(options); err != nil && !n.anyIssuer {
		return errorClass.Wrap(err)
	}
	if want == "" && certificateID(leaf) == "" || want != "" && !certificateNames(leaf, want) {
		return errorClass.New("certificate names %q, expected %q", certificateID(leaf), want)
	}
	return nil
}

func (n *identity) serverConfig() *tls.Config {
	return &tls.Config{
		Certificates:           []tls.Certificate{n.certificate},
		ClientAuth:             tls.RequireAnyClientCert,
		MinVersion:             tls.VersionTLS13,
		NextProtos:             []string{alpnProtocol},
		SessionTicketsDisabled: true,
		VerifyConnection: func(s tls.ConnectionState) error {
			return n.verify(s, x509.ExtKeyUsageClientAuth, "")
		},
	}
}

func (n *identity) clientConfig(to fleet.EntryID) *tls.Config {
	return &tls.Config{
		Certificates: []tls.Certificate{n.certificate},
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{alpnProtocol},
		ServerName:   string(to),
		// VerifyConnection replaces the default check of the chain and the name.
		InsecureSkipVerify: true,
		VerifyConnection: func(s tls.ConnectionState) error {
			return n.verify(s, x509.ExtKeyUsageServerAuth, to)
		},
	}
}

// resetKey returns the key for stateless resets. It is the same for all processes with this certificate, so
// that a restarted entry can reset the connections of its former process at once.
func (n *identity) resetKey() *quic.StatelessResetKey {
	raw := n.resetKeySeed
	if raw == nil {
		var err error
		if raw, err = x509.MarshalPKCS8PrivateKey(n.certificate.PrivateKey); err != nil {
			return nil
		}
	}
	key := quic.StatelessResetKey(sha256.Sum256(append([]byte(alpnProtocol+" stateless reset\x00"), raw...)))
	return &key
}
