package peer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"github.com/bilberrywood/bilberrywood/fleet"
)

// TLSFiles names the PEM files of an entry.
type TLSFiles struct {
	CA, Certificate, Key string
}

// DevelopmentTLSFiles returns the names of the files that WriteDevelopmentCertificates writes for an entry.
func DevelopmentTLSFiles(dir string, id fleet.EntryID) TLSFiles {
	return TLSFiles{
		CA:          filepath.Join(dir, "ca.pem"),
		Certificate: filepath.Join(dir, string(id)+".pem"),
		Key:         filepath.Join(dir, string(id)+".key"),
	}
}

// developmentValidity is how long development certificates are valid.
const developmentValidity = 30 * 24 * time.Hour

// WriteDevelopmentCertificates writes a new CA, and a certificate and a key for each ID, into dir. They are
// for tests and local runs; the key of the CA is not stored.
func WriteDevelopmentCertificates(dir string, ids []fleet.EntryID) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return errorClass.Wrap(err)
	}
	caKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return errorClass.Wrap(err)
	}
	ca := certificateTemplate("bilberrywood development CA")
	ca.IsCA, ca.BasicConstraintsValid, ca.KeyUsage = true, true, x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, ca, ca, &caKey.PublicKey, caKey)
	if err != nil {
		return errorClass.Wrap(err)
	}
	if err := writePEM(filepath.Join(dir, "ca.pem"), "CERTIFICATE", der); err != nil {
		return err
	}
	for _, id := range ids {
		if err := developmentCertificate(DevelopmentTLSFiles(dir, id), id, ca, caKey); err != nil {
			return err
		}
	}
	return nil
}

func developmentCertificate(files TLSFiles, id fleet.EntryID, ca *x509.Certificate, caKey *ecdsa.PrivateKey) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return errorClass.Wrap(err)
	}
	leaf := certificateTemplate(string(id))
	leaf.DNSNames = []string{string(id)}
	leaf.KeyUsage = x509.KeyUsageDigitalSignature
	leaf.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, leaf, ca, &key.PublicKey, caKey)
	if err != nil {
		return errorClass.Wrap(err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return errorClass.Wrap(err)
	}
	if err := writePEM(files.Certificate, "CERTIFICATE", der); err != nil {
		return err
	}
	return writePEM(files.Key, "PRIVATE KEY", keyDER)
}

func certificateTemplate(name string) *x509.Certificate {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	if err != nil {
		serial = big.NewInt(time.Now().UnixNano())
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(developmentValidity),
	}
}

func writePEM(path, kind string, der []byte) error {
	block := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	return errorClass.Wrap(os.WriteFile(path, block, 0o600))
}
