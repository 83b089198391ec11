package nutmegsuspect

import "time"

const (
	// crashesToHold is the number of processes that must end under a request
	// before it is held back. One may have ended because of another request.
	crashesToHold = 2
	// crashesToHoldPart is that number for a part of a prompt, which holds back
	// many requests.
	crashesToHoldPart = 3
	// trialHold is how long a suspect is held back after that many crashes. Then
	// it is tried again: it may be sound, and nobody could tell so far. The crashed
	// upstreams are back by then.
	trialHold = 3 * time.Second
	// firstHold is how long it is held back after one more crash. Each further
	// crash doubles the time, up to maxHold.
	firstHold  = 2 * time.Minute
	maxHold    = 32 * time.Minute
	holdJitter = 0.25 // largest share by which instances extend a hold

	// trialSlot is the time from one instance's trial to that of the next ones: a crash
	// shows within it, and is known to all.
	trialSlot = 1500 * time.Millisecond
	// trialTime is how long other calls wait for the result of a trial.
	trialTime = 2 * time.Second
	// returnSpread is the time over which callers return after a hold.
	returnSpread = trialSlot

	// clockTolerance is how far the clocks of two instances may differ.
	clockTolerance = 5 * time.Second

	// restartGap is the longest time in which all connections of an ended process
	// break.
	restartGap = 2 * time.Second

	// ReportLifetime is how long a crash counts.
	ReportLifetime = 50 * time.Minute

	maxReportSuspects = 48   // in one report
	maxRecords        = 4096 // suspects that are remembered
	maxConvictions    = 256  // in a merged snapshot

	forgetInterval = time.Minute // between two removals of old records

	// answerLifetime is the shortest time for which something is remembered as
	// answered.
	answerLifetime = 30 * time.Second
	maxAnswers     = 4096 // contents, and as many parts, that are remembered within answerLifetime
)
