package coordinator

import (
	"time"

	"github.com/jasminesaddle/jasminesaddle/internal/catalog"
	"github.com/jasminesaddle/jasminesaddle/internal/quota"
)

// Tolerance is the excess over a team's rate that the platform's contract
// tolerates. In every window a team may use
// (rate x Window + burst) x (1 + ExcessFraction) + Slack tokens.
type Tolerance struct {
	Window         time.Duration
	ExcessFraction float64
	// Slack is in tokens.
	Slack float64
}

const (
	// rateSlackFraction and burstSlackFraction are the fractions of the slack that
	// are added to the allocated rate and burst. The rest covers the requests by
	// which hosts overdraw their allocations.
	rateSlackFraction  = 0.4
	burstSlackFraction = 0.1
)

// allocatable returns the rate that is divided between the hosts for a team. It
// includes some of the tolerated excess, so that dividing the rate does not cause
// requests to be refused that the contract allows.
func (t Tolerance) allocatable(team catalog.Team) quota.Rate {
	slack := t.Slack
	if !team.ByTokens {
		slack /= float64(max(team.DefaultTokens, 1))
	}
	rate := float64(team.Rate) * (1 + t.ExcessFraction)
	if t.Window > 0 {
		rate += slack * rateSlackFraction / t.Window.Seconds()
	}
	return quota.Rate{PerSecond: rate, Burst: float64(team.Burst) + slack*burstSlackFraction}
}
