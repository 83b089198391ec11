package nutmegentry

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegstream"
)

// buildStreams must come after the placer, to which it passes the upstreams on.
func (e *Entry) buildStreams() {
	name := e.cfg.Settings.Instance.Name
	e.streams = nutmegstream.New(nutmegstream.Config{
		Store:    nutmegstream.ObjectStore{Client: e.client, Writer: e.writer, Instance: name},
		Instance: name, Instances: e.roster.Names,
		Interval: e.statementInterval,
		Apply:    e.placer.SetUpstreams,
		Elapsed:  e.uptime,
		OnEvent:  e.streamsChanged,
	})
}

// statementInterval returns the time between two writes of what this instance states of
// its streams. It grows with the fleet, so that all together write a bounded rate.
func (e *Entry) statementInterval() time.Duration {
	return min(max(time.Duration(e.roster.Count())*statementIntervalPerInstance, minStatementInterval), maxStatementInterval)
}

// streamsChanged logs what this instance announces of software versions and streams.
func (e *Entry) streamsChanged(c nutmegstream.Event) {
	e.count(string(c.Kind))
	entry := e.event(string(c.Kind)).WithFields(logrus.Fields{"service": c.Service, "software": c.Version, "streams": c.Streams})
	if c.Err != nil {
		entry.WithError(c.Err).Warn("cannot write or read where streams began; retrying")
		return
	}
	entry.Info("software versions of a service changed")
}
