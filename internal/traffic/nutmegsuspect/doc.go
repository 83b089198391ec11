// Package nutmegsuspect finds requests under which upstreams crash, so that they
// are no longer sent.
//
// A request becomes a suspect when an upstream's process ends while the request
// may be running there. Others were running there, too, so one crash proves
// nothing. A request is held back when crashesToHold processes have ended under
// it and none has answered it since. Instances exchange crash reports and
// acquittals, because the repeats of a request arrive at any of them.
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
//	tracker.Answered(call)                // an upstream answered it
//	tracker.MergeReport(report)           // from another instance
package nutmegsuspect
