package engine

import (
	"bytes"
	"io"
	"math"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// FuzzDecoder guards against panics, events of unlimited size and results that
// depend on how the bytes are split over reads.
func FuzzDecoder(f *testing.F) {
	for _, s := range []string{
		"", "\n\n", "id: 1\ndata: a\n\n", "id: 1\r\ndata: a\r\ndata: b\r\n\r\n", ": ping\n\nid: 2\ndata\n\n",
		"id: x\ndata: a\n\n", "id: -1\n\n", "id: 18446744073709551616\ndata: a\n\n", "data: [DONE]\n\n",
		"id: 1\ndata: cut", "id:7\ndata:" + strings.Repeat("x", 3000) + "\n\n", "retry: 5\nevent: e\nid: 3\ndata: a\n\n",
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		atOnce, atOnceErr := decodeAll(bytes.NewReader(data))
		bytewise, bytewiseErr := decodeAll(oneByteReader{bytes.NewReader(data)})
		must.Eq(t, atOnce, bytewise)
		must.EqOp(t, atOnceErr.Error(), bytewiseErr.Error())
	})
}

type oneByteReader struct{ r io.Reader }

func (r oneByteReader) Read(p []byte) (int, error) { return r.r.Read(p[:min(1, len(p))]) }

func decodeAll(r io.Reader) ([]string, error) {
	dec := newDecoder(r)
	var events []string
	for {
		ev, err := dec.next()
		if err != nil {
			return events, err
		}
		events = append(events, formatUint(ev.id)+" "+string(ev.data))
	}
}

// repeatingReader returns the same text endlessly.
type repeatingReader struct {
	text   string
	offset int
}

func (r *repeatingReader) Read(p []byte) (int, error) {
	n := 0
	for n < len(p) {
		c := copy(p[n:], r.text[r.offset:])
		n += c
		r.offset = (r.offset + c) % len(r.text)
	}
	return n, nil
}

// TestDecoderLimits guards against streams that never end or have no line
// endings.
func TestDecoderLimits(t *testing.T) {
	for name, tc := range map[string]struct {
		text string
		want error
	}{
		"endless events":   {"id: 1\ndata: " + strings.Repeat("a", 900) + "\n\n", errStreamTooBig},
		"endless comments": {": " + strings.Repeat("a", 900) + "\n", errStreamTooBig},
		"endless line":     {"data: a", errLineTooLong},
		"endless event":    {"data: " + strings.Repeat("a", 500) + "\n", errEventTooLong},
	} {
		t.Run(name, func(t *testing.T) {
			dec := newDecoder(&repeatingReader{text: tc.text})
			var err error
			for err == nil {
				_, err = dec.next()
			}
			must.ErrorIs(t, err, tc.want)
		})
	}
}

// FuzzMetrics guards against panics and values out of range.
func FuzzMetrics(f *testing.F) {
	const good = "vllm:num_requests_running{m=\"b\"} 3\nvllm:num_requests_waiting 0\nvllm:kv_cache_usage_perc 0.5\nprocess_start_time_seconds 1.7e9\n"
	for _, s := range []string{
		good, "", strings.Replace(good, "3", "-3", 1), strings.Replace(good, "3", "NaN", 1), strings.Replace(good, "3", "+Inf", 1),
		strings.Replace(good, "0.5", "1.5", 1), "# TYPE vllm:num_requests_running histogram\n" + good, "}{", good + good,
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		load, err := parseMetrics(bytes.NewReader(data))
		if err != nil {
			return
		}
		must.True(t, load.Running >= 0 && load.Running <= maxRequests && load.Waiting >= 0 && load.Waiting <= maxRequests)
		must.True(t, !math.IsNaN(load.KVUsage) && load.KVUsage >= 0 && load.KVUsage <= 1)
		must.NotEqOp(t, "", load.StartID)
	})
}

// FuzzModels guards against panics and against names that are not valid in the
// manifest.
func FuzzModels(f *testing.F) {
	for _, s := range []string{
		`{"data":[{"id":"base"},{"id":"a:1","parent":"base"}]}`, `{"data":[{"id":"a:1:2","parent":"base"}]}`, `[]`, `{"data":null}`,
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		refs, err := parseModels(data, "base")
		for _, ref := range refs {
			again, ok := parseModelName(ModelName(ref))
			must.True(t, err == nil && ok && again.GetAdapter() == ref.GetAdapter())
		}
	})
}

// TestBody guards against a body in which the engine could read another model
// than the one that was checked, and against changes to other fields.
func TestBody(t *testing.T) {
	for name, tc := range map[string]struct{ in, want string }{
		"replaced":  {`{"prompt":"<é>","model":"x"}`, `{"model":"a:1","prompt":"<é>","stream":true}`},
		"duplicate": {`{"model":"x","model":"y","n":1.50}`, `{"model":"a:1","n":1.50,"stream":true}`},
		"priority":  {`{"priority":-9,"stream":false}`, `{"model":"a:1","stream":true}`},
		"array":     {`[]`, ""},
		"trailing":  {`{} {"model":"y"}`, ""},
		"null":      {`null`, `{"model":"a:1","stream":true}`},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := encodeBody(Request{Body: []byte(tc.in), Model: "a:1", Stream: true})
			must.EqOp(t, tc.want == "", err != nil)
			must.EqOp(t, tc.want, string(got))
		})
	}
}
