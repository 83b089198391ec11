package nutmegentry

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegview"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegcall"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegnotice"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegpermit"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegrelay"
	"github.com/nutmegwind/nutmegwind/nutmegpeer"
)

func (e *Entry) buildNotices() {
	e.notices = nutmegnotice.NewTracker(nutmegnotice.Config{OnChange: e.noticeChanged, OnStatement: e.sendStatement})
	e.granter = nutmegpermit.NewGranter()
	e.rateInformer = newRateInformer(e)
	e.view.OnUpstreams(func(set *nutmegview.Upstreams) { e.notices.Forget(set, e.uptime()) })
}

// upstreamNotices implements nutmegrelay.Notices.
type upstreamNotices struct {
	entry *Entry
}

var _ nutmegrelay.Notices = upstreamNotices{}

// Record implements nutmegrelay.Notices.
func (n upstreamNotices) Record(call *nutmegcall.Call, u nutmegview.Upstream, stated nutmegnotice.Notice) {
	e := n.entry
	e.reach.succeeded() // also if the connection was open already
	if stated.Unclear {
		e.count("rate_limits_unreadable")
	}
	e.notices.Record(u, call.ID, stated, e.uptime())
}

// IsLeaving implements nutmegrelay.Notices.
func (n upstreamNotices) IsLeaving(u nutmegview.Upstream) bool {
	return n.entry.notices.IsLeaving(u)
}

// Permit implements nutmegrelay.Notices. It asks the home of the upstream's limit,
// if there is a limit.
func (n upstreamNotices) Permit(ctx context.Context, u nutmegview.Upstream) nutmegrelay.Permit {
	e := n.entry
	if e.notices.IsLeaving(u) {
		return nutmegrelay.Permit{Leaving: true, Detail: "the upstream has said that it leaves"}
	}
	if wait := e.notices.WaitEnd(u) - e.uptime(); wait > 0 {
		return nutmegrelay.Permit{Wait: wait, Detail: fmt.Sprintf("the upstream has asked for no requests for another %d ms", wait.Milliseconds())}
	}
	request, limited := e.permitRequest(u)
	if !limited {
		return nutmegrelay.Permit{Granted: true}
	}
	cold := request.Kind == nutmegpermit.LimitWarmup
	home, reply, err := e.askPermit(ctx, request)
	if err != nil {
		e.count("permits_unanswered")
		return nutmegrelay.Permit{Cold: cold, Wait: permitRetryInterval, Detail: fmt.Sprintf("home %q of the limit of %g requests/s has not answered: %v", home, request.Rate, err)}
	}
	if !reply.Permitted {
		e.count("permits_denied")
		return nutmegrelay.Permit{
			Cold: cold, Wait: reply.Wait,
			Detail: fmt.Sprintf("home %q has no permit for %d ms: the limit is %g requests/s, heard %d ms ago; cold %v", home, reply.Wait.Milliseconds(), request.Rate, request.Age.Milliseconds(), cold),
		}
	}
	e.count("permits_granted")
	return nutmegrelay.Permit{Granted: true}
}

// permitRequest returns the question for a permit, and false if the upstream has no
// limit. Of two limits it asks for the lower one; the home heeds both.
func (e *Entry) permitRequest(u nutmegview.Upstream) (nutmegpermit.Request, bool) {
	now := e.uptime()
	stated, limited := e.notices.RateLimit(u)
	warmup, cold := e.warmup.Limit(u, now)
	if cold && (!limited || warmup.Rate <= float64(stated.Rate)) {
		return nutmegpermit.Request{
			Process: u.Process(), Kind: nutmegpermit.LimitWarmup, Rate: nutmegnotice.Rate(warmup.Rate), Age: now - warmup.HeardAt,
		}, true
	}
	return nutmegpermit.Request{Process: u.Process(), Rate: stated.Rate, Age: now - stated.HeardAt}, limited
}

// warmupSuffix marks the limit of a cold process among instances. No process name
// ends with it, since these end in a number.
const warmupSuffix = "/warmup"

// limitName returns the name of a limit among instances.
func limitName(r nutmegpermit.Request) string {
	if r.Kind == nutmegpermit.LimitWarmup {
		return string(r.Process) + warmupSuffix
	}
	return string(r.Process)
}

