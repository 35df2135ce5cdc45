package jmagent

import (
	"crypto/tls"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor/internal/settings/jmtree"
)

// TestChooseCertificate checks that an agent uses its own certificate if the
// settings have none. Those in the settings are tested with the settings tree.
func TestChooseCertificate(t *testing.T) {
	a, _ := newTestAgent(t)
	a.Certificate = &tls.Certificate{}
	v := &view{service: &jmtree.Service{}}
	require.Same(t, a.Certificate, a.chooseCertificate(v, nil))
	require.Same(t, a.Certificate, a.chooseCertificate(v, &view{certificate: &tls.Certificate{}}))
}
