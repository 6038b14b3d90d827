package devfleet

import (
	"errors"
	"testing"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"github.com/jasminesaddle/jasminesaddle/internal/standin"
)

// TestOpenAIClient checks that an unmodified OpenAI client can list models, get
// full and streamed responses, and parse error responses.
func TestOpenAIClient(t *testing.T) {
	fleet, err := Start(t.Context(), Options{Dir: t.TempDir(), Logger: zerolog.Nop()})
	must.NoError(t, err)
	defer func() { must.NoError(t, fleet.Close()) }()
	must.NoError(t, fleet.Publish(t.Context(), fleet.Manifest()))
	model := AdapterName(3)
	c := openai.NewClient(option.WithBaseURL(fleet.Entries[0].URL+"/v1"), option.WithAPIKey(KeyLarge), option.WithMaxRetries(0))

	models, err := c.Models.List(t.Context())
	must.NoError(t, err)
	must.SliceContainsFunc(t, models.Data, model, func(m openai.Model, name string) bool { return m.ID == name })

	params := openai.ChatCompletionNewParams{
		Model:     model,
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage("hello")},
		MaxTokens: openai.Int(6),
	}
	want := standin.CompletionText(model+":1", standin.ChatPrompt("hello"), 6)
	full, err := c.Chat.Completions.New(t.Context(), params)
	must.NoError(t, err)
	must.Eq(t, want, full.Choices[0].Message.Content)

	stream := c.Chat.Completions.NewStreaming(t.Context(), params)
	var text string
	for stream.Next() {
		for _, choice := range stream.Current().Choices {
			text += choice.Delta.Content
		}
	}
	must.NoError(t, stream.Err())
	must.Eq(t, want, text)

	params.Model = "no-such-adapter"
	_, err = c.Chat.Completions.New(t.Context(), params)
	var apiErr *openai.Error
	must.True(t, errors.As(err, &apiErr))
	must.Eq(t, 404, apiErr.StatusCode)
	must.Eq(t, "unknown_adapter", apiErr.Code)
}
