package nutmegentry

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegsuspect"
	"github.com/nutmegwind/nutmegwind/nutmegpeer"
)

func (e *Entry) buildSuspects() {
	e.suspectStore = newSuspectStore(e)
	e.suspects = nutmegsuspect.NewTracker(nutmegsuspect.Config{
		Reporter: e.incarnation, OnReport: e.sendReport, OnAcquittal: e.sendAcquittal, OnVerdict: e.verdictChanged, OnChange: e.suspectStore.changed,
		Rank: func(k nutmegsuspect.Key) int { return e.roster.Rank(k.String()) },
	})
}

// sendReport sends a report of this instance to all others.
func (e *Entry) sendReport(r nutmegsuspect.Report) {
	e.event("crash_report").WithFields(logrus.Fields{"process": r.Process, "suspects": len(r.Suspects)}).Warn("an upstream crashed while requests may have been running there")
	e.putItem(itemCrashReport, fmt.Sprintf("%s/%s", r.Process, r.Reporter), uint64(len(r.Suspects)), r)
}

// resendReports sends the reports that were made before the fleet's key was known.
func (e *Entry) resendReports() {
	for _, r := range e.suspects.Reports() {
		e.sendReport(r)
	}
}

// sendAcquittal sends an acquittal by this instance to all others. Instances that
// make the same acquittal send the same item.
func (e *Entry) sendAcquittal(a nutmegsuspect.Acquittal) {
	e.count("suspects_acquitted")
	e.event("suspect_acquitted").WithFields(logrus.Fields{"key": a.Key, "part": a.Part, "process": a.Process}).Info("an upstream has answered a suspect request")
	e.putItem(itemAcquittal, fmt.Sprintf("%s/%s", a.Key, a.Process), 1, a)
}

// receiveReport adds another instance's report.
func (e *Entry) receiveReport(i nutmegpeer.Item) {
	var r nutmegsuspect.Report
	if err := json.Unmarshal(i.Value, &r); err != nil {
		e.itemUnreadable(i, err)
		return
	}
	e.event("crash_report_received").WithFields(logrus.Fields{
		"process": r.Process, "reporter": r.Reporter, "suspects": len(r.Suspects), "age_ms": time.Since(r.EndedAt).Milliseconds(),
	}).Info("another instance reported a crash")
	e.suspects.MergeReport(r)
}

// receiveAcquittal applies another instance's acquittal.
func (e *Entry) receiveAcquittal(i nutmegpeer.Item) {
	var a nutmegsuspect.Acquittal
	if err := json.Unmarshal(i.Value, &a); err != nil {
		e.itemUnreadable(i, err)
		return
	}
	e.suspects.MergeAcquittal(a)
}

// verdictChanged logs that the requests of a suspect are held back, or no longer.
func (e *Entry) verdictChanged(v nutmegsuspect.Verdict) {
	entry := e.event("suspect_verdict").WithFields(logrus.Fields{"key": v.Key, "part": v.Part, "crashes": v.Crashes, "held": v.Held})
	if !v.Held {
		e.count("suspects_released")
		entry.Info("requests are no longer held back")
		return
	}
	e.count("suspects_held")
	if !v.From.IsZero() {
		entry = entry.WithField("from", v.From.UTC())
	}
	entry.WithField("until", v.Until.UTC()).Warn("upstreams crashed under requests; holding them back")
}
