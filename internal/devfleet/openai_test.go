package devfleet

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/api/v1/apiv1connect"
	"github.com/jasminesaddle/jasminesaddle/internal/client"
	"github.com/jasminesaddle/jasminesaddle/internal/roles"
	"github.com/jasminesaddle/jasminesaddle/internal/settings"
	"github.com/jasminesaddle/jasminesaddle/internal/standin"
)

// An unmodified client of the protocol must be able to list models, get whole
// and streamed answers, and read refusals.
func TestOpenAIClient(t *testing.T) {
	fleet, err := Start(t.Context(), Options{Dir: t.TempDir(), Logger: zerolog.Nop()})
	must.NoError(t, err)
	defer func() { must.NoError(t, fleet.Close()) }()
	publish(t, fleet)
	model := AdapterName(3)
	c := openai.NewClient(option.WithBaseURL(fleet.Entries[0].URL+"/v1"), option.WithAPIKey(KeyLarge), option.WithMaxRetries(0))

	models, err := c.Models.List(t.Context())
	must.NoError(t, err)
	must.SliceContainsFunc(t, models.Data, model, func(m openai.Model, name string) bool { return m.ID == name })

	ask := openai.ChatCompletionNewParams{
		Model:     model,
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage("hello")},
		MaxTokens: openai.Int(6),
	}
	want := standin.Answer(model+":1", standin.ChatPrompt("hello"), 6)
	whole, err := c.Chat.Completions.New(t.Context(), ask)
	must.NoError(t, err)
	must.Eq(t, want, whole.Choices[0].Message.Content)

	stream := c.Chat.Completions.NewStreaming(t.Context(), ask)
	var text string
	for stream.Next() {
		for _, choice := range stream.Current().Choices {
			text += choice.Delta.Content
		}
	}
	must.NoError(t, stream.Err())
	must.Eq(t, want, text)

	ask.Model = "no-such-adapter"
	_, err = c.Chat.Completions.New(t.Context(), ask)
	var refusal *openai.Error
	must.True(t, errors.As(err, &refusal))
	must.Eq(t, 404, refusal.StatusCode)
	must.Eq(t, "unknown_adapter", refusal.Code)
}

// publish puts the sample manifest in force and waits until an entry host has it.
func publish(t *testing.T, f *Fleet) {
	p, err := roles.NewPeer(Cluster, settings.Security{Secret: []byte(secretText)})
	must.NoError(t, err)
	control := client.NewControl(p, f.ControlURLs(), 5*time.Second)
	must.Wait(t, wait.InitialSuccess(wait.Timeout(time.Minute), wait.Gap(50*time.Millisecond), wait.ErrorFunc(func() error {
		_, err := client.Operator(t.Context(), control, func(ctx context.Context, o apiv1connect.OperatorServiceClient) (*apiv1.ApplyResponse, error) {
			return o.Apply(ctx, &apiv1.ApplyRequest{Cluster: Cluster, Change: &apiv1.ChangeCommand{Number: 1, Manifest: f.Manifest()}})
		})
		return err
	})))
	c := openai.NewClient(option.WithBaseURL(f.Entries[0].URL+"/v1"), option.WithAPIKey(KeyLarge), option.WithMaxRetries(0))
	must.Wait(t, wait.InitialSuccess(wait.Timeout(time.Minute), wait.Gap(50*time.Millisecond), wait.ErrorFunc(func() error {
		_, err := c.Models.List(t.Context())
		return err
	})))
}
