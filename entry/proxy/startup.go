package proxy

import "time"

const (
	// startupPeriod is how long after its start an entry expects its first configuration: an election of control takes less.
	startupPeriod = 2500 * time.Millisecond
	// maxStartWait is how long a session waits for it. A longer wait would use up the deadlines of the requests that follow.
	maxStartWait = 500 * time.Millisecond
)

// awaitConfiguration lets a new session wait while this entry has just started and gets its first configuration.
//
// It answers the load after a restart of all processes: clients reconnect within milliseconds, but control has no leader yet. A refusal would
// send them to other entries, which refuse them too. An entry that gets no configuration in time refuses at once from then on.
func (p *Proxy) awaitConfiguration() {
	wait := min(maxStartWait, p.startedAt.Add(startupPeriod).Sub(p.cfg.Now()))
	if wait <= 0 {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-p.configured:
	case <-timer.C:
	}
}

// markConfigured ends the wait of awaitConfiguration.
func (p *Proxy) markConfigured() {
	p.configuredOnce.Do(func() { close(p.configured) })
}
