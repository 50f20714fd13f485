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

// protocol is the ALPN name; it changes when messages become incompatible.
const protocol = "bilberrywood/1"

// identity is what an entry proves to its peers and checks of them.
type identity struct {
	certificate tls.Certificate
	authorities *x509.CertPool
	// anybody accepts certificates of any issuer; only their names are checked.
	anybody bool
	// resetSeed replaces the private key in the key for resets if it is not nil.
	resetSeed []byte
}

// newIdentity reads the PEM files, or makes a certificate for this process if none are named.
func newIdentity(files TLSFiles, id fleet.EntryID) (*identity, error) {
	if files == (TLSFiles{}) {
		return ephemeralIdentity(id)
	}
	return loadIdentity(files, id)
}

// ephemeralIdentity makes a key and a certificate that nobody vouches for. Connections are encrypted, but any
// process that reaches the entry can take any name.
func ephemeralIdentity(id fleet.EntryID) (*identity, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errorClass.Wrap(err)
	}
	leaf := template(string(id))
	leaf.KeyUsage = x509.KeyUsageDigitalSignature
	leaf.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, leaf, leaf, &key.PublicKey, key)
	if err != nil {
		return nil, errorClass.Wrap(err)
	}
	certificate := tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}
	return &identity{certificate: certificate, anybody: true, resetSeed: []byte(id)}, nil
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
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(pem) {
		return nil, errorClass.New("%s holds no certificate", files.CA)
	}
	if certificate.Leaf == nil || !namedBy(certificate.Leaf, id) {
		return nil, errorClass.New("certificate %s does not name entry %q", files.Certificate, id)
	}
	return &identity{certificate: certificate, authorities: authorities}, nil
}

// nameOf returns the entry that a certificate names: its common name, else its first DNS name.
func nameOf(c *x509.Certificate) fleet.EntryID {
	if c.Subject.CommonName != "" || len(c.DNSNames) == 0 {
		return fleet.EntryID(c.Subject.CommonName)
	}
	return fleet.EntryID(c.DNSNames[0])
}

func namedBy(c *x509.Certificate, id fleet.EntryID) bool {
	return id != "" && (c.Subject.CommonName == string(id) || slices.Contains(c.DNSNames, string(id)))
}

// verify checks the chain and the name of a peer. An empty want accepts every name. crypto/tls can't
// do this for servers by itself, because it ignores common names.
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
		Roots:         n.authorities,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{usage},
	}
	if _, err := leaf.Verify(options); err != nil && !n.anybody {
		return errorClass.Wrap(err)
	}
	if want == "" && nameOf(leaf) == "" || want != "" && !namedBy(leaf, want) {
		return errorClass.New("certificate names %q, expected %q", nameOf(leaf), want)
	}
	return nil
}

func (n *identity) serverConfig() *tls.Config {
	return &tls.Config{
		Certificates:           []tls.Certificate{n.certificate},
		ClientAuth:             tls.RequireAnyClientCert,
		MinVersion:             tls.VersionTLS13,
		NextProtos:             []string{protocol},
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
		NextProtos:   []string{protocol},
		ServerName:   string(to),
		// VerifyConnection checks the chain and the name instead.
		InsecureSkipVerify: true,
		VerifyConnection: func(s tls.ConnectionState) error {
			return n.verify(s, x509.ExtKeyUsageServerAuth, to)
		},
	}
}

// resetKey is the same for all processes with this certificate, so that a restarted entry can reset
// the connections of its former process at once.
func (n *identity) resetKey() *quic.StatelessResetKey {
	raw := n.resetSeed
	if raw == nil {
		var err error
		if raw, err = x509.MarshalPKCS8PrivateKey(n.certificate.PrivateKey); err != nil {
			return nil
		}
	}
	key := quic.StatelessResetKey(sha256.Sum256(append([]byte(protocol+" stateless reset\x00"), raw...)))
	return &key
}
