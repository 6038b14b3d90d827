package coordinator

import (
	"time"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/catalog"
)

// Tolerance is the excess over a team's rate that the platform's contract
// allows in every window: (rate x Window + burst) x (1 + Over) + Slack.
type Tolerance struct {
	Window time.Duration
	Over   float64
	// Slack is in tokens.
	Slack float64
}

const (
	// ratePart and burstPart are the parts of the slack that are lent as a higher
	// rate and as a larger burst. What remains covers the tokens that hosts hold
	// when the leader changes.
	ratePart  = 0.5
	burstPart = 0.25
)

// lent returns the rate that is lent for a team. It uses a part of the tolerated
// excess: requests that the contract allows are not refused because the rate is
// divided over hosts.
func (t Tolerance) lent(team catalog.Team) *apiv1.Rate {
	slack := t.Slack
	if !team.ByTokens {
		slack /= float64(max(team.PlainTokens, 1))
	}
	rate := float64(team.Rate) * (1 + t.Over)
	if t.Window > 0 {
		rate += slack * ratePart / t.Window.Seconds()
	}
	return &apiv1.Rate{TokensPerSecond: uint64(rate), BurstTokens: team.Burst + uint64(slack*burstPart)}
}
