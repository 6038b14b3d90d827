package exchange

import "time"

const (
	// minRetryInterval is the minimum time between two rounds over all control hosts while none leads, and
	// maxRoundsPerSecond limits the rounds of all hosts together: the control hosts need their processors to elect a leader.
	minRetryInterval   = 100 * time.Millisecond
	maxRoundsPerSecond = 1000
	// maxExchangesPerSecond limits the exchanges of all hosts together. Each takes about 0.35 ms of a leader's processor.
	maxExchangesPerSecond = 800
	// responsePause is the pause after an exchange as a multiple of the time that it took, so that hosts exchange less often
	// with a leader that lacks processor time. maxPause limits all pauses: together with exchangeTimeout, it must be less than the
	// 1 s after which a leader takes a host for silent.
	responsePause = 3
	maxPause      = 550 * time.Millisecond
)

// exchangePause returns the time until a host's next exchange, after one that took a time.
func exchangePause(ok bool, took, interval time.Duration, hosts int) time.Duration {
	if !ok {
		return min(max(minRetryInterval, perHost(hosts, maxRoundsPerSecond)), maxPause)
	}
	return min(max(interval, perHost(hosts, maxExchangesPerSecond), took*responsePause), maxPause)
}

// perHost returns the time between two calls of one host if all hosts together make perSecond calls.
func perHost(hosts int, perSecond float64) time.Duration {
	return time.Duration(float64(max(hosts, 1)) / perSecond * float64(time.Second))
}
