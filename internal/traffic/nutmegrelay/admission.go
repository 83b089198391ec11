package nutmegrelay

import (
	"time"

	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegview"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegadmit"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegcall"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegplace"
)

// Admission decides which calls may be sent while the engines of a service have too
// little room for all.
type Admission interface {
	// Decide decides whether a request may be sent now.
	Decide(r nutmegadmit.Request, now time.Duration) nutmegadmit.Decision
	// RecordReport adds the load that an engine has stated.
	RecordReport(s nutmegview.Service, r nutmegadmit.Report, now time.Duration)
	// RecordServiceTime adds the time for which a request has been at an engine.
	RecordServiceTime(s nutmegview.Service, took time.Duration)
}

// noAdmission admits all calls.
type noAdmission struct{}

// Decide implements Admission.
func (noAdmission) Decide(nutmegadmit.Request, time.Duration) nutmegadmit.Decision {
	return nutmegadmit.Decision{Admitted: true}
}

// RecordReport implements Admission.
func (noAdmission) RecordReport(nutmegview.Service, nutmegadmit.Report, time.Duration) {}

// RecordServiceTime implements Admission.
func (noAdmission) RecordServiceTime(nutmegview.Service, time.Duration) {}

// needsAdmission reports whether a call goes to engines whose slots are known.
func needsAdmission(call *nutmegcall.Call) bool {
	return call.Engine != nil && call.Engine.Slots > 0
}

// admit returns a refusal if a call may not be sent now for lack of room.
func (r *Relay) admit(call *nutmegcall.Call) *nutmegcall.Refusal {
	if !needsAdmission(call) {
		return nil
	}
	d := r.cfg.Admission.Decide(nutmegadmit.Request{
		Service: call.Service, Workspace: call.Workspace, Priority: call.Priority,
		Tokens: int64(call.Prompt.MaxTokens()), LatencyTarget: call.Route.LatencyTarget,
	}, r.cfg.Elapsed())
	if d.Admitted {
		return nil
	}
	detail := "too little room at service " + string(call.Service) + ", " + d.String()
	r.cfg.OnDecision(call, Decision{Kind: DecisionNotAdmitted, Detail: detail, Shortage: d.Reason})
	return &nutmegcall.Refusal{Reason: nutmegcall.ReasonOverloaded, RetryAfter: d.RetryAfter, Detail: detail}
}

// recordLoad passes the load that an upstream has stated to the admission.
func (e *exchange) recordLoad(l nutmegplace.Load) {
	if !needsAdmission(e.call) {
		return
	}
	report := nutmegadmit.Report{Running: l.Running, Waiting: l.Waiting, Slots: l.Slots}
	e.relay.cfg.Admission.RecordReport(e.call.Service, report, e.relay.cfg.Elapsed())
}

// recordServiceTime passes the time of an attempt that an engine has answered to the admission.
func (e *exchange) recordServiceTime(result attemptResult, began time.Duration) {
	if result != attemptDone || e.outcome.Reason != nutmegcall.ReasonAnswered || !needsAdmission(e.call) {
		return
	}
	e.relay.cfg.Admission.RecordServiceTime(e.call.Service, e.relay.cfg.Elapsed()-began)
}
