package nutmegnode

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"

	"github.com/go-chi/chi/v5"

	"github.com/nutmegwind/nutmegwind/nutmegconf"
	"github.com/nutmegwind/nutmegwind/nutmegpeer"
	"github.com/nutmegwind/nutmegwind/nutmegroute"
	"github.com/nutmegwind/nutmegwind/nutmegstore"
	"github.com/nutmegwind/nutmegwind/nutmegtime"
)

// suspectsKey is the key of the object that lists the fleet's suspect requests.
var suspectsKey = nutmegstore.Key{Kind: "suspects", Name: "list"}

// suspectStore stores the fleet's suspect requests in the platform's object API.
type suspectStore struct {
	writer *nutmegstore.Writer
}

// Update implements nutmegroute.SuspectStore.
func (s suspectStore) Update(ctx context.Context, change func(*nutmegroute.SuspectList) error) (nutmegroute.SuspectList, error) {
	doc, err := nutmegstore.Update(ctx, s.writer, suspectsKey, change)
	return doc.Body, err
}

func (n *Node) buildSuspects() {
	n.suspects = nutmegroute.NewSuspects(nutmegroute.SuspectsConfig{
		Store:       suspectStore{writer: n.writer},
		Incarnation: n.incarnation,
		OnVerdict:   n.verdictChanged,
	})
}

// gossipSuspects is the kind of gossip items about suspect requests.
const gossipSuspects nutmegpeer.ItemKind = "suspects"

// registerSuspectGossip registers suspects as urgent gossip, so that they reach all
// instances even while the store is unavailable.
func (n *Node) registerSuspectGossip() {
	n.peers.Gossip().Register(gossipSuspects, nutmegpeer.ItemRule{
		MaxItems: maxGossipItems, MaxBytes: maxGossipItemBytes, Urgent: true, OnItem: n.receiveSuspect,
	})
}

func (n *Node) receiveSuspect(i nutmegpeer.Item) {
	var s nutmegroute.Suspect
	if json.Unmarshal(i.Value, &s) != nil || string(s.Fingerprint) != i.Key {
		n.count("gossip_failures")
		return
	}
	n.suspects.Merge([]nutmegroute.Suspect{s})
}

// verdictChanged publishes and logs the fleet's new verdict on a request.
func (n *Node) verdictChanged(s nutmegroute.Suspect) {
	n.gossip.publish(gossipSuspects, string(s.Fingerprint), s.Sequence, s)
	n.count("requests_" + string(s.Verdict))
	n.ring.Record(nutmegtime.Event{Kind: nutmegtime.KindQuarantine, Detail: fmt.Sprintf("%s %s of %s", s.Verdict, s.Fingerprint, s.Workspace)})
	n.log.WithField("verdict", s.Verdict).WithField("fingerprint", s.Fingerprint).WithField("workspace", s.Workspace).Warn("verdict on suspect request changed")
}

// watchSuspects watches the fleet's list of suspects, so that every instance knows
// a suspect request before the caller retries it.
func (n *Node) watchSuspects(ctx context.Context) {
	defer close(n.suspectsDone)
	n.client.Follow(ctx, suspectsKey.Kind, suspectsKey.Name, n.suspectsChanged)
}

func (n *Node) suspectsChanged(o nutmegstore.Object) {
	if o.Deleted {
		return
	}
	doc, err := nutmegstore.Decode[nutmegroute.SuspectList](o)
	if err != nil {
		n.log.WithError(err).Error("decoding the suspect list failed; keeping the known suspects")
		return
	}
	n.suspects.Merge(slices.Collect(maps.Values(doc.Body.Entries)))
}

// Suspects is the response to GET /v1/suspects: requests suspected of crashing
// upstreams.
type Suspects struct {
	Suspects []nutmegroute.Suspect `json:"suspects"`
}

func (n *Node) listSuspects(w http.ResponseWriter, _ *http.Request, _ actor) error {
	writeJSON(w, http.StatusOK, Suspects{Suspects: n.suspects.Export(maxListedSuspects)})
	return nil
}

// clearSuspect clears the verdict on a request, so that it may run again.
func (n *Node) clearSuspect(w http.ResponseWriter, r *http.Request, a actor) error {
	f := nutmegroute.Fingerprint(chi.URLParam(r, "fingerprint"))
	if n.suspects.Check(f) == nutmegroute.VerdictClear {
		return refusal(http.StatusNotFound, "no_suspect", fmt.Sprintf("request %q is no suspect; list them with GET /v1/suspects", f))
	}
	if err := n.suspects.Clear(r.Context(), f); err != nil {
		return err
	}
	n.ring.Record(nutmegtime.Event{Kind: nutmegtime.KindQuarantine, Detail: fmt.Sprintf("%s cleared by %s", f, a.name)})
	writeJSON(w, http.StatusOK, n.suspects.Get(f))
	return nil
}

// addSuspectRoutes adds the operators' endpoints for suspects.
func (n *Node) addSuspectRoutes(r chi.Router) {
	r.Get("/v1/suspects", n.withOperator(nutmegconf.RoleReader, n.listSuspects))
	r.Delete("/v1/suspects/{fingerprint}", n.withOperator(nutmegconf.RoleOperator, n.clearSuspect))
}
