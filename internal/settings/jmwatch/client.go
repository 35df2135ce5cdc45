// Package jmwatch is an HTTP client that reads and watches the platform's
// configuration service. It never writes.
package jmwatch

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/jasminemoor/jasminemoor"
)

// maxResponse bounds a response in bytes. The platform's values hold up to a
// megabyte each.
const maxResponse = 64 << 20

// Client is a client of the configuration service.
type Client struct {
	// URL is the base of the service's API, such as http://10.0.0.1:8500.
	URL string
	// HTTP is the HTTP client to use, http.DefaultClient if nil.
	HTTP *http.Client
}

var _ jasminemoor.Platform = (*Client)(nil)

// revisions is the body of an answer with the revisions. The eras are missing from a service
// that was never restored from a copy.
type revisions struct {
	At       uint64
	Era      uint64 // of the service
	Subtrees map[string]uint64
	Eras     map[string]uint64 // of the last changes of subtrees
}

func (r *revisions) translate() jasminemoor.Revisions {
	t := jasminemoor.Revisions{At: revisionOf(r.Era, r.At), Subtrees: make(map[string]uint64, len(r.Subtrees))}
	for path, change := range r.Subtrees {
		t.Subtrees[path] = revisionOf(r.Eras[path], change)
	}
	return t
}

func revisionOf(era, change uint64) uint64 { return uint64(jasminemoor.NewRevision(era, change)) }

// Revisions implements jasminemoor.Platform.
func (c *Client) Revisions(ctx context.Context) (r jasminemoor.Revisions, err error) {
	var body revisions
	err = c.get(ctx, "/v1/revisions", nil, &body)
	return body.translate(), err
}

// Read implements jasminemoor.Platform.
func (c *Client) Read(ctx context.Context, path string) (s jasminemoor.Subtree, err error) {
	var body struct {
		jasminemoor.Subtree
		Era uint64 // of the last change
	}
	err = c.get(ctx, "/v1/subtree", url.Values{"path": {path}}, &body)
	s = body.Subtree
	s.Revision = revisionOf(body.Era, s.Revision)
	return s, err
}

// Watch implements jasminemoor.Platform.
func (c *Client) Watch(ctx context.Context, since uint64) (r jasminemoor.Revisions, err error) {
	var body revisions
	from := jasminemoor.Revision(since)
	query := url.Values{"since": {strconv.FormatUint(from.Change(), 10)}}
	if from.Era() > 0 {
		query.Set("era", strconv.FormatUint(from.Era(), 10))
	}
	err = c.get(ctx, "/v1/watch", query, &body)
	return body.translate(), err
}

// get decodes the JSON response of a GET request into target.
func (c *Client) get(ctx context.Context, path string, query url.Values, target any) (err error) {
	defer func() {
		if err != nil {
			err = eris.Wrapf(err, "platform %s", path)
		}
	}()
	address := strings.TrimSuffix(c.URL, "/") + path + "?" + query.Encode()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return err
	}
	response, err := c.httpClient().Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return eris.Errorf("status %s", response.Status)
	}
	return json.NewDecoder(io.LimitReader(response.Body, maxResponse)).Decode(target)
}

func (c *Client) httpClient() *http.Client {
	if c.HTTP != nil {
		return c.HTTP
	}
	return http.DefaultClient
}
