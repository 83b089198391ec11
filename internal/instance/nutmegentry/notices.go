package nutmegentry

import (
	"context"
	"encoding/json"
	"fmt"
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
	limit, limited := e.notices.RateLimit(u)
	if !limited {
		return nutmegrelay.Permit{Granted: true}
	}
	age := e.uptime() - limit.HeardAt
	home, reply, err := e.askPermit(ctx, nutmegpermit.Request{Process: u.Process(), Rate: limit.Rate, Age: age})
	if err != nil {
		e.count("permits_unanswered")
		return nutmegrelay.Permit{Wait: permitRetryInterval, Detail: fmt.Sprintf("home %q of the limit of %g requests/s has not answered: %v", home, limit.Rate, err)}
	}
	if !reply.Permitted {
		e.count("permits_denied")
		return nutmegrelay.Permit{
			Wait:   reply.Wait,
			Detail: fmt.Sprintf("home %q has no permit for %d ms: the limit is %g requests/s, heard %d ms ago", home, reply.Wait.Milliseconds(), limit.Rate, age.Milliseconds()),
		}
	}
	e.count("permits_granted")
	return nutmegrelay.Permit{Granted: true}
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
	reply, err := e.roster.Permit(ctx, home, nutmegpeer.PermitRequest{Process: string(r.Process), Rate: float64(r.Rate), Age: r.Age, Inform: r.Inform})
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
	reply := s.entry.grantPermit(nutmegpermit.Request{
		Process: nutmegview.Process(req.Process), Rate: nutmegnotice.Rate(req.Rate), Age: req.Age, Inform: req.Inform,
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
