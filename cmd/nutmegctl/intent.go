package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/url"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"

	"golang.org/x/term"

	"github.com/nutmegwind/nutmegwind/cmd/internal/cli"
	"github.com/nutmegwind/nutmegwind/nutmegconf"
	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegnode"
)

// intent requests a plan, prints it, and confirms it if -yes is given or the
// operator agrees on a terminal.
func intent(ctx context.Context, c *client, args []string, out io.Writer) error {
	intents, err := parseIntents(args)
	if err != nil {
		return err
	}
	var plan nutmegconf.Plan
	req := nutmegnode.PlanRequest{Intents: intents, Reason: c.reason}
	if err := c.call(ctx, c.servers()[0], http.MethodPost, "/v1/plans", req, &plan); err != nil {
		return err
	}
	return reviewPlan(ctx, c, plan, out)
}

// reviewPlan prints a plan and confirms it if -yes is given or the operator
// agrees. Otherwise it prints the command that confirms the plan.
func reviewPlan(ctx context.Context, c *client, plan nutmegconf.Plan, out io.Writer) error {
	if !c.json {
		if err := printPlan(out, plan); err != nil {
			return err
		}
	}
	if !c.yes && !c.askToConfirm(out) {
		if c.json {
			return printJSON(out, plan)
		}
		_, err := fmt.Fprintf(out, "confirm with: nutmegctl confirm %s\n", plan.ID)
		return err
	}
	return confirmPlan(ctx, c, plan.ID, out)
}

// interactive reports whether the operator can be asked.
func (c *client) interactive() bool {
	return !c.json && term.IsTerminal(int(c.stdin.Fd()))
}

// askToConfirm asks the operator to confirm a plan. Without a terminal, or with
// -json, it returns false.
func (c *client) askToConfirm(out io.Writer) bool {
	if !c.interactive() {
		return false
	}
	_, _ = fmt.Fprint(out, "confirm this plan? [y/N] ")
	line, err := bufio.NewReader(c.stdin).ReadString('\n')
	return err == nil && strings.EqualFold(strings.TrimSpace(line), "y")
}

func confirm(ctx context.Context, c *client, args []string, out io.Writer) error {
	if len(args) != 1 {
		return cli.Usagef("expected one plan, got %d arguments; name one plan", len(args))
	}
	return confirmPlan(ctx, c, nutmegid.PlanID(args[0]), out)
}

// confirmPlan confirms a plan. If the plan is stale, it prints the new plan that
// the instance offers and asks the operator to confirm that one. With -yes the
// refusal is returned instead, so that a script never confirms a plan that it
// has not seen.
func confirmPlan(ctx context.Context, c *client, id nutmegid.PlanID, out io.Writer) error {
	var done nutmegconf.Confirmation
	err := c.call(ctx, c.servers()[0], http.MethodPost, "/v1/plans/"+url.PathEscape(string(id))+"/confirm", nil, &done)
	var apiErr *apiError
	if errors.As(err, &apiErr) && apiErr.Plan != nil && !c.yes {
		_, _ = fmt.Fprintln(out, apiErr.Message)
		if reviewErr := reviewPlan(ctx, c, *apiErr.Plan, out); reviewErr != nil || c.interactive() {
			return reviewErr
		}
		return err // nothing was confirmed
	}
	if err != nil {
		return err
	}
	if c.json {
		return printJSON(out, done)
	}
	_, err = fmt.Fprintf(out, "plan %s is in force as revision %d\n", done.Plan, done.Revision)
	for _, e := range done.PendingEffects {
		_, _ = fmt.Fprintf(out, "still being carried out: %s %s%s%s\n", e.Kind, e.Budget, e.Incarnation, e.Upstream)
	}
	if done.PendingReason != "" {
		_, _ = fmt.Fprintf(out, "not carried out yet: %s\n", done.PendingReason)
	}
	return err
}

func printPlan(out io.Writer, plan nutmegconf.Plan) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(w, "plan %s against revision %d; nothing has taken effect\n", plan.ID, plan.Base)
	_, _ = fmt.Fprintln(w, "WHAT\tBEFORE\tAFTER")
	for _, change := range plan.Changes {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\n", change.Subject, change.Before, change.After)
	}
	for _, a := range plan.Affected {
		_, _ = fmt.Fprintf(w, "affects %s: %s\n", a.Owner, a.Detail)
	}
	for _, warning := range plan.Warnings {
		_, _ = fmt.Fprintf(w, "warning: %s\n", warning)
	}
	if plan.ConfirmingOwner != "" {
		_, _ = fmt.Fprintf(w, "has to be confirmed by an operator of %s\n", plan.ConfirmingOwner)
	}
	return w.Flush()
}

// kinds prints the kinds of intents and their fields.
func kinds(_ context.Context, c *client, _ []string, out io.Writer) error {
	all := nutmegconf.IntentFields()
	if c.json {
		return printJSON(out, all)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "KIND\tFIELDS")
	for _, kind := range slices.Sorted(maps.Keys(all)) {
		_, _ = fmt.Fprintf(w, "%s\t%s\n", kind, all[kind])
	}
	return w.Flush()
}

