package jmlab

import (
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"
)

// Names of the files that WriteCertificate writes, all in PEM.
const (
	RootFile        = "root.pem"
	CertificateFile = "certificate.pem"
	KeyFile         = "key.pem"

	certificateDirMode  = 0o700
	certificateFileMode = 0o600
)

// WriteCertificate writes a root certificate, and a certificate for a server name
// with its key, to dir. They are valid for one day and meant for trials.
func WriteCertificate(dir, serverName string) (err error) {
	defer func() {
		if err != nil {
			err = eris.Wrap(err, "write certificate")
		}
	}()
	a, err := newAuthority()
	if err != nil {
		return err
	}
	c, err := a.issue(serverName)
	if err != nil {
		return err
	}
	if err = os.MkdirAll(dir, certificateDirMode); err != nil {
		return err
	}
	for name, text := range map[string]string{RootFile: a.rootPEM, CertificateFile: c.Chain, KeyFile: string(c.Key)} {
		if err = os.WriteFile(filepath.Join(dir, name), []byte(text), certificateFileMode); err != nil {
			return err
		}
	}
	return nil
}