// parseLimitName returns the process and the kind of a limit.
func parseLimitName(name string) (nutmegview.Process, nutmegpermit.LimitKind) {
	if process, ok := strings.CutSuffix(name, warmupSuffix); ok {
		return nutmegview.Process(process), nutmegpermit.LimitWarmup
	}
	return nutmegview.Process(name), nutmegpermit.LimitStated
}

// askPermit asks the home of a limit, which may be this instance.
func (e *Entry) askPermit(ctx context.Context, r nutmegpermit.Request) (string, nutmegpermit.Reply, error) {
	home, ok := e.roster.PermitHome(r.Process)
	if !ok {
		return "", nutmegpermit.Reply{}, errNoPermitHome
	}
	name := string(home.Name)
	if home.Incarnation == e.incarnation {
		return name, e.grantPermit(r), nil
	}
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	reply, err := e.roster.Permit(ctx, home, nutmegpeer.PermitRequest{Process: limitName(r), Rate: float64(r.Rate), Age: r.Age, Inform: r.Inform})
	return name, nutmegpermit.Reply(reply), err
}

// grantPermit answers for the limits of which this instance is a home.
func (e *Entry) grantPermit(r nutmegpermit.Request) nutmegpermit.Reply {
	share := nutmegpermit.ShareOf(e.roster.IsFirstPermitHome(r.Process))
	return e.granter.Ask(r, share, e.uptime())
}

// permitServer permits requests of peers.
type permitServer struct {
	entry *Entry
}

// Permit implements nutmegpeer.PermitHandler.
func (s permitServer) Permit(req nutmegpeer.PermitRequest) nutmegpeer.PermitReply {
	process, kind := parseLimitName(req.Process)
	reply := s.entry.grantPermit(nutmegpermit.Request{
		Process: process, Kind: kind, Rate: nutmegnotice.Rate(req.Rate), Age: req.Age, Inform: req.Inform,
	})
	s.entry.count("permits_asked_by_peers")
	return nutmegpeer.PermitReply(reply)
}

// sendStatement tells all other instances that an upstream has begun or ceased to
// state a rate limit, or that it leaves.
func (e *Entry) sendStatement(s nutmegnotice.Statement) {
	key := string(s.Process)
	if s.Leaving {
		key += "/leaving" // must not replace what is known of the limit
	}
	e.putItem(itemNotice, key, uint64(time.Now().UnixMicro()), s)
}

// receiveStatement applies what another instance has heard of an upstream.
func (e *Entry) receiveStatement(i nutmegpeer.Item) {
	var s nutmegnotice.Statement
	if err := json.Unmarshal(i.Value, &s); err != nil {
		e.itemUnreadable(i, err)
		return
	}
	age := time.Since(time.UnixMicro(int64(i.Version)))
	e.notices.Merge(s, age, e.uptime())
}

// noticeChanged logs that an upstream leaves or wants no requests for a time, or that
// it states a rate limit, another one, or none any more.
func (e *Entry) noticeChanged(c nutmegnotice.Change) {
	switch c.Kind {
	case nutmegnotice.ChangeLeaving:
		e.count("upstreams_said_to_leave")
		e.event("upstream_says_leaving").WithFields(logrus.Fields{"process": c.Process, "request": c.Request}).Info("an upstream's answer says that it leaves")
		return
	case nutmegnotice.ChangeWait:
		e.count("upstream_waits")
		e.event("upstream_says_wait").WithFields(logrus.Fields{
			"process": c.Process, "request": c.Request, "wait_ms": c.Wait.Milliseconds(),
		}).Info("an upstream's answer asks for no requests for a time")
		return
	}
	if c.Kind == nutmegnotice.ChangeMoved {
		e.rateInformer.add(c)
	}
	e.count("rate_limits_" + string(c.Kind))
	metrics.GetOrRegisterGauge("rate_limited_upstreams", e.metrics).Update(int64(e.notices.Limited()))
	e.event("upstream_rate_limit").WithFields(logrus.Fields{
		"change": c.Kind, "process": c.Process, "before": c.Before, "after": c.After, "request": c.Request,
	}).Info("an upstream's answer changes its rate limit")
}
