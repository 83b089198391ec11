package nutmegconf

import (
	"encoding/hex"
	"fmt"
	"regexp"
	"slices"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// name checks a name that becomes part of object names and URLs.
func (d *draft) name(what, name string) bool {
	if namePattern.MatchString(name) {
		return true
	}
	d.fault("use 1 to 63 letters, digits, dots, dashes and underscores", "%s name %q is not allowed", what, name)
	return false
}

func (d *draft) priority(p Priority) bool {
	allowed := []Priority{PriorityCheck, PriorityLookUp, PrioritySteady, PriorityBatch}
	if p == "" || slices.Contains(allowed, p) {
		return true
	}
	d.fault(fmt.Sprintf("use one of %v", allowed), "priority %q is unknown", p)
	return false
}

func (d *draft) keyHashes(hashes []string) bool {
	for _, h := range hashes {
		if raw, err := hex.DecodeString(h); err != nil || len(raw) != keyHashBytes {
			d.fault("give the SHA-256 of the key as 64 hexadecimal digits", "key hash %q is not one", h)
			return false
		}
	}
	return true
}

func (d *draft) weighing(w Weighing) bool {
	if w == "" || w == WeighOverspend || w == WeighFalseRefusals {
		return true
	}
	d.fault(fmt.Sprintf("use %s or %s", WeighOverspend, WeighFalseRefusals), "weighing %q is unknown", w)
	return false
}

func addOwner(d *draft, i Intent) {
	if !d.mayChangeFleet() || !d.name("owner", string(i.Owner)) || !d.weighing(i.Weighing) {
		return
	}
	if _, ok := d.config.Owners[i.Owner]; ok {
		d.fault("choose another name", "owner %q exists", i.Owner)
		return
	}
	d.config.Owners[i.Owner] = OwnerConfig{Weighing: i.Weighing}
	d.change("", "added", "owner %s", i.Owner)
}

func changeOwner(d *draft, i Intent) {
	o, ok := d.config.Owners[i.Owner]
	if !ok {
		d.fault("name an existing owner", "owner %q does not exist", i.Owner)
		return
	}
	if !d.mayChange(i.Owner) || !d.weighing(i.Weighing) {
		return
	}
	d.change(string(o.Weighing), string(i.Weighing), "weighing of owner %s", i.Owner)
	o.Weighing = i.Weighing
	d.config.Owners[i.Owner] = o
}

func removeOwner(d *draft, i Intent) {
	if !d.mayChangeFleet() {
		return
	}
	if _, ok := d.config.Owners[i.Owner]; !ok {
		d.fault("name an existing owner", "owner %q does not exist", i.Owner)
		return
	}
	state, err := d.live.Budget(d.ctx, nutmegid.OwnerBudget(i.Owner))
	if err != nil || state.Leased > 0 {
		d.fault("close its workspaces, wait until its leases return, then remove it", "owner %q has %d tokens leased (%v)", i.Owner, state.Leased, err)
		return
	}
	delete(d.config.Owners, i.Owner)
	d.change(state.String(), "removed", "owner %s", i.Owner)
	d.affect(i.Owner, "removed with %d tokens that are not spent", state.Prepaid-state.Spent)
}

func addWorkspace(d *draft, i Intent) {
	if !d.name("workspace", string(i.Workspace)) || !d.priority(i.Priority) || !d.keyHashes(i.KeyHashes) {
		return
	}
	if _, ok := d.config.Workspaces[i.Workspace]; ok {
		d.fault("choose another name", "workspace %q exists", i.Workspace)
		return
	}
	if _, ok := d.config.Owners[i.Owner]; !ok {
		d.fault("add the owner first", "owner %q does not exist", i.Owner)
		return
	}
	if !d.mayChange(i.Owner) {
		return
	}
	d.config.Workspaces[i.Workspace] = WorkspaceConfig{Owner: i.Owner, KeyHashes: i.KeyHashes, Priority: i.Priority}
	d.change("", "added for owner "+string(i.Owner), "workspace %s", i.Workspace)
}

// workspace finds a workspace that the actor may change.
func (d *draft) workspace(name nutmegid.Workspace) (WorkspaceConfig, bool) {
	w, ok := d.config.Workspaces[name]
	if !ok {
		d.fault("name an existing workspace", "workspace %q does not exist", name)
		return w, false
	}
	return w, d.mayChange(w.Owner)
}

func changeWorkspace(d *draft, i Intent) {
	w, ok := d.workspace(i.Workspace)
	if !ok || !d.priority(i.Priority) || !d.keyHashes(i.KeyHashes) {
		return
	}
	if i.Priority != "" {
		d.change(string(w.Priority), string(i.Priority), "priority of workspace %s", i.Workspace)
		w.Priority = i.Priority
	}
	if len(i.KeyHashes) > 0 {
		d.change(fmt.Sprintf("%d keys", len(w.KeyHashes)), fmt.Sprintf("%d keys", len(i.KeyHashes)), "keys of workspace %s", i.Workspace)
		w.KeyHashes = i.KeyHashes
	}
	d.config.Workspaces[i.Workspace] = w
}

// moveWorkspace changes who pays for a workspace's next requests. An operator
// of the receiving owner has to confirm it.
func moveWorkspace(d *draft, i Intent) {
	w, ok := d.workspace(i.Workspace)
	if !ok {
		return
	}
	if _, ok := d.config.Owners[i.Owner]; !ok {
		d.fault("add the owner first", "owner %q does not exist", i.Owner)
		return
	}
	if w.Owner == i.Owner {
		d.fault("name another owner", "workspace %q belongs to %q already", i.Workspace, i.Owner)
		return
	}
	state, err := d.live.Budget(d.ctx, nutmegid.WorkspaceBudget(i.Workspace))
	if err != nil {
		d.fault("try again once the store answers", "budget of workspace %q could not be read: %v", i.Workspace, err)
		return
	}
	if d.consent != "" && d.consent != i.Owner {
		d.fault("make a plan for each receiving owner", "the plan moves workspaces to %q and %q", d.consent, i.Owner)
		return
	}
	d.consent = i.Owner
	d.change(string(w.Owner), string(i.Owner), "owner of workspace %s", i.Workspace)
	d.affect(w.Owner, "no longer pays for workspace %s; requests accepted before stay on its bill", i.Workspace)
	d.affect(i.Owner, "pays for workspace %s, which has %d tokens left", i.Workspace, state.Prepaid-state.Spent)
	w.Owner = i.Owner
	d.config.Workspaces[i.Workspace] = w
}

// closeWorkspace stops or allows new requests of a workspace.
func closeWorkspace(d *draft, i Intent) {
	w, ok := d.workspace(i.Workspace)
	if !ok {
		return
	}
	closed := i.Kind == IntentCloseWorkspace
	if w.Closed == closed {
		d.fault("nothing is to be done", "workspace %q is %s already", i.Workspace, openText(closed))
		return
	}
	w.Closed = closed
	d.config.Workspaces[i.Workspace] = w
	d.change(openText(!closed), openText(closed), "workspace %s", i.Workspace)
	if closed {
		d.warn("new requests of workspace %q are refused; %d requests in progress at this instance end first", i.Workspace, d.live.InFlight())
	}
}

func openText(closed bool) string {
	if closed {
		return "closed"
	}
	return "open"
}

func removeWorkspace(d *draft, i Intent) {
	w, ok := d.workspace(i.Workspace)
	if !ok {
		return
	}
	delete(d.config.Workspaces, i.Workspace)
	d.change("owner "+string(w.Owner), "removed", "workspace %s", i.Workspace)
	d.affect(w.Owner, "workspace %s is removed; its bill stays", i.Workspace)
}

func addOperator(d *draft, i Intent) {
	if !d.name("operator", i.Operator) || !d.mayChange(i.Owner) {
		return
	}
	if _, ok := d.config.Operators[i.Operator]; ok {
		d.fault("choose another name", "operator %q exists", i.Operator)
		return
	}
	d.setOperator(i, OperatorConfig{Owner: i.Owner})
}

func changeOperator(d *draft, i Intent) {
	o, ok := d.config.Operators[i.Operator]
	if !ok {
		d.fault("name an existing operator", "operator %q does not exist", i.Operator)
		return
	}
	if d.mayChange(o.Owner) {
		d.setOperator(i, o)
	}
}

func (d *draft) setOperator(i Intent, o OperatorConfig) {
	if i.Role != "" && i.Role != RoleReader && i.Role != RoleOperator {
		d.fault(fmt.Sprintf("use %s or %s", RoleReader, RoleOperator), "role %q is unknown", i.Role)
		return
	}
	if len(i.KeyHashes) > 1 || !d.keyHashes(i.KeyHashes) {
		d.fault("give the hash of one key", "%d key hashes given", len(i.KeyHashes))
		return
	}
	before := string(o.Role)
	if i.Role != "" {
		o.Role = i.Role
	}
	if len(i.KeyHashes) == 1 {
		o.KeyHash = i.KeyHashes[0]
	}
	d.config.Operators[i.Operator] = o
	d.change(before, fmt.Sprintf("%s of owner %q", o.Role, o.Owner), "operator %s", i.Operator)
}

func removeOperator(d *draft, i Intent) {
	o, ok := d.config.Operators[i.Operator]
	if !ok {
		d.fault("name an existing operator", "operator %q does not exist", i.Operator)
		return
	}
	if !d.mayChange(o.Owner) {
		return
	}
	delete(d.config.Operators, i.Operator)
	d.change(string(o.Role), "removed", "operator %s", i.Operator)
}

// rollBack puts the content of an earlier revision into a new one. Budgets and
// orders to engines are not undone.
func rollBack(d *draft, i Intent) {
	past, err := d.past(d.ctx, i.Revision)
	if err != nil {
		d.fault("choose a revision that history shows", "revision %d could not be read: %v", i.Revision, err)
		return
	}
	if !d.mayChangeFleet() {
		return
	}
	segments := d.config.segments
	d.config = past.clone()
	d.config.segments = segments
	d.change(fmt.Sprintf("revision %d", d.before.Revision), fmt.Sprintf("content of revision %d", i.Revision), "configuration")
	d.affectAll("the configuration of revision %d comes back; budgets stay as they are", i.Revision)
}