// history prints who changed what, when and why, from a revision if one is given.
func history(ctx context.Context, c *client, args []string, out io.Writer) error {
	query := url.Values{}
	if len(args) > 0 {
		query.Set("from", args[0])
	}
	var entries []nutmegconf.HistoryEntry
	if err := c.call(ctx, c.servers()[0], http.MethodGet, "/v1/history?"+query.Encode(), nil, &entries); err != nil {
		return err
	}
	if c.json {
		return printJSON(out, entries)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "REVISION\tAT\tPLANNED BY\tCONFIRMED BY\tWHAT\tBEFORE\tAFTER\tWHY")
	for _, e := range entries {
		for n, change := range e.Changes {
			if n == 0 {
				_, _ = fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", e.Revision, e.At.Format("2006-01-02 15:04:05"),
					e.Operator, e.ConfirmedBy, change.Subject, change.Before, change.After, e.Reason)
				continue
			}
			_, _ = fmt.Fprintf(w, "\t\t\t\t%s\t%s\t%s\t\n", change.Subject, change.Before, change.After)
		}
	}
	return w.Flush()
}

// parseIntents parses intents, each given as JSON or as a kind followed by its
// fields: top_up budget=owner/brazos tokens=5000.
func parseIntents(args []string) ([]nutmegconf.Intent, error) {
	var intents []nutmegconf.Intent
	var fields map[string]any
	flush := func() error {
		if fields == nil {
			return nil
		}
		raw, err := json.Marshal(fields)
		if err != nil {
			return err
		}
		i, err := decodeIntent(string(raw))
		intents = append(intents, i)
		fields = nil
		return err
	}
	for _, arg := range args {
		name, value, isField := strings.Cut(arg, "=")
		switch {
		case strings.HasPrefix(arg, "{"):
			i, err := decodeIntent(arg)
			if err := errors.Join(flush(), err); err != nil {
				return nil, err
			}
			intents = append(intents, i)
		case !isField:
			if err := flush(); err != nil {
				return nil, err
			}
			fields = map[string]any{"kind": arg}
		case fields == nil:
			return nil, cli.Usagef("field %q must follow the kind of its intent; see nutmegctl kinds", arg)
		default:
			if err := setField(fields, reflect.TypeFor[nutmegconf.Intent](), name, value); err != nil {
				return nil, err
			}
		}
	}
	if err := flush(); err != nil {
		return nil, err
	}
	if len(intents) == 0 {
		return nil, cli.Usagef("no intent given; give at least one intent; see nutmegctl kinds")
	}
	return intents, nil
}

func decodeIntent(text string) (nutmegconf.Intent, error) {
	var i nutmegconf.Intent
	decoder := json.NewDecoder(strings.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&i); err != nil {
		return i, cli.Usagef("invalid intent %s: %v; see nutmegctl kinds", text, err)
	}
	return i, nil
}

// setField sets a field, which can be nested, as in upstream.url=http://… The
// field key=SECRET is replaced by the hash of the key, so that the secret is not
// sent.
func setField(fields map[string]any, t reflect.Type, name, value string) error {
	if outer, inner, nested := strings.Cut(name, "."); nested {
		f, ok := fieldByJSONName(t, outer)
		if !ok || f.Type.Kind() != reflect.Pointer {
			return cli.Usagef("unknown field %q; see nutmegctl kinds", name)
		}
		nestedFields, _ := fields[outer].(map[string]any)
		if nestedFields == nil {
			nestedFields = make(map[string]any)
			fields[outer] = nestedFields
		}
		return setField(nestedFields, f.Type.Elem(), inner, value)
	}
	if name == "key" {
		hashes, _ := fields["key_hashes"].([]string)
		fields["key_hashes"] = append(hashes, nutmegconf.HashKey(value))
		return nil
	}
	f, ok := fieldByJSONName(t, name)
	if !ok {
		return cli.Usagef("unknown field %q; see nutmegctl kinds", name)
	}
	v, err := fieldValue(f.Type.Kind(), value)
	if err != nil {
		return cli.Usagef("field %s: value %q is not a valid %s", name, value, f.Type.Kind())
	}
	fields[name] = v
	return nil
}

// fieldValue parses the text of a field according to the kind of its Go type.
func fieldValue(kind reflect.Kind, value string) (any, error) {
	switch kind {
	case reflect.Int64, reflect.Uint64:
		return strconv.ParseInt(value, 10, 64)
	case reflect.Bool:
		return strconv.ParseBool(value)
	case reflect.Slice:
		return strings.Split(value, ","), nil
	default:
		return value, nil
	}
}

// fieldByJSONName returns the struct field with the given JSON name.
func fieldByJSONName(t reflect.Type, name string) (reflect.StructField, bool) {
	for f := range t.Fields() {
		if tag, _, _ := strings.Cut(f.Tag.Get("json"), ","); tag == name {
			return f, true
		}
	}
	return reflect.StructField{}, false
}
