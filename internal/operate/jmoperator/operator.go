// Package jmoperator is the HTTP endpoint of one process for its operators. It
// serves metrics in the Prometheus text format, and as JSON the status and
// explanations of placements.
package jmoperator

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"

	"github.com/jasminemoor/jasminemoor/internal/fleet/jmguard"
)

const (
	headerTimeout   = 5 * time.Second
	shutdownTimeout = time.Second
)

// Server is the endpoint. The exported fields are set before Run.
type Server struct {
	// Address is the address to listen on, such as 127.0.0.1:9464.
	Address string
	Metrics *metrics.Set
	// Status returns the status for /status. If nil, that page doesn't exist.
	Status func() *Status
	// Explainer returns the explainer for /explain. If nil, that page doesn't exist.
	Explainer func() *Explainer
	// Guard counts the requests whose handlers panic, and ends the process after too many.
	Guard *jmguard.Guard
}

// Run serves until ctx ends.
func (s *Server) Run(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			err = eris.Wrapf(err, "operator endpoint %s", s.Address)
		}
	}()
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", s.Address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: s.Guard.Handler("operator endpoint", s.handler()), ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() {
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		_ = server.Shutdown(ctx)
	})
	defer stop()
	if err = server.Serve(listener); errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		s.Metrics.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	if s.Status != nil {
		mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
			replyJSON(w, s.Status())
		})
	}
	if s.Explainer != nil {
		mux.HandleFunc("GET /explain", s.serveExplain)
	}
	return mux
}

// serveExplain serves the explanation for the service in the query and the first
// connection ID in its id, in hexadecimal. The id may be empty.
func (s *Server) serveExplain(w http.ResponseWriter, r *http.Request) {
	id, err := hex.DecodeString(r.URL.Query().Get("id"))
	if err != nil {
		http.Error(w, "id is not hexadecimal", http.StatusBadRequest)
		return
	}
	x, err := s.Explainer().Explain(r.URL.Query().Get("service"), id)
	if err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	replyJSON(w, x)
}

func replyJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "\t")
	_ = encoder.Encode(body)
}
