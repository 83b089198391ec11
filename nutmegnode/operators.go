package nutmegnode

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/go-chi/chi/v5"

	"github.com/nutmegwind/nutmegwind/internal/ops/nutmegexport"
	"github.com/nutmegwind/nutmegwind/nutmegbudget"
	"github.com/nutmegwind/nutmegwind/nutmegconf"
	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegledger"
	"github.com/nutmegwind/nutmegwind/nutmegpeer"
	"github.com/nutmegwind/nutmegwind/nutmegtime"
)

// operatorHandler returns the handler of the operators' API.
func (n *Node) operatorHandler() http.Handler {
	r := chi.NewRouter()
	r.Get("/healthz", n.healthz)
	r.Get("/readyz", n.readyz)
	r.Method(http.MethodGet, "/metrics", nutmegexport.Handler(n.metrics))
	r.Group(func(r chi.Router) {
		r.Get("/v1/status", n.withOperator(nutmegconf.RoleReader, n.status))
		r.Get("/v1/bill", n.withOperator(nutmegconf.RoleReader, n.bill))
		r.Get("/v1/audit", n.withOperator(nutmegconf.RoleReader, n.audit))
		n.addSuspectRoutes(r)
		r.Get("/v1/events", n.withOperator(nutmegconf.RoleReader, n.events))
		r.Get("/v1/history", n.withOperator(nutmegconf.RoleReader, n.history))
		r.Post("/v1/plans", n.withOperator(nutmegconf.RoleOperator, n.plan))
		r.Post("/v1/plans/{plan}/confirm", n.withOperator(nutmegconf.RoleOperator, n.confirm))
	})
	return r
}

// actor is an authenticated operator.
type actor struct {
	name string
	nutmegconf.OperatorConfig
}

func (a actor) actor() nutmegconf.Actor {
	return nutmegconf.Actor{Name: a.name, Owner: a.Owner}
}

// bootstrapActor is the operator name used until the first operator is
// configured.
const bootstrapActor = "bootstrap"

func (n *Node) withOperator(role nutmegconf.Role, handler func(http.ResponseWriter, *http.Request, actor) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		a, err := n.authenticate(r, role)
		if err == nil {
			err = handler(w, r, a)
		}
		if err != nil {
			writeError(w, err)
		}
	}
}

func (n *Node) authenticate(r *http.Request, role nutmegconf.Role) (actor, error) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return actor{}, refusal(http.StatusUnauthorized, "no_key", "the request has no key; send Authorization: Bearer KEY")
	}
	config := n.view.Current()
	if config == nil || len(config.Operators) == 0 {
		return n.bootstrap(key)
	}
	name, o, ok := config.Operator(key)
	if !ok {
		return actor{}, refusal(http.StatusUnauthorized, "unknown_key", "the key belongs to no operator")
	}
	if role == nutmegconf.RoleOperator && o.Role != nutmegconf.RoleOperator {
		return actor{}, refusal(http.StatusForbidden, "forbidden", "the operator may only read; ask for the operator role")
	}
	return actor{name: name, OperatorConfig: o}, nil
}

// bootstrap accepts the bootstrap key of the settings while no operator is
// configured.
func (n *Node) bootstrap(key string) (actor, error) {
	want := n.cfg.Settings.Instance.BootstrapKeyHash
	if want == "" || nutmegconf.HashKey(key) != want {
		return actor{}, refusal(http.StatusUnauthorized, "unknown_key", "no operator is configured; use the key of instance.bootstrap_key_hash")
	}
	return actor{name: bootstrapActor, OperatorConfig: nutmegconf.OperatorConfig{Role: nutmegconf.RoleOperator}}, nil
}

