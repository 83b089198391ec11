package nutmegentry

import (
	"net/http"
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

// event begins a log line of one event.
func (e *Entry) event(name string) *logrus.Entry {
	return e.log.WithField("event", name)
}

func (e *Entry) count(name string) {
	metrics.GetOrRegisterCounter(name, e.metrics).Inc(1)
}

func (e *Entry) storeChanged(up bool) {
	e.count("store_state_changes")
	if up {
		e.event("store_regained").Info("the platform's store answers again")
		return
	}
	e.event("store_lost").Warn("the platform's store does not answer")
}

func (e *Entry) configApplied(c *nutmegview.Config) {
	e.event("config_applied").WithFields(logrus.Fields{
		"revision": c.Revision, "routes": len(c.Routes), "services": len(c.Services), "workspaces": len(c.Workspaces),
	}).Info("a configuration is in force")
	e.logAmounts(c.Prepaid())
}

// logAmounts logs the prepaid amounts that differ from those before. Calls do
// not overlap.
func (e *Entry) logAmounts(amounts map[nutmegid.Workspace]nutmegid.Tokens) {
	for name, tokens := range amounts {
		if before, known := e.amounts[name]; known && before != tokens {
			e.event("budget_amount_changed").WithFields(logrus.Fields{
				"workspace": name, "before": before, "after": tokens,
			}).Info("the prepaid amount of a workspace has changed")
		}
	}
	e.amounts = amounts
}

func (e *Entry) configUnreadable(o nutmegstore.Object, err error) {
	e.count("config_unreadable")
	e.event("config_unreadable").WithField("version", o.Version).WithError(err).Error("the configuration can't be read; the present one stays")
}

func (e *Entry) upstreamChanged(c nutmegfollow.UpstreamChange) {
	entry := e.event("upstream_" + c.What).WithFields(logrus.Fields{"upstream": c.Upstream, "version": c.Version})
	if c.Err != nil {
		entry = entry.WithError(c.Err)
	}
	entry.Info("the belief in an upstream has changed")
}

func (e *Entry) committed(c nutmegbudget.Committed) {
	e.event("budget_committed").WithFields(logrus.Fields{
		"budget": c.Budget, "settled": c.Settled, "granted": c.Granted, "returned": c.Returned,
		"held": c.Held, "remaining": c.Remaining, "unspent": c.Unspent, "rate": int64(c.Rate),
	}).Info("a lease was committed")
}

func (e *Entry) received(id nutmegid.BudgetID, t nutmegbudget.Transfer) {
	e.event("budget_received").WithFields(logrus.Fields{
		"budget": id, "giver": t.Giver, "tokens": t.Tokens, "transfer": t.ID,
	}).Info("a peer gave tokens")
}

// reservedFor logs a decision on a request that another instance serves.
func (e *Entry) reservedFor(ask nutmegpeer.ReserveRequest, answer nutmegpeer.ReserveReply) {
	e.count("peer_reservations_" + string(answer.Outcome))
	entry := e.event("peer_reservation").WithFields(logrus.Fields{
		"request": ask.Request, "reservation": ask.Reservation, "workspace": ask.Workspace, "bound": ask.Tokens, "outcome": answer.Outcome,
	})
	if answer.Outcome == nutmegpeer.ReserveHeld {
		entry.Info("tokens are held for a request of a peer")
		return
	}
	entry.WithField("detail", answer.Detail).Warn("no tokens were held for a request of a peer")
}

func (e *Entry) homeLost(home nutmegview.Instance, c *nutmegcall.Call, err error) {
	e.count("homes_lost")
	e.event("home_unreachable").WithFields(logrus.Fields{
		"request": c.ID, "workspace": c.Workspace, "home": home.Name, "home_incarnation": home.Incarnation,
	}).WithError(err).Warn("an instance did not say whether it holds tokens for a request")
}

func (e *Entry) expired(reservations int) {
	metrics.GetOrRegisterCounter("peer_reservations_expired", e.metrics).Inc(int64(reservations))
	e.event("peer_reservations_expired").WithField("reservations", reservations).Warn("peers have not settled reservations; they count as used up")
}

func (e *Entry) unsettled(home nutmegview.Instance, settlements int) {
	metrics.GetOrRegisterCounter("settlements_dropped", e.metrics).Inc(int64(settlements))
	e.event("settlements_dropped").WithFields(logrus.Fields{
		"home": home.Name, "home_incarnation": home.Incarnation, "settlements": settlements,
	}).Warn("an instance has not taken what requests used; it counts them as using all they reserved")
}

func (e *Entry) instancesChanged(n int) {
	e.event("instances_changed").WithField("instances", n).Info("the list of instances has changed")
}

// decided logs one step in a request's life.
func (e *Entry) decided(c *nutmegcall.Call, d nutmegrelay.Decision) {
	e.count("requests_" + string(d.Kind))
	entry := e.event("request_" + string(d.Kind)).WithFields(logrus.Fields{
		"request": c.ID, "service": c.Service, "upstream": d.Upstream, "try": d.Try, "at_ms": time.Since(c.Arrived).Milliseconds(),
		"upstreams_version": e.view.Upstreams().Version,
	})
	if d.Err != nil {
		entry = entry.WithError(d.Err)
	}
	entry.Info("a step of a request")
}

// served logs and counts how a call ended.
func (e *Entry) served(c *nutmegcall.Call, o nutmegcall.Outcome, refusal *nutmegcall.Refusal) {
	took := time.Since(c.Arrived)
	e.count("requests_ended_" + string(o.Reason))
	metrics.GetOrRegisterTimer("request_time_"+string(c.Route.Name), e.metrics).Update(took)
	entry := e.event("request_ended").WithFields(logrus.Fields{
		"request": c.ID, "route": c.Route.Name, "revision": c.Revision, "workspace": c.Workspace, "service": c.Service,
		"upstream": o.Upstream, "upstreams_version": e.view.Upstreams().Version, "outcome": o.Reason, "run": o.Ran.String(),
		"status": o.Status, "sends": o.Sends, "events": o.Events, "bound": c.Prompt.Bound(), "body_bytes": len(c.Body), "used": o.Used, "took_ms": took.Milliseconds(),
	})
	if o.Detail != "" {
		entry = entry.WithField("detail", o.Detail)
	}
	if refusal != nil {
		entry = entry.WithField("retry_after_ms", refusal.RetryAfter.Milliseconds())
	}
	if o.Reason == nutmegcall.ReasonAnswered {
		entry.Info("a request has ended")
		return
	}
	entry.Warn("a request was not answered whole")
}

// refused logs a request that no call was made of.
func (e *Entry) refused(r *http.Request, in nutmegcall.Incoming, refusal *nutmegcall.Refusal, arrived time.Time) {
	e.count("requests_ended_" + string(refusal.Reason))
	e.event("request_refused").WithFields(logrus.Fields{
		"request": in.ID, "host": r.Host, "path": r.URL.Path, "revision": e.view.Revision(), "outcome": refusal.Reason,
		"run": refusal.Ran.String(), "detail": refusal.Detail, "took_ms": time.Since(arrived).Milliseconds(),
	}).Warn("a request was refused")
}
