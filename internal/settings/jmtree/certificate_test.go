package jmtree_test

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/x509"
	"encoding/json"
	"encoding/pem"
	"math/big"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor/internal/settings/jmtree"
)

// certificate returns a self-signed certificate for a name and its key, in PEM.
func certificate(t *testing.T, name string, until time.Time) (chain, key string) {
	t.Helper()
	public, private, err := ed25519.GenerateKey(rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), DNSNames: []string{name}, NotAfter: until}
	der, err := x509.CreateCertificate(rand.Reader, template, template, public, private)
	require.NoError(t, err)
	keyDER, err := x509.MarshalPKCS8PrivateKey(private)
	require.NoError(t, err)
	return string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})),
		string(pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER}))
}

// TestCertificates checks that after a revision with an unusable certificate the
// last good revision stays in force.
func TestCertificates(t *testing.T) {
	later := time.Now().Add(time.Hour)
	goodChain, goodKey := certificate(t, "s1.example", later)
	wrongChain, wrongKey := certificate(t, "other.example", later)
	cases := map[string]struct {
		chain, key, fault string
	}{
		"good":                       {goodChain, goodKey, ""},
		"other server name":          {wrongChain, wrongKey, "not s1.example"},
		"key of another certificate": {goodChain, wrongKey, "certificate can't be used"},
		"key missing":                {goodChain, "", "certificate can't be used"},
		"not PEM":                    {"abc", goodKey, "certificate can't be used"},
		"key in place of the chain":  {goodKey, goodKey, "certificate can't be used"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var tree jmtree.Tree
			tree.Put(fleet())
			tree.Put(team("rangla", 2, withCertificate(t, goodChain, goodKey)))
			tree.Put(team("rangla", 3, withCertificate(t, tc.chain, tc.key)))
			c := tree.Config()
			require.NotNil(t, c.Services[1].Certificate.Parsed())
			if tc.fault == "" {
				require.Empty(t, c.Faults)
				require.EqualValues(t, 3, c.Revisions["Teams/rangla"])
				return
			}
			require.Len(t, c.Faults, 1)
			require.Contains(t, c.Faults[0].Error(), tc.fault)
			require.NotContains(t, c.Faults[0].Error(), strings.TrimSpace(goodKey))
			require.EqualValues(t, 2, c.Revisions["Teams/rangla"])
		})
	}
}

// TestExpiredCertificate checks that a revision whose certificate has expired is
// in force: it had no fault before, and every process, also one that starts after
// the expiry, must have the same revision in force.
func TestExpiredCertificate(t *testing.T) {
	chain, key := certificate(t, "s1.example", time.Now().Add(-time.Hour))
	var tree jmtree.Tree
	tree.Put(fleet())
	tree.Put(team("rangla", 2, withCertificate(t, chain, key)))
	c := tree.Config()
	require.EqualValues(t, 2, c.Revisions["Teams/rangla"])
	require.Len(t, c.Services, 1)
	require.Len(t, c.Faults, 1)
	require.Contains(t, c.Faults[0].Error(), "certificate expired at")
	require.True(t, c.Services[1].Certificate.HasExpired(time.Now()))
}

func withCertificate(t *testing.T, chain, key string) string {
	t.Helper()
	text, err := json.Marshal(map[string]string{"Chain": chain, "Key": key})
	require.NoError(t, err)
	return strings.Replace(serviceText(1), `"Number": 1,`, `"Number": 1, "Certificate": `+string(text)+`,`, 1)
}