// Status is the response to GET /v1/status.
type Status struct {
	Instance       nutmegid.Instance      `json:"instance"`
	Incarnation    nutmegid.Incarnation   `json:"incarnation"`
	Revision       nutmegid.Revision      `json:"revision"`
	PendingEffects []nutmegconf.Effect    `json:"pending_effects,omitempty"` // effects of confirmed plans not executed yet
	StoreUp        bool                   `json:"store_up"`
	NotReady       string                 `json:"not_ready,omitempty"`
	Balances       []nutmegbudget.Balance `json:"balances"`
	// Stranded lists leases held by instances that are down, as of the latest
	// commits.
	Stranded []nutmegbudget.StrandedLease `json:"stranded,omitempty"`
	Peers    []nutmegpeer.Member          `json:"peers"`
}

func (n *Node) status(w http.ResponseWriter, _ *http.Request, _ actor) error {
	writeJSON(w, http.StatusOK, Status{
		Instance:       n.cfg.Settings.Instance.Name,
		Incarnation:    n.incarnation,
		Revision:       n.revision(),
		PendingEffects: n.follower.pending(),
		StoreUp:        n.client.Up(),
		NotReady:       n.notReadyReason(),
		Balances:       n.leaseHolder.Balances(),
		Stranded:       n.leaseHolder.StrandedLeases(),
		Peers:          n.peers.Members(),
	})
	return nil
}

func (n *Node) bill(w http.ResponseWriter, r *http.Request, _ actor) error {
	bills, err := nutmegledger.Fold(r.Context(), n.client)
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, bills)
	return nil
}

func (n *Node) events(w http.ResponseWriter, r *http.Request, _ actor) error {
	writeJSON(w, http.StatusOK, n.ring.Events(nutmegtime.ParseFilter(r.URL.Query())))
	return nil
}

// PlanRequest is the body of POST /v1/plans.
type PlanRequest struct {
	Intents []nutmegconf.Intent `json:"intents"`
	Reason  string              `json:"reason,omitempty"`
}

func (n *Node) plan(w http.ResponseWriter, r *http.Request, a actor) error {
	var req PlanRequest
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, n.cfg.Settings.Limits.MaxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&req); err != nil {
		return refusal(http.StatusBadRequest, "bad_body", "the body is no plan request: "+err.Error())
	}
	plan, err := n.planner.Plan(r.Context(), a.actor(), req.Reason, req.Intents)
	if err != nil {
		return planError(err)
	}
	n.ring.Record(nutmegtime.Event{Kind: nutmegtime.KindPlan, Revision: plan.Base, Detail: string(plan.ID)})
	writeJSON(w, http.StatusOK, plan)
	return nil
}

// Confirmation is the response to a confirmed plan.
type Confirmation = nutmegconf.Confirmation

func (n *Node) confirm(w http.ResponseWriter, r *http.Request, a actor) error {
	id := nutmegid.PlanID(chi.URLParam(r, "plan"))
	confirmation, err := n.planner.Confirm(r.Context(), a.actor(), id)
	if err != nil {
		return planError(err)
	}
	n.ring.Record(nutmegtime.Event{Kind: nutmegtime.KindConfirm, Revision: confirmation.Revision, Detail: string(id)})
	writeJSON(w, http.StatusOK, confirmation)
	return nil
}

// history serves GET /v1/history: who changed what, when and why, newest first.
func (n *Node) history(w http.ResponseWriter, r *http.Request, _ actor) error {
	from, err := queryNumber(r, "from", 0)
	if err != nil {
		return err
	}
	limit, err := queryNumber(r, "limit", defaultHistoryEntries)
	if err != nil {
		return err
	}
	entries, err := n.planner.History(r.Context(), nutmegid.Revision(from), int(limit))
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, entries)
	return nil
}

// queryNumber returns a numeric query parameter, or fallback if it is absent.
func queryNumber(r *http.Request, name string, fallback uint64) (uint64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return fallback, nil
	}
	v, err := strconv.ParseUint(text, 10, 31)
	if err != nil {
		return 0, refusal(http.StatusBadRequest, "bad_query", fmt.Sprintf("%s %q is no number; leave it out or give one", name, text))
	}
	return v, nil
}
