package nutmegnode

import (
	"encoding/json"
	"errors"
	"net/http"

	"github.com/nutmegwind/nutmegwind/nutmegbudget"
	"github.com/nutmegwind/nutmegwind/nutmegconf"
	"github.com/nutmegwind/nutmegwind/nutmegorder"
	"github.com/nutmegwind/nutmegwind/nutmegroute"
	"github.com/nutmegwind/nutmegwind/nutmegstore"
)

// APIError is the JSON body of every error response to callers and operators.
type APIError struct {
	Status  int             `json:"-"`
	Kind    string          `json:"kind"`
	Message string          `json:"message"`
	Ran     nutmegroute.Ran `json:"run"`
	// Plan is the recomputed plan that replaces a stale one.
	Plan *nutmegconf.Plan `json:"plan,omitempty"`
}

// Error returns the message.
func (e *APIError) Error() string {
	return e.Message
}

type errorBody struct {
	Error *APIError `json:"error"`
}

func refusal(status int, kind, message string) *APIError {
	return &APIError{Status: status, Kind: kind, Message: message, Ran: nutmegroute.RanNo}
}

// apiError converts an error to an APIError with its HTTP status, kind and
// whether the request ran.
func apiError(err error) *APIError {
	var known *APIError
	var budget *nutmegbudget.Error
	var route *nutmegroute.Error
	var store *nutmegstore.Error
	var mismatch *nutmegorder.BodyMismatchError
	var eventID *nutmegroute.EventIDError
	var claim *nutmegorder.ClaimError
	switch {
	case errors.As(err, &known):
		return known
	case errors.As(err, &budget):
		return refusal(budgetStatus(budget.Kind), string(budget.Kind), err.Error())
	case errors.As(err, &route):
		return &APIError{Status: routeStatus(route.Kind), Kind: string(route.Kind), Message: err.Error(), Ran: route.Ran}
	case errors.As(err, &eventID):
		return refusal(eventIDStatus(eventID.Kind), string(eventID.Kind), err.Error())
	case errors.As(err, &claim):
		return claimRefusal(claim)
	case errors.As(err, &mismatch):
		return refusal(http.StatusUnprocessableEntity, "key_reused", err.Error())
	case errors.As(err, &store):
		return refusal(http.StatusServiceUnavailable, "store_"+string(store.Kind), err.Error())
	}
	return &APIError{Status: http.StatusInternalServerError, Kind: "internal", Message: err.Error(), Ran: nutmegroute.RanUnknown}
}

func budgetStatus(kind nutmegbudget.ErrorKind) int {
	if kind == nutmegbudget.KindUnreachable {
		return http.StatusServiceUnavailable
	}
	return http.StatusPaymentRequired
}

// claimRefusal returns the error for a call whose key could not be claimed. This
// attempt did not run, but if an earlier attempt had claimed the key, the order
// itself may have run.
func claimRefusal(e *nutmegorder.ClaimError) *APIError {
	refused := refusal(http.StatusServiceUnavailable, "order_not_claimed", e.Error())
	if e.Claimed {
		refused.Ran = nutmegroute.RanUnknown
	}
	return refused
}

func routeStatus(kind nutmegroute.ErrorKind) int {
	switch kind {
	case nutmegroute.KindNoUpstream, nutmegroute.KindRefused, nutmegroute.KindSuspect:
		return http.StatusServiceUnavailable
	case nutmegroute.KindDeadline:
		return http.StatusGatewayTimeout
	case nutmegroute.KindQuarantined:
		return http.StatusUnprocessableEntity
	case nutmegroute.KindLost, nutmegroute.KindCancelled:
		return http.StatusGone
	}
	return http.StatusBadGateway
}

func eventIDStatus(kind nutmegroute.EventIDErrorKind) int {
	if kind == nutmegroute.EventIDForeign {
		return http.StatusForbidden
	}
	return http.StatusBadRequest
}

func writeError(w http.ResponseWriter, err error) {
	e := apiError(err)
	writeJSON(w, e.Status, errorBody{Error: e})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// planError converts the errors of planning and confirming to refusals.
func planError(err error) error {
	var stale *nutmegconf.StalePlanError
	var intent *nutmegconf.IntentError
	var forbidden *nutmegconf.ForbiddenError
	var unknown *nutmegconf.UnknownPlanError
	var lost *nutmegconf.LostHeadError
	switch {
	case errors.As(err, &stale):
		refused := refusal(http.StatusConflict, "stale_plan", err.Error())
		refused.Plan = stale.NewPlan
		return refused
	case errors.As(err, &forbidden):
		return refusal(http.StatusForbidden, "forbidden", err.Error())
	case errors.As(err, &unknown):
		return refusal(http.StatusNotFound, "unknown_plan", err.Error())
	case errors.As(err, &lost):
		return refusal(http.StatusServiceUnavailable, "lost_head", err.Error())
	case errors.As(err, &intent):
		return refusal(http.StatusUnprocessableEntity, "bad_intent", err.Error())
	}
	return err
}
