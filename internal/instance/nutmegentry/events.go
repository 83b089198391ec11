package nutmegentry

import (
	"net/http"
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegfollow"
	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegview"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegcall"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegrelay"
	"github.com/nutmegwind/nutmegwind/nutmegbudget"
	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegpeer"
	"github.com/nutmegwind/nutmegwind/nutmegstore"
)

// event returns a log entry for a named event.
func (e *Entry) event(name string) *logrus.Entry {
	return e.log.WithField("event", name)
}

func (e *Entry) count(name string) {
	metrics.GetOrRegisterCounter(name, e.metrics).Inc(1)
}

func (e *Entry) storeStateChanged(up bool) {
	e.count("store_state_changes")
	if up {
		e.event("store_regained").Info("store is reachable again")
		e.roster.SyncItems()
		return
	}
	e.event("store_lost").Warn("store is unreachable")
}

// storeRestored logs that the store has lost its latest writes.
func (e *Entry) storeRestored(before, after nutmegid.Era) {
	e.event("store_restored").WithFields(logrus.Fields{
		"era_before": before, "era": after, "revision": e.view.Revision(), "upstreams_version": e.view.Upstreams().Version.String(),
	}).Warn("the store has come back from an older copy")
	e.roster.StoreRestored()
	e.suspectStore.changed()
	e.streams.StoreRestored()
}

// configNotNewer logs a configuration that is not put into force.
func (e *Entry) configNotNewer(c *nutmegview.Config, version nutmegid.Version) {
	e.count("config_not_newer")
	e.event("config_not_newer").WithFields(logrus.Fields{
		"revision": c.Revision, "in_force": e.view.Revision(), "version": version.String(),
	}).Info("the store holds a configuration that is not newer than the one in force")
}

func (e *Entry) configApplied(c *nutmegview.Config) {
	e.event("config_applied").WithFields(logrus.Fields{
		"revision": c.Revision, "routes": len(c.Routes), "services": len(c.Services), "workspaces": len(c.Workspaces),
	}).Info("configuration applied")
	e.logAmounts(c.Prepaid())
}

// logAmounts logs the prepaid amounts that have changed since the previous
// configuration. Calls must not overlap.
func (e *Entry) logAmounts(amounts map[nutmegid.Workspace]nutmegid.Tokens) {
	for name, tokens := range amounts {
		if before, known := e.loggedAmounts[name]; known && before != tokens {
			e.event("budget_amount_changed").WithFields(logrus.Fields{
				"workspace": name, "before": before, "after": tokens,
			}).Info("prepaid amount of a workspace changed")
		}
	}
	e.loggedAmounts = amounts
}

func (e *Entry) configUnreadable(o nutmegstore.Object, err error) {
	e.count("config_unreadable")
	e.event("config_unreadable").WithField("version", o.Version.String()).WithError(err).Error("cannot decode the configuration; keeping the current one")
}

func (e *Entry) upstreamChanged(c nutmegfollow.UpstreamChange) {
	entry := e.event("upstream_" + c.Kind).WithFields(logrus.Fields{"upstream": c.Upstream, "version": c.Version.String(), "software": c.Software})
	if c.Err != nil {
		entry = entry.WithError(c.Err)
	}
	entry.Info("upstream state changed")
}

func (e *Entry) leaseCommitted(c nutmegbudget.BudgetCommit) {
	e.event("budget_committed").WithFields(logrus.Fields{
		"budget": c.Budget, "settled": c.Settled, "granted": c.Granted, "returned": c.Returned,
		"held": c.Held, "remaining": c.Remaining, "unspent": c.Unspent, "rate": int64(c.Rate),
	}).Info("lease committed")
}

// leasesRestated logs that the store knows the leases of a shard again.
func (e *Entry) leasesRestated(shard int, era nutmegid.Era) {
	e.count("leases_restated")
	e.event("leases_restated").WithFields(logrus.Fields{"shard": shard, "era": era}).Info("stated the leases of a shard again after a restore of the store")
}

func (e *Entry) transferReceived(id nutmegid.BudgetID, t nutmegbudget.Transfer) {
	e.event("budget_received").WithFields(logrus.Fields{
		"budget": id, "giver": t.Giver, "tokens": t.Tokens, "transfer": t.ID,
	}).Info("tokens received from a peer")
}

// peerReservationDecided logs the reply to a peer's reservation request.
func (e *Entry) peerReservationDecided(req nutmegpeer.ReserveRequest, reply nutmegpeer.ReserveReply) {
	e.count("peer_reservations_" + string(reply.Outcome))
	entry := e.event("peer_reservation").WithFields(logrus.Fields{
		"request": req.Request, "reservation": req.Reservation, "workspace": req.Workspace, "bound": req.Tokens, "outcome": reply.Outcome,
	})
	if reply.Outcome == nutmegpeer.ReserveHeld {
		entry.Info("reserved tokens for a peer's request")
		return
	}
	entry.WithField("detail", reply.Detail).Warn("refused to reserve tokens for a peer's request")
}

