//go:build pins

// Package pins keeps the chosen libraries in go.mod while their users are being
// written.
package pins

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/anishathalye/porcupine"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/go-kit/kit/endpoint"
	_ "github.com/goccy/go-yaml"
	_ "github.com/openai/openai-go/v3"
	_ "github.com/peterbourgon/ff/v3"
	_ "github.com/peterbourgon/ff/v3/ffcli"
	_ "github.com/prometheus/common/expfmt"
	_ "github.com/rogpeppe/go-internal/testscript"
	_ "github.com/rs/zerolog"
	_ "go.etcd.io/bbolt"
	_ "go.uber.org/goleak"
	_ "golang.org/x/net/http2"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/sync/singleflight"
	_ "golang.org/x/time/rate"
	_ "gonum.org/v1/gonum/stat"
	_ "gonum.org/v1/plot"
	_ "gonum.org/v1/plot/vg/draw"
	_ "pgregory.net/rapid"
)
