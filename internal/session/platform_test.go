package session

import (
	"context"
	"flag"
	"net/http"
	"os"
)

// platformList simulates the platform's list of live and leaving hosts with the
// content of a file.
func platformList(ctx context.Context, args []string) error {
	fs := flag.NewFlagSet("platform-list", flag.ContinueOnError)
	listen := fs.String("listen", "", "address")
	file := fs.String("file", "", "file to serve, read at each request")
	if err := fs.Parse(args); err != nil {
		return err
	}
	srv := &http.Server{Addr: *listen, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		data, err := os.ReadFile(*file)
		if err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write(data)
	})}
	context.AfterFunc(ctx, func() { _ = srv.Close() })
	if err := srv.ListenAndServe(); err != http.ErrServerClosed {
		return err
	}
	return nil
}
