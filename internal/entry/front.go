package entry

import (
	"errors"
	"net/http"
	"path"
	"strings"

	"github.com/jasminesaddle/jasminesaddle/internal/fault"
)

// Handler returns the handler for callers' requests.
func (s *Server) Handler() http.Handler { return http.HandlerFunc(s.serveHTTP) }

func (s *Server) serveHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		s.serveHealth(w)
		return
	}
	x := &exchange{id: s.nextID(), received: s.now(), w: w, r: r}
	s.drain.enter(x)
	defer s.drain.leave(x)
	defer x.release()
	if s.drain.closing() || len(r.TransferEncoding) > 0 {
		// net/http removes a Content-Length that accompanies a chunked body
		// before the handler sees it. Closing the connection prevents request
		// smuggling where a load balancer frames the body by Content-Length.
		w.Header().Set("Connection", "close")
	}
	_, err := s.serve(r.Context(), x)
	s.conclude(x, err)
}

// conclude writes the error response of a failed exchange.
func (s *Server) conclude(x *exchange, err error) {
	if err == nil {
		return
	}
	var gone callerGone
	if errors.As(err, &gone) {
		if x.started {
			panic(http.ErrAbortHandler)
		}
		return
	}
	if errors.Is(err, errStreamEnded) {
		return
	}
	x.writeError(typedError(err))
}

// errStreamEnded is the error of an exchange whose stream ended with an error
// event, so that the caller already knows the reason.
var errStreamEnded = errors.New("the stream ended with an error event")

// typedError returns err as a *fault.Error whose run state is set.
func typedError(err error) *fault.Error {
	e, ok := fault.As(err)
	if !ok {
		e = fault.Wrap(err, fault.KindInternal, "the entry host failed", "report the request identifier to the operator")
	}
	if e.Run == "" {
		copied := *e
		e = copied.WithRun(fault.OutcomeUnknown)
	}
	return e
}

// checkTarget rejects targets and framing that a backend server might interpret
// differently from the entry host.
func checkTarget(r *http.Request) error {
	switch {
	case r.Method == http.MethodConnect || r.URL.Path == "" || r.URL.Path[0] != '/':
		return badRequest("path", "the target is not an absolute path", "send an absolute path")
	case strings.ContainsAny(r.URL.Path, "\\\x00\r\n") || !isClean(r.URL.Path):
		return badRequest("path", "the path contains dot segments, empty segments or control characters", "send a clean path")
	case len(r.TransferEncoding) > 1 || (len(r.TransferEncoding) == 1 && r.TransferEncoding[0] != "chunked"):
		return badRequest("Transfer-Encoding", "the framing is ambiguous", "send Content-Length or chunked")
	case len(r.Header.Values("Content-Length")) > 1 || r.Header.Get("Transfer-Encoding") != "":
		return badRequest("Content-Length", "the framing is ambiguous", "send one Content-Length")
	case len(r.Trailer) > 0:
		return badRequest("Trailer", "trailers are not supported", "send all fields in the header")
	}
	return nil
}

func isClean(p string) bool {
	cleaned := path.Clean(p)
	return cleaned == p || cleaned+"/" == p
}

func badRequest(field, message, remedy string) error {
	return fault.New(fault.KindInvalidRequest, message, remedy).At(field).WithRun(fault.NotRun)
}
