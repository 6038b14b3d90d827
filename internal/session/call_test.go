package session

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"
)

// callTimeout bounds one request of a script.
const callTimeout = 90 * time.Second

// call is an HTTP client for the scripts: call [flags] URL. It prints the status,
// the headers that explain an error, and the body.
func call(ctx context.Context, args []string) error {
	fs := flag.NewFlagSet("call", flag.ContinueOnError)
	key := fs.String("key", "", "bearer key")
	idempotency := fs.String("idempotency", "", "Idempotency-Key")
	data := fs.String("data", "", "body of a POST; GET without it")
	count := fs.Int("n", 1, "number of requests, one after another")
	if err := fs.Parse(args); err != nil {
		return err
	}
	for range *count {
		if err := callOnce(ctx, fs.Arg(0), *key, *idempotency, *data); err != nil {
			return err
		}
	}
	return nil
}

func callOnce(ctx context.Context, url, key, idempotency, data string) error {
	method := http.MethodGet
	if data != "" {
		method = http.MethodPost
	}
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(data))
	if err != nil {
		return err
	}
	if data != "" {
		req.Header.Set("Content-Type", "application/json")
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	if idempotency != "" {
		req.Header.Set("Idempotency-Key", idempotency)
	}
	client := &http.Client{Timeout: callTimeout}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	fmt.Printf("status %d", resp.StatusCode)
	for _, name := range []string{"X-Jasmine-Reason", "X-Jasmine-Run"} {
		if v := resp.Header.Get(name); v != "" {
			fmt.Printf(" %s=%s", name, v)
		}
	}
	fmt.Println()
	_, err = io.Copy(os.Stdout, resp.Body)
	fmt.Println()
	return err
}
