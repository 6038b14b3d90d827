package coordinator

import (
	"time"

	"github.com/jasminesaddle/jasminesaddle/internal/catalog"
	"github.com/jasminesaddle/jasminesaddle/internal/quota"
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
	// rate and as a larger burst. What remains covers the requests by which hosts
	// overdraw their parts.
	ratePart  = 0.4
	burstPart = 0.1
)

// lent returns the rate that is lent for a team. It uses a part of the tolerated
// excess: requests that the contract allows are not refused because the rate is
// divided over hosts.
func (t Tolerance) lent(team catalog.Team) quota.Rate {
	slack := t.Slack
	if !team.ByTokens {
		slack /= float64(max(team.DefaultTokens, 1))
	}
	rate := float64(team.Rate) * (1 + t.Over)
	if t.Window > 0 {
		rate += slack * ratePart / t.Window.Seconds()
	}
	return quota.Rate{PerSecond: rate, Burst: float64(team.Burst) + slack*burstPart}
}