func (e *Entry) homeUnreachable(home nutmegview.Instance, c *nutmegcall.Call, err error) {
	e.count("homes_lost")
	e.event("home_unreachable").WithFields(logrus.Fields{
		"request": c.ID, "workspace": c.Workspace, "home": home.Name, "home_incarnation": home.Incarnation,
	}).WithError(err).Warn("home did not answer a reservation request")
}

func (e *Entry) reservationsExpired(reservations int) {
	metrics.GetOrRegisterCounter("peer_reservations_expired", e.metrics).Inc(int64(reservations))
	e.event("peer_reservations_expired").WithField("reservations", reservations).Warn("peers did not settle reservations in time; counting all their tokens as used")
}

func (e *Entry) settlementsDropped(home nutmegview.Instance, settlements int) {
	metrics.GetOrRegisterCounter("settlements_dropped", e.metrics).Inc(int64(settlements))
	e.event("settlements_dropped").WithFields(logrus.Fields{
		"home": home.Name, "home_incarnation": home.Incarnation, "settlements": settlements,
	}).Warn("home did not accept settlements in time; it counts all reserved tokens as used")
}

func (e *Entry) instancesChanged(n int) {
	e.event("instances_changed").WithField("instances", n).Info("list of instances changed")
}

// relayDecided logs a decision in the handling of a request.
func (e *Entry) relayDecided(c *nutmegcall.Call, d nutmegrelay.Decision) {
	e.count("requests_" + string(d.Kind))
	entry := e.event("request_" + string(d.Kind)).WithFields(logrus.Fields{
		"request": c.ID, "service": c.Service, "upstream": d.Upstream, "try": d.Attempt, "at_ms": time.Since(c.Arrived).Milliseconds(),
		"upstreams_version": e.view.Upstreams().Version.String(),
	})
	if d.Software != "" {
		entry = entry.WithField("software", d.Software)
	}
	if d.Err != nil {
		entry = entry.WithError(d.Err)
	}
	if d.Detail != "" {
		entry = entry.WithField("detail", d.Detail)
	}
	if d.Kind == nutmegrelay.DecisionNotAdmitted {
		e.count("requests_not_admitted_" + string(d.Shortage) + "_priority_" + strconv.Itoa(c.Priority))
		entry = entry.WithFields(logrus.Fields{"workspace": c.Workspace, "priority": c.Priority, "shortage": d.Shortage})
	}
	if r := d.Record; r != nil {
		e.count("attempts_" + string(r.Conclusion))
		entry = entry.WithFields(logrus.Fields{
			"upstream_process": r.Process, "kept_connection": r.KeptConnection, "sent": r.Sent.String(), "status": r.Status,
			"conclusion": r.Conclusion, "policy": r.Policy,
		})
	}
	if d.Kind == nutmegrelay.DecisionUpstreamEnded {
		entry = entry.WithFields(logrus.Fields{"content": d.Content, "parts": d.Parts, "events": d.Events, "begun": d.Begun})
	}
	entry.Info("request progress")
}

// callEnded logs and counts the outcome of a call.
func (e *Entry) callEnded(c *nutmegcall.Call, o nutmegcall.Outcome, refusal *nutmegcall.Refusal) {
	took := time.Since(c.Arrived)
	e.count("requests_ended_" + string(o.Reason))
	metrics.GetOrRegisterTimer("request_time_"+string(c.Route.Name), e.metrics).Update(took)
	entry := e.event("request_ended").WithFields(logrus.Fields{
		"request": c.ID, "route": c.Route.Name, "revision": c.Revision, "workspace": c.Workspace, "service": c.Service,
		"upstream": o.Upstream, "upstreams_version": e.view.Upstreams().Version.String(), "outcome": o.Reason, "run": o.Ran.String(),
		"status": o.Status, "sends": o.Attempts, "events": o.Events, "bound": c.Prompt.MaxTokens(), "body_bytes": len(c.Body), "used": o.UsedTokens, "policy": nutmegrelay.PolicyOf(c.Route), "took_ms": took.Milliseconds(),
	})
	if !c.Resumed.IsZero() {
		entry = entry.WithFields(logrus.Fields{"resumes": c.Resumed.First, "last_event": c.Resumed.LastEvent})
	}
	if o.Software != "" {
		entry = entry.WithField("software", o.Software)
	}
	if o.Detail != "" {
		entry = entry.WithField("detail", o.Detail)
	}
	if refusal != nil {
		entry = entry.WithField("retry_after_ms", refusal.RetryAfter.Milliseconds())
	}
	if o.Reason == nutmegcall.ReasonAnswered {
		entry.Info("request completed")
		return
	}
	entry.Warn("request was not answered completely")
}

// requestRefused logs a request that did not become a call.
func (e *Entry) requestRefused(r *http.Request, info nutmegcall.RequestInfo, refusal *nutmegcall.Refusal, arrived time.Time) {
	e.count("requests_ended_" + string(refusal.Reason))
	e.event("request_refused").WithFields(logrus.Fields{
		"request": info.ID, "host": r.Host, "path": r.URL.Path, "revision": e.view.Revision(), "outcome": refusal.Reason,
		"run": refusal.Ran.String(), "detail": refusal.Detail, "took_ms": time.Since(arrived).Milliseconds(),
	}).Warn("request refused")
}
