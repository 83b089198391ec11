// Package nutmegsuspect finds requests under which upstreams crash, so that they
// are no longer sent.
//
// When an upstream's process ends while a request may be running there, the
// request's content and the parts of its prompt become suspects, except for the last
// part, which no other request shares. Others were running there, too, so one crash
// proves nothing. A suspect is held back when several processes have ended under it,
// no answer has acquitted it since, and no other suspect explains the crashes.
// Instances exchange crash reports and acquittals, because the requests of a suspect
// arrive at any of them.
//
// The package does no I/O and starts no goroutines.
//
// # Usage
//
//	tracker := nutmegsuspect.NewTracker(nutmegsuspect.Config{Reporter: incarnation, OnReport: send, OnAcquittal: sendAcquittal})
//	if hold, held := tracker.Held(call); held {
//		// refuse the call until hold.Until
//	}
//	tracker.UpstreamEnded(call, upstream) // its process ended during the call
//	tracker.AnswerBegan(call)             // an upstream goes on answering it
//	tracker.Answered(call)                // an upstream answered it
//	tracker.MergeReport(report)           // from another instance
package nutmegsuspect
